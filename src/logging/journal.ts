/**
 * The log of one process: JSON lines with a time, a level, the VM, and what was
 * decided.
 *
 * @module
 */
import type { Writable } from "node:stream";
import winston from "winston";
import { BatchedTransport } from "./batched_transport.ts";

/** How much is logged. */
export type Level = "error" | "warn" | "info";

/** Fields of a log line. */
export type Fields = Record<string, string | number | boolean | null>;

const MESSAGE = Symbol.for("message");

/** Writes log lines. */
export class Journal {
  private constructor(
    private readonly logger: winston.Logger,
    private readonly transport: BatchedTransport,
    private readonly vm: string,
  ) {}

  /** A journal of the process `vm` that writes to `output`. */
  static create(vm: string, level: Level, output: Writable): Journal {
    const transport = BatchedTransport.create(output);
    const line = winston.format((info) => {
      // The one place that makes text of a record; stringifying once is most of
      // what a line costs.
      (info as unknown as Record<symbol, string>)[MESSAGE] = JSON.stringify(
        info,
      );
      return info;
    });
    const logger = winston.createLogger({
      level,
      format: line(),
      transports: [transport],
    });
    return new Journal(logger, transport, vm);
  }

  /** Writes one line. */
  write(level: Level, message: string, fields: Fields): void {
    const time = new Date().toISOString();
    this.logger.log(
      Object.assign({ level, message, time, vm: this.vm }, fields),
    );
  }

  /** Lines that were dropped because the output was too slow or broken. */
  get dropped(): number {
    return this.transport.dropped;
  }

  /** Writes out everything that waits. */
  flush(): void {
    this.transport.flush();
  }
}
