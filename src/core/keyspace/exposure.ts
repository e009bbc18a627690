/**
 * Until when servers may hold keys by the grants of one holder, and until when
 * its orders may reach them: what its successor would otherwise have to assume
 * the worst of.
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
  /** Milliseconds from now until no order of this holder or of older ones can
   * reach a server any more; unknown if left out. */
  ordersRemaining: z.number().nonnegative().optional(),
});

/** See {@linkcode exposureSchema}. */
export type Exposure = z.infer<typeof exposureSchema>;
