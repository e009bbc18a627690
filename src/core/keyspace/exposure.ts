/**
 * Until when servers may hold keys by the grants of one holder: what its
 * successor would otherwise have to assume the worst of.
 *
 * @module
 */
import * as z from "zod";
import { keyRangeSchema } from "./assignment.ts";

/** Schema of {@linkcode Exposure}. */
export const exposureSchema = keyRangeSchema.extend({
  service: z.string(),
  /** Milliseconds from now until no server can hold the keys any more, if no
   * grant follows; 0 when none can now. */
  remaining: z.number().nonnegative(),
});

/** See {@linkcode exposureSchema}. */
export type Exposure = z.infer<typeof exposureSchema>;
