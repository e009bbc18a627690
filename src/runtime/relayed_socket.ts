/**
 * Connection to a backend server through another VM, as the VM that opens it
 * reads it.
 *
 * @module
 */
import { FrameDecoder } from "./frame.ts";
import { PacedSocket } from "./paced_socket.ts";
import {
  type RelayAnswer,
  type RelayFrame,
  relayFrameSchema,
} from "./relay_frame.ts";

/** Maximum length of a quoted kind of frame in an error, in characters. */
const MAXIMUM_QUOTED_KIND = 40;

/**
 * Reads the bytes of the server from the frames of the VM between, whose own
 * end does not stand for that of the server: the kernel ends the connections
 * of a killed process in order.
 */
export class RelayedSocket extends PacedSocket {
  readonly #decoder = FrameDecoder.create();
  #isOpen = false;
  /** Whether the VM between sends frames rather than bytes of the server. */
  #isFramed = true;
  #isServerEnded = false;

  private constructor(
    private readonly onAnswer: (answer: RelayAnswer) => void,
  ) {
    super();
  }

  /**
   * Creates a socket that is not connected. Calls `onAnswer` when the VM
   * between has opened its connection to the server, or has refused to.
   */
  static create(onAnswer: (answer: RelayAnswer) => void): RelayedSocket {
    return new RelayedSocket(onAnswer);
  }

  /**
   * Whether the server has ended its connection in order, after all bytes that
   * were received. Never true if the VM between is of an older version, which
   * does not state it.
   */
  get isServerEnded(): boolean {
    return this.#isServerEnded;
  }

  /** Called by Node with the bytes that arrive, and with null at their end. */
  override push(chunk: Buffer | null): boolean {
    if (chunk === null || !this.#isFramed) return super.push(chunk);
    try {
      let mayContinue = true;
      for (const value of this.#decoder.push(chunk)) {
        mayContinue = this.#receive(value);
      }
      return mayContinue && !this.hasPendingBytes;
    } catch (error) {
      this.destroy(error as Error);
      return false;
    }
  }

  /** Handles a frame. Returns whether more bytes may be read. */
  #receive(value: unknown): boolean {
    const { success, data: frame } = relayFrameSchema.safeParse(value);
    if (!this.#isOpen) {
      // The first frame is the hello of the other VM.
      if (success && isAnswer(frame)) this.#open(frame);
      return true;
    }
    if (!success || isAnswer(frame) || this.#isServerEnded) {
      throw new TypeError(`unexpected frame: ${kindOf(value)}`);
    }
    if (frame.kind === "relay.data") return this.receive(frame.bytes);
    this.#isServerEnded = true;
    return true;
  }

  #open(answer: RelayAnswer): void {
    this.#isOpen = true;
    this.#isFramed = answer.kind === "relay.opened" && answer.isFramed;
    this.onAnswer(answer);
  }
}

function isAnswer(frame: RelayFrame): frame is RelayAnswer {
  return frame.kind === "relay.opened" || frame.kind === "relay.refused";
}

function kindOf(value: unknown): string {
  const kind = (value as { kind?: unknown } | null)?.kind;
  return String(kind).slice(0, MAXIMUM_QUOTED_KIND);
}
