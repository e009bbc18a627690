/**
 * A backend server in the model. It verifies leases and deadlines but no
 * tokens, so that exclusive ownership rests on the routers alone.
 *
 * @module
 */

/** A request as it reaches a server. */
export interface ServerRequest {
  requestId: string;
  service: string;
  slot: number | null;
  token: number | null;
  /** Wall-clock time after which work may not start. */
  notAfter: number;
  /** Wall-clock time after which the caller no longer waits. */
  deadline: number;
  /** Called when the work has ended. */
  answer: (verdict: "ran" | "shed") => void;
  /** Called when the connection breaks. */
  broke: () => void;
}

/** See the module's comment. */
export class ModelServer {
  isUp = true;
  frozen = 0;
  readonly waiting: (() => void)[] = [];
  readonly running = new Set<ServerRequest>();

  private constructor(
    readonly id: string,
    readonly service: string,
    readonly checksLease: boolean,
    /** How far its wall clock is off, in milliseconds. */
    readonly clockError: number,
  ) {}

  /** A server that is up. */
  static create(
    id: string,
    service: string,
    checksLease: boolean,
    clockError: number,
  ): ModelServer {
    return new ModelServer(id, service, checksLease, clockError);
  }

  /** Does `action` now, or when the server thaws. */
  whenThawed(action: () => void): void {
    if (this.frozen > 0) this.waiting.push(action);
    else action();
  }

  /** Ends one freeze. */
  thaw(): void {
    this.frozen -= 1;
    if (this.frozen > 0) return;
    for (const action of this.waiting.splice(0)) action();
  }

  /** Whether the server starts work on a request at wall time `now`. */
  accepts(request: ServerRequest, now: number): boolean {
    const wall = now + this.clockError;
    if (wall >= request.deadline) return false;
    return !this.checksLease || request.slot === null ||
      wall < request.notAfter;
  }

  /** The process dies: connections break, and what waited never runs. */
  kill(): void {
    this.isUp = false;
    this.waiting.length = 0;
    for (const request of this.running) request.broke();
    this.running.clear();
  }
}
