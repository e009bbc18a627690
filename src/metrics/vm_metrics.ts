/**
 * Metrics of one entry process, served in the Prometheus text format.
 *
 * @module
 */
import { Counter, Gauge, Registry } from "prom-client";
import { Latencies } from "./latencies.ts";

/** Status codes from which on an answer counts as refused. */
const REFUSED = 500;

/** See the module's comment. */
export class VmMetrics {
  readonly #registry = new Registry();
  readonly #requests = new Counter({
    name: "plumloft_requests_total",
    help: "Requests answered, by service and status",
    labelNames: ["service", "status"] as const,
    registers: [this.#registry],
  });
  readonly #latency = new Gauge({
    name: "plumloft_request_milliseconds",
    help: "Time to the end of the answer, by percentile",
    labelNames: ["outcome", "percentile"] as const,
    registers: [this.#registry],
  });
  readonly #processor = new Gauge({
    name: "plumloft_processor_seconds",
    help: "Processor time of the process",
    registers: [this.#registry],
  });
  readonly #memory = new Gauge({
    name: "plumloft_memory_bytes",
    help: "Resident memory of the process",
    registers: [this.#registry],
  });
  readonly #peerBytes = new Gauge({
    name: "plumloft_peer_bytes",
    help: "Bytes sent to and received from peers",
    labelNames: ["direction"] as const,
    registers: [this.#registry],
  });
  readonly #counts = new Map<string, number>();
  readonly served = Latencies.create();
  readonly refused = Latencies.create();

  private constructor() {}

  /** Metrics that all stand at zero. */
  static create(): VmMetrics {
    return new VmMetrics();
  }

  /** Counts an answer to a caller. */
  answered(service: string, status: number, milliseconds: number): void {
    const latencies = status >= REFUSED ? this.refused : this.served;
    latencies.record(milliseconds);
    const key = `${service} ${status}`;
    this.#counts.set(key, (this.#counts.get(key) ?? 0) + 1);
  }

  /** All metrics as text; peers' traffic is counted elsewhere. */
  render(
    traffic: { bytesSent: number; bytesReceived: number },
  ): Promise<string> {
    this.#requests.reset();
    for (const [key, count] of this.#counts) {
      const [service, status] = key.split(" ");
      this.#requests.inc({ service, status }, count);
    }
    for (const outcome of ["served", "refused"] as const) {
      for (const { percentile, value } of this[outcome].summary().percentiles) {
        this.#latency.set({ outcome, percentile: String(percentile) }, value);
      }
    }
    const { user, system } = process.cpuUsage();
    this.#processor.set((user + system) / 1e6);
    this.#memory.set(process.memoryUsage.rss());
    this.#peerBytes.set({ direction: "sent" }, traffic.bytesSent);
    this.#peerBytes.set({ direction: "received" }, traffic.bytesReceived);
    return this.#registry.metrics();
  }
}
