/**
 * The platform's list of live and leaving VMs over HTTP. It lags.
 *
 * @module
 */
import { Agent, request } from "undici";
import { z } from "zod";
import type { EventSink } from "./event_loop.ts";
import { monotonicNow } from "./monotonic_clock.ts";

const listSchema = z.object({
  vms: z.array(z.object({
    id: z.string(),
    state: z.enum(["live", "leaving"]),
  })),
});

/** Time in which the list must be answered, in milliseconds. */
const ANSWER_TIMEOUT = 2_000;

/** Polls the list; while it cannot be read, the last one stands. */
export class VmListClient {
  #timer: NodeJS.Timeout | null = null;
  #isReading = false;
  readonly #agent = new Agent({ connections: 1 });

  private constructor(
    private readonly url: string,
    private readonly sink: EventSink,
  ) {}

  /** A client of the list at `url` whose events go to `sink`. */
  static create(url: string, sink: EventSink): VmListClient {
    return new VmListClient(`${url.replace(/\/$/, "")}/vms`, sink);
  }

  /** Reads the list every `interval` milliseconds. */
  start(interval: number): void {
    this.#timer = setInterval(() => void this.#read(), interval);
    void this.#read();
  }

  /** Reads no more. */
  stop(): void {
    if (this.#timer !== null) clearInterval(this.#timer);
    void this.#agent.destroy();
  }

  async #read(): Promise<void> {
    if (this.#isReading) return;
    this.#isReading = true;
    try {
      const { body } = await request(this.url, {
        headersTimeout: ANSWER_TIMEOUT,
        bodyTimeout: ANSWER_TIMEOUT,
        dispatcher: this.#agent,
      });
      const { vms } = listSchema.parse(await body.json());
      this.sink.push({ kind: "vms.listed", now: monotonicNow(), vms });
    } catch {
      // The list lags at the best of times; the last one stands.
    } finally {
      this.#isReading = false;
    }
  }
}
