/**
 * Writes log lines about requests. Lines of routine steps are deferred until a notable
 * event of the same request, such as a retry or a failure, since most requests complete
 * without one and their lines are of no interest.
 *
 * @module
 */
import type { Note } from "./dispatch_effect.ts";
import type { PendingRequest } from "./request.ts";

/** See the module's comment. */
export class RequestLog {
  private constructor(
    private readonly version: () => number,
    private readonly emit: (...notes: Note[]) => void,
  ) {}

  /** Adds the configuration's `version` to each line and passes lines to `emit`. */
  static create(
    version: () => number,
    emit: (...notes: Note[]) => void,
  ): RequestLog {
    return new RequestLog(version, emit);
  }

  /** Writes a line about a notable event, after the deferred lines of the request. */
  write(
    level: Note["level"],
    decision: string,
    request: PendingRequest,
    now: number,
    detail: Note["detail"],
  ): void {
    this.emit(...request.deferredNotes);
    request.deferredNotes = [];
    request.isLogged = true;
    this.emit(this.#createNote(level, decision, request, now, detail));
  }

  /** Defers a line, or writes it if the request had a notable event before. */
  defer(
    decision: string,
    request: PendingRequest,
    now: number,
    detail: Note["detail"],
  ): void {
    const note = this.#createNote("info", decision, request, now, detail);
    if (request.isLogged) this.emit(note);
    else request.deferredNotes.push(note);
  }

  #createNote(
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
