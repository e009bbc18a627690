/**
 * Lines of the log about requests. Most requests are served at once and nobody
 * asks about those, so a request's lines are held back until something happens
 * to it; then all of them are written.
 *
 * @module
 */
import type { Note } from "./dispatch_effect.ts";
import type { PendingRequest } from "./request.ts";

/** See the module's comment. */
export class RequestLog {
  private constructor(
    private readonly version: () => number,
    private readonly write: (...notes: Note[]) => void,
  ) {}

  /** A log that adds the configuration's `version` and passes lines to `write`. */
  static create(
    version: () => number,
    write: (...notes: Note[]) => void,
  ): RequestLog {
    return new RequestLog(version, write);
  }

  /** Something happened to a request: writes this line after all others. */
  note(
    level: Note["level"],
    decision: string,
    request: PendingRequest,
    now: number,
    detail: Note["detail"],
  ): void {
    this.write(...request.trace);
    request.trace = [];
    request.isNoteworthy = true;
    this.write(this.#line(level, decision, request, now, detail));
  }

  /** Holds a line back, unless something has happened already. */
  trace(
    decision: string,
    request: PendingRequest,
    now: number,
    detail: Note["detail"],
  ): void {
    const line = this.#line("info", decision, request, now, detail);
    if (request.isNoteworthy) this.write(line);
    else request.trace.push(line);
  }

  #line(
    level: Note["level"],
    decision: string,
    request: PendingRequest,
    now: number,
    detail: Note["detail"],
  ): Note {
    return {
      kind: "note",
      level,
      decision,
      detail: {
        request: request.arrival.id,
        route: request.route.name,
        service: request.service,
        key: request.key,
        age: Math.round(now - request.arrivedAt),
        version: this.version(),
        ...detail,
      },
    };
  }
}
