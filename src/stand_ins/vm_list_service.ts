/**
 * Stand-in of the platform's list of VMs. A change shows only after a while.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { z } from "zod";
import { addressSchema } from "../settings/index.ts";
import { readJson, sendJson, StandIn } from "./stand_in.ts";

/** Schema of a change: VMs by id. */
const vmsSchema = z.record(z.string(), z.enum(["live", "leaving", "gone"]));

/** Settings of the stand-in. */
export const vmListServiceSchema = z.strictObject({
  listen: addressSchema,
  /** Time after which a change shows, in milliseconds. */
  lag: z.number().nonnegative().default(500),
  vms: vmsSchema.default({}),
});

/** See {@linkcode vmListServiceSchema}. */
export type VmListServiceSettings = z.infer<typeof vmListServiceSchema>;

/** See the module's comment. */
export class VmListService extends StandIn {
  readonly #vms: Map<string, "live" | "leaving" | "gone">;

  private constructor(private readonly settings: VmListServiceSettings) {
    super();
    this.#vms = new Map(Object.entries(settings.vms));
  }

  /** Starts the stand-in. */
  static async start(settings: VmListServiceSettings): Promise<VmListService> {
    const list = new VmListService(settings);
    await list.listen(settings.listen);
    return list;
  }

  protected override async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.url !== "/vms") {
      sendJson(response, 404, { error: "expected /vms" });
      return;
    }
    if (request.method === "PUT") {
      const changes = vmsSchema.parse(await readJson(request));
      sendJson(response, 200, changes);
      await delay(this.settings.lag);
      for (const [id, state] of Object.entries(changes)) {
        this.#vms.set(id, state);
      }
      return;
    }
    const vms = [...this.#vms]
      .filter(([, state]) => state !== "gone")
      .map(([id, state]) => ({ id, state }));
    sendJson(response, 200, { vms });
  }
}
