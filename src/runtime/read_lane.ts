/**
 * Limits the processor time that the process spends on bytes of servers that
 * are costly to read. A response may have bytes without end, in pieces so small
 * that they take a hundred times as long as a body: without a limit one server
 * could stop the requests of all callers.
 *
 * @module
 */
import { monotonicNow } from "./monotonic_clock.ts";

/** Bytes that are read at once from one connection. */
const SLICE_BYTES = 8 * 1_024;
/**
 * Time for which a response is read as soon as its bytes arrive, in
 * milliseconds. The rest of it is read in the lane.
 */
const UNPACED_TIME = 2;
/** Time for which the lane reads in one turn of the event loop. */
const TURN_TIME = 2;
/**
 * Time that reading may take, in milliseconds for each byte. Bodies take less
 * than a fifth of it, chunks of one byte twenty times as much.
 */
const USUAL_TIME_PER_BYTE = 0.01 / 1_024;
/**
 * Pause of the lane for each millisecond that reading took beyond that, in
 * milliseconds: costly bytes get a quarter of the processor.
 */
const PAUSE_FACTOR = 3;
/**
 * Longest pause, in milliseconds. Reading also takes long if the process does
 * not run meanwhile, which is not the fault of the bytes.
 */
const MAXIMUM_PAUSE = 20;

/** A connection whose bytes are read in slices. */
interface Connection {
  /**
   * Passes bytes on to the reader of the connection. Returns whether it accepts
   * more of them.
   */
  deliver(bytes: Buffer): boolean;
  /** Continues to read from the network. */
  resume(): void;
  /** Whether it is closed, so that no more bytes are needed. */
  isDestroyed(): boolean;
}

/** Reads the bytes of connections in turn; see the module's comment. */
export class ReadLane {
  readonly #waiting = new Set<PacedReads>();
  #isScheduled = false;
  #pausedUntil = -Infinity;

  private constructor(private readonly now: () => number) {}

  /** Creates a lane without connections, on the clock `now`. */
  static create(now = monotonicNow): ReadLane {
    return new ReadLane(now);
  }

  /** Returns the reads of a connection that uses this lane. */
  open(connection: Connection): PacedReads {
    return PacedReads.create(connection, this, this.now);
  }

  /** Adds reads that have bytes pending. */
  add(reads: PacedReads): void {
    this.#waiting.add(reads);
    this.#schedule();
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    const run = () => this.#run();
    const pause = this.#pausedUntil - this.now();
    if (pause > 0) setTimeout(run, pause);
    else setImmediate(run);
  }

  #run(): void {
    this.#isScheduled = false;
    const startedAt = this.now();
    let usualTime = 0;
    let spent = 0;
    while (this.#waiting.size > 0 && spent < TURN_TIME) {
      const [next] = this.#waiting;
      this.#waiting.delete(next);
      usualTime += next.readSlice() * USUAL_TIME_PER_BYTE;
      if (next.canRead) this.#waiting.add(next);
      spent = this.now() - startedAt;
    }
    const pause = PAUSE_FACTOR * Math.max(0, spent - usualTime);
    this.#pausedUntil = startedAt + spent + Math.min(MAXIMUM_PAUSE, pause);
    if (this.#waiting.size > 0) this.#schedule();
  }
}

/** The bytes of one connection that have been received and not read. */
export class PacedReads {
  #pending: Buffer[] = [];
  /** Time spent on reading the current response. */
  #spent = 0;
  /** Whether the reader of the connection accepts no more bytes for now. */
  #isBlocked = false;
  /** Number of times that it accepted bytes again. */
  #unblockCount = 0;

  private constructor(
    private readonly connection: Connection,
    private readonly lane: ReadLane,
    private readonly now: () => number,
  ) {}

  /** Creates reads without pending bytes; called by {@linkcode ReadLane}. */
  static create(
    connection: Connection,
    lane: ReadLane,
    now: () => number,
  ): PacedReads {
    return new PacedReads(connection, lane, now);
  }

  /** Whether bytes have been received that were not delivered. */
  get isPending(): boolean {
    return this.#pending.length > 0;
  }

  /** Whether bytes are pending and the reader of the connection accepts them. */
  get canRead(): boolean {
    return this.isPending && !this.#isBlocked;
  }

  /** A new response is expected on the connection. */
  startResponse(): void {
    this.#spent = 0;
  }

  /**
   * Handles received bytes. Returns whether more of them may be read from the
   * network; if not, `resume` of the connection is called later.
   */
  push(bytes: Buffer): boolean {
    this.#pending.push(bytes);
    if (this.#pending.length > 1) return false;
    while (this.canRead && this.#spent < UNPACED_TIME) this.#deliverSlice();
    if (this.canRead) this.lane.add(this);
    return !this.isPending && !this.#isBlocked;
  }

  /**
   * The reader of the connection accepts bytes again. Returns whether none are
   * pending, so that more may be read from the network.
   */
  unblock(): boolean {
    this.#isBlocked = false;
    this.#unblockCount += 1;
    if (this.isPending) this.lane.add(this);
    return !this.isPending;
  }

  /** Delivers a slice; returns its length. Called by {@linkcode ReadLane}. */
  readSlice(): number {
    if (!this.canRead) return 0;
    const length = this.#deliverSlice();
    const isDone = !this.isPending && !this.#isBlocked;
    if (isDone && !this.connection.isDestroyed()) this.connection.resume();
    return length;
  }

  #deliverSlice(): number {
    const [first] = this.#pending;
    const slice = first.subarray(0, SLICE_BYTES);
    if (slice.length === first.length) this.#pending.shift();
    else this.#pending[0] = first.subarray(SLICE_BYTES);
    const startedAt = this.now();
    const unblockCount = this.#unblockCount;
    const isAccepted = this.connection.deliver(slice);
    this.#isBlocked = !isAccepted && unblockCount === this.#unblockCount;
    this.#spent += this.now() - startedAt;
    if (this.connection.isDestroyed()) this.#pending = [];
    return slice.length;
  }
}

/** The lane of the process: all connections share its event loop. */
export const readLane = ReadLane.create();
