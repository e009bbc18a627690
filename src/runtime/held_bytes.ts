/**
 * Counts the bytes that the process holds for slow callers and servers, and
 * decides what happens when they reach their bound. Without limits it only
 * counts.
 *
 * @module
 */

const BYTES_PER_KILOBYTE = 1_024;
const BYTES_PER_MEGABYTE = 1_024 * BYTES_PER_KILOBYTE;
/** Share of the bound from which the least urgent requests are refused. */
const PRESSURE_SHARE = 0.75;
/**
 * Share of the bound below which pressure ends. The distance to the share at
 * which it begins prevents a log line for each request.
 */
const RELIEF_SHARE = 0.6;
/**
 * Share of a connection's limit to which it must drain before it is read from
 * again.
 */
const DRAINED_SHARE = 0.5;
/**
 * Responses with fewer bytes are not cut off: that would free next to nothing,
 * and many of them are complete with their next bytes.
 */
const MINIMUM_CUT = 64 * BYTES_PER_KILOBYTE;
/** Limits in bytes. */
export interface HeldLimits {
  /** Bytes that are held for all connections together. */
  total: number;
  /** Bytes that are held for one connection. */
  connection: number;
}

/** Converts the section `memory` of the settings; null if it sets no limit. */
export function heldLimitsOf(
  { processMegabytes, heldShare, connectionKilobytes }: {
    processMegabytes?: number;
    heldShare: number;
    connectionKilobytes: number;
  },
): HeldLimits | null {
  if (processMegabytes === undefined) return null;
  return {
    total: Math.floor(processMegabytes * BYTES_PER_MEGABYTE * heldShare),
    connection: Math.floor(connectionKilobytes * BYTES_PER_KILOBYTE),
  };
}

/** Beginning or end of memory pressure, with the held bytes and their bound. */
export interface PressureChange {
  isHigh: boolean;
  held: number;
  bound: number;
}

/** Bytes held for the connection of one caller. */
export interface ConnectionBytes {
  /** Adds bytes of a request that is still being received. */
  receive(bytes: number): void;
  /** These bytes belong to a request that has been received completely. */
  received(bytes: number): void;
  /** Adds bytes of a response that the caller has not read. */
  add(bytes: number): void;
  /** Releases bytes; `isReceiving` if their request is not complete. */
  release(bytes: number, isReceiving: boolean): void;
  /** Releases all bytes; further calls have no effect. */
  close(): void;
}

/** Bytes of one response that is being received from a server. */
export interface ResponseBytes {
  add(bytes: number): void;
  /** Releases the bytes: the response is complete or has failed. */
  end(): void;
}

/** See the module's comment. */
export class HeldBytes {
  #held = 0;
  #isHigh = false;
  /** Whether the end of pressure is checked in the next turn. */
  #isReliefPending = false;
  /** Whether the bound is checked once the current callbacks have ended. */
  #isCheckPending = false;
  /** Responses that are being received and large enough to be cut off. */
  readonly #largeResponses = new Set<IncomingResponse>();
  /** Their bytes. */
  #cuttable = 0;

  private constructor(
    private readonly limits: HeldLimits | null,
    private readonly onPressure: (change: PressureChange) => void,
  ) {}

  /**
   * Creates a count of zero. `onPressure` is called when the held bytes exceed
   * three quarters of their bound, and when they are well below that again.
   */
  static create(
    limits: HeldLimits | null,
    onPressure: (change: PressureChange) => void = () => {},
  ): HeldBytes {
    return new HeldBytes(limits, onPressure);
  }

  /** Held bytes. */
  get held(): number {
    return this.#held;
  }

  /** Whether pressure has been reported and has not ended. */
  get isHigh(): boolean {
    return this.#isHigh;
  }

  /** Held bytes as a share of their bound; 0 without one. */
  get share(): number {
    return this.limits === null ? 0 : this.#held / this.limits.total;
  }

  /**
   * The same without large responses that are being received. They are cut off
   * at the bound, so they are no reason to refuse requests: a server that sends
   * without end would keep all others from being used.
   */
  get lastingShare(): number {
    if (this.limits === null) return 0;
    return (this.#held - this.#cuttable) / this.limits.total;
  }

  /**
   * Starts counting for a connection. `setPaused` is called with true when it
   * must not be read from until it has drained, and with false afterwards.
   */
  openConnection(setPaused: (isPaused: boolean) => void): ConnectionBytes {
    return CallerBytes.create(
      this.limits?.connection ?? Infinity,
      (bytes) => this.#change(bytes),
      setPaused,
    );
  }

  /**
   * Starts counting for a response; `cut` must cut it off and end it. It is not
   * called before the current callback has returned.
   */
  openResponse(cut: () => void): ResponseBytes {
    const response = IncomingResponse.create(
      (bytes) => {
        const isLarge = response.bytes >= MINIMUM_CUT;
        if (this.#largeResponses.has(response)) this.#cuttable += bytes;
        else if (bytes > 0 && isLarge) {
          this.#largeResponses.add(response);
          this.#cuttable += response.bytes;
        }
        this.#change(bytes);
      },
      () => {
        if (!this.#largeResponses.delete(response)) return;
        this.#cuttable -= response.bytes;
      },
      cut,
    );
    return response;
  }

  /** Counts bytes until the returned function is called. */
  hold(bytes: number): () => void {
    let held = bytes;
    this.#change(held);
    return () => {
      this.#change(-held);
      held = 0;
    };
  }

  #change(bytes: number): void {
    this.#held += bytes;
    if (bytes > 0) this.#scheduleCuts();
    this.#updatePressure();
  }

  /**
   * Checks the bound once the bytes that were just read have been processed:
   * Node reports the end of a response after its last chunk, and a complete
   * response must not be cut off. `setImmediate` would be too late: 600 KB of a
   * response were read in one turn of the event loop.
   */
  #scheduleCuts(): void {
    if (this.#isCheckPending || this.share < 1) return;
    this.#isCheckPending = true;
    // Node reports the end by callbacks of `process.nextTick`. Microtasks that
    // are queued by such a callback run after all of them.
    process.nextTick(() =>
      queueMicrotask(() => {
        this.#isCheckPending = false;
        this.#cutResponses();
      })
    );
  }

  /** Cuts off the largest responses until the held bytes are below the bound. */
  #cutResponses(): void {
    while (this.share >= 1 && this.#largeResponses.size > 0) {
      const [largest] = [...this.#largeResponses]
        .sort((one, other) => other.bytes - one.bytes);
      largest.end();
      largest.cut();
    }
  }

  /**
   * Pressure ends only if it is still low in the next turn of the event loop: a
   * response is released when it is complete, and counts again when it is
   * delivered in the same turn.
   */
  #updatePressure(): void {
    if (!this.#isHigh && this.share > PRESSURE_SHARE) this.#setPressure(true);
    if (!this.#isRelieved || this.#isReliefPending) return;
    this.#isReliefPending = true;
    setImmediate(() => {
      this.#isReliefPending = false;
      if (this.#isRelieved) this.#setPressure(false);
    });
  }

  /** Whether pressure has been reported and the held bytes are low again. */
  get #isRelieved(): boolean {
    return this.#isHigh && this.share < RELIEF_SHARE;
  }

  #setPressure(isHigh: boolean): void {
    if (this.limits === null) return;
    this.#isHigh = isHigh;
    const { total: bound } = this.limits;
    this.onPressure({ isHigh, held: this.#held, bound });
  }
}

class CallerBytes implements ConnectionBytes {
  #total = 0;
  /** Part of it that belongs to a request that is still being received. */
  #receiving = 0;
  #isPaused = false;
  #isClosed = false;

  private constructor(
    private readonly limit: number,
    private readonly change: (bytes: number) => void,
    private readonly setPaused: (isPaused: boolean) => void,
  ) {}

  /** Creates a count of zero that passes on each change. */
  static create(
    limit: number,
    change: (bytes: number) => void,
    setPaused: (isPaused: boolean) => void,
  ): CallerBytes {
    return new CallerBytes(limit, change, setPaused);
  }

  receive(bytes: number): void {
    this.#update(bytes, bytes);
  }

  received(bytes: number): void {
    this.#update(0, -bytes);
  }

  add(bytes: number): void {
    this.#update(bytes, 0);
  }

  release(bytes: number, isReceiving: boolean): void {
    this.#update(-bytes, isReceiving ? -bytes : 0);
  }

  close(): void {
    this.#update(-this.#total, -this.#receiving);
    this.#isClosed = true;
  }

  #update(total: number, receiving: number): void {
    if (this.#isClosed) return;
    this.#total += total;
    this.#receiving += receiving;
    this.#updatePause();
    if (total !== 0) this.change(total);
  }

  /**
   * A request that alone exceeds the limit is received to its end: nothing
   * would drain while the connection is not read from.
   */
  #updatePause(): void {
    const limit = this.#isPaused ? this.limit * DRAINED_SHARE : this.limit;
    const canDrain = this.#total > this.#receiving;
    const isPaused = canDrain && this.#total > limit;
    if (isPaused === this.#isPaused) return;
    this.#isPaused = isPaused;
    this.setPaused(isPaused);
  }
}

class IncomingResponse implements ResponseBytes {
  bytes = 0;
  #isEnded = false;

  private constructor(
    private readonly change: (bytes: number) => void,
    private readonly onEnd: () => void,
    readonly cut: () => void,
  ) {}

  /** Creates a count of zero that passes on each change. */
  static create(
    change: (bytes: number) => void,
    onEnd: () => void,
    cut: () => void,
  ): IncomingResponse {
    return new IncomingResponse(change, onEnd, cut);
  }

  add(bytes: number): void {
    if (this.#isEnded) return;
    this.bytes += bytes;
    this.change(bytes);
  }

  end(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.onEnd();
    this.change(-this.bytes);
  }
}
