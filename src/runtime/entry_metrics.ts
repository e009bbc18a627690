/**
 * Counters and latency histograms of one entry process, in the Prometheus text
 * format.
 *
 * @module
 */
import { LatencyHistogram } from "../metrics/latency_histogram.ts";

/** Returns the current gauges; called when metrics are rendered. */
export type GaugeReader = () => Record<string, number>;

/** See the module's comment. */
export class EntryMetrics {
  readonly #counters = new Map<string, number>();
  readonly #latencies = new Map<string, LatencyHistogram>();

  private constructor(private readonly readGauges: GaugeReader) {}

  /** Creates metrics without counters and histograms. */
  static create(readGauges: GaugeReader): EntryMetrics {
    return new EntryMetrics(readGauges);
  }

  /**
   * Increments a counter. `labels` has the form `status="200",source="server"`.
   */
  count(name: string, labels = ""): void {
    const key = labels === "" ? name : `${name}{${labels}}`;
    this.#counters.set(key, (this.#counters.get(key) ?? 0) + 1);
  }

  /** Records a duration in a latency histogram. */
  observe(name: string, milliseconds: number): void {
    let latencies = this.#latencies.get(name);
    if (latencies === undefined) {
      latencies = LatencyHistogram.create();
      this.#latencies.set(name, latencies);
    }
    latencies.record(milliseconds);
  }

  /**
   * Records a response to a caller; `isOwn` if plumloft itself produced it.
   */
  recordResponse(status: number, isOwn: boolean, milliseconds: number): void {
    const source = isOwn ? "plumloft" : "server";
    this.count("requests_total", `status="${status}",source="${source}"`);
    this.observe("request_milliseconds", milliseconds);
  }

  /** Renders all metrics as text. */
  render(): string {
    const lines: string[] = [];
    for (const [key, count] of this.#counters) {
      lines.push(`plumloft_${key} ${count}`);
    }
    for (const [name, value] of Object.entries(this.readGauges())) {
      lines.push(`plumloft_${name} ${value}`);
    }
    for (const [name, latencies] of this.#latencies) {
      const { count, percentiles } = latencies.summary();
      for (const { percentile, value } of percentiles) {
        const quantile = percentile / 100;
        lines.push(`plumloft_${name}{quantile="${quantile}"} ${value}`);
      }
      lines.push(`plumloft_${name}_count ${count}`);
    }
    return `${lines.join("\n")}\n`;
  }
}
