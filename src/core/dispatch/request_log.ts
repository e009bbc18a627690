/**
 * Writes log lines about requests. Lines of routine steps are deferred until a
 * notable event of the same request, such as a retry or a failure. Most
 * requests complete without such an event, and their lines are never written.
 *
 * @module
 */
import type { LogLine } from "./dispatch_effect.ts";
import type { PendingRequest } from "./request.ts";

/** See the module's comment. */
export class RequestLog {
  private constructor(
    private readonly version: () => number,
    private readonly emit: (...lines: LogLine[]) => void,
  ) {}

  /**
   * Creates a log that adds the configuration's `version` to each line and
   * passes the lines to `emit`.
   */
  static create(
    version: () => number,
    emit: (...lines: LogLine[]) => void,
  ): RequestLog {
    return new RequestLog(version, emit);
  }

  /** Writes a line about a notable event after the deferred lines. */
  write(
    level: LogLine["level"],
    decision: string,
    request: PendingRequest,
    now: number,
    detail: LogLine["detail"],
  ): void {
    this.emit(...request.deferredLines);
    request.deferredLines = [];
    request.isLogged = true;
    this.emit(this.#createLine(level, decision, request, now, detail));
  }

  /** Defers a line, or writes it if the request had a notable event before. */
  defer(
    decision: string,
    request: PendingRequest,
    now: number,
    detail: LogLine["detail"],
  ): void {
    const line = this.#createLine("info", decision, request, now, detail);
    if (request.isLogged) this.emit(line);
    else request.deferredLines.push(line);
  }

  #createLine(
    level: LogLine["level"],
    decision: string,
    request: PendingRequest,
    now: number,
    detail: LogLine["detail"],
  ): LogLine {
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
