/**
 * Logger of one process. It writes one JSON object per line, with the time,
 * level, VM, message and further fields.
 *
 * @module
 */
import type { Writable } from "node:stream";
import winston from "winston";
import { BatchedTransport } from "./batched_transport.ts";

/** Severity of a log line. */
export type LogLevel = "error" | "warn" | "info";

/** Additional fields of a log line. */
export type LogFields = Record<string, string | number | boolean | null>;

/** Key under which winston stores the formatted line. */
const MESSAGE = Symbol.for("message");

/** See the module's comment. */
export class Logger {
  private constructor(
    private readonly logger: winston.Logger,
    private readonly transport: BatchedTransport,
    private readonly vm: string,
  ) {}

  /**
   * Creates a logger for the VM `vm` that writes lines of `level` and above to
   * `output`.
   */
  static create(vm: string, level: LogLevel, output: Writable): Logger {
    const transport = BatchedTransport.create(output);
    const jsonFormat = winston.format((info) => {
      // The only place that serializes a line: serialization is most of the
      // cost of a line, so it is done once.
      (info as unknown as Record<symbol, string>)[MESSAGE] = JSON.stringify(
        info,
      );
      return info;
    });
    const logger = winston.createLogger({
      level,
      format: jsonFormat(),
      transports: [transport],
    });
    return new Logger(logger, transport, vm);
  }

  /** Writes one line. */
  write(level: LogLevel, message: string, fields: LogFields): void {
    const time = new Date().toISOString();
    this.logger.log(
      Object.assign({ level, message, time, vm: this.vm }, fields),
    );
  }

  /** Number of lines dropped because the output was too slow or broken. */
  get dropped(): number {
    return this.transport.dropped;
  }

  /** Writes all buffered lines. */
  flush(): void {
    this.transport.flush();
  }
}
