/**
 * Limits the bytes of request bodies in flight to each server. A server that
 * receives more than its memory takes would crash.
 *
 * @module
 */

/** A request that is in flight or waits for others to end. */
interface Upload {
  server: string;
  bytes: number;
  start: () => void;
}

/** See the module's comment. */
export class UploadQueue {
  readonly #running = new Map<number, Upload>();
  /** Requests that wait, in order, by attempt. */
  readonly #waiting = new Map<number, Upload>();
  /** Bytes in flight by server; servers without any are absent. */
  readonly #bytes = new Map<string, number>();

  private constructor(private readonly limitOf: (server: string) => number) {}

  /** Creates an empty queue. `limitOf` returns the bytes that a server takes. */
  static create(limitOf: (server: string) => number): UploadQueue {
    return new UploadQueue(limitOf);
  }

  /**
   * Calls `start` once the request may be sent, which may be now. A server
   * always takes one request, however large it is, and any without a body.
   */
  add(attempt: number, server: string, bytes: number, start: () => void): void {
    if (bytes === 0) return start();
    this.#waiting.set(attempt, { server, bytes, start });
    this.#startWaiting(server);
  }

  /** Ends an attempt, whether its request was sent or not. */
  end(attempt: number): void {
    this.#waiting.delete(attempt);
    const upload = this.#running.get(attempt);
    if (upload === undefined) return;
    this.#running.delete(attempt);
    const { server, bytes } = upload;
    const left = (this.#bytes.get(server) ?? 0) - bytes;
    if (left > 0) this.#bytes.set(server, left);
    else this.#bytes.delete(server);
    this.#startWaiting(server);
  }

  /** Starts the first requests that wait for a server, as far as they fit. */
  #startWaiting(server: string): void {
    for (const [attempt, upload] of [...this.#waiting]) {
      if (upload.server !== server) continue;
      const inFlight = this.#bytes.get(server) ?? 0;
      const sum = inFlight + upload.bytes;
      if (inFlight > 0 && sum > this.limitOf(server)) return;
      // Starting a request may have ended others.
      if (!this.#waiting.delete(attempt)) continue;
      this.#running.set(attempt, upload);
      this.#bytes.set(server, sum);
      upload.start();
    }
  }
}
