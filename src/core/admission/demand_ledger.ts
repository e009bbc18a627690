/**
 * Demand of all VMs at the term holder, by service and priority.
 *
 * Each VM counts for the time that its last report covers, and until it has not
 * reported for {@linkcode REPORT_LIFETIME}. This follows a rise within one
 * report of each VM, whereas a window over all reports would add its own length
 * to the delay.
 *
 * @module
 */
import type { PriorityDemand } from "../peers/peer_message.ts";
import type { RankedDemand } from "./request_rank.ts";

/**
 * Time after its last report for which a VM counts, in milliseconds: two
 * regular intervals between reports, and some delay.
 */
const REPORT_LIFETIME = 1_200;
/**
 * Minimum time that a report counts for, in milliseconds. Shorter ones contain
 * too few requests for a rate.
 */
const MINIMUM_INTERVAL = 50;

/** Last report of one VM. */
interface VmReport {
  /** When it was sent, by the VM's clock, and received, by this VM's. */
  sentAt: number;
  receivedAt: number;
  /** Time that it covers, in milliseconds; Infinity if it is unknown. */
  interval: number;
  demands: readonly PriorityDemand[];
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class DemandLedger {
  readonly #reports = new Map<string, VmReport>();

  private constructor() {}

  /** Creates a ledger without reports. */
  static create(): DemandLedger {
    return new DemandLedger();
  }

  /**
   * Records the requests that the VM at `address` has received since its last
   * report. The report was sent at `sentAt` by the VM's clock. It does not count
   * if there is no earlier one, since the time that it covers is unknown then:
   * the VM may have had no term holder for seconds, or have restarted.
   */
  record(
    address: string,
    demands: readonly PriorityDemand[],
    sentAt: number,
    now: number,
  ): void {
    const last = this.#reports.get(address);
    const isFirst = last === undefined || sentAt <= last.sentAt;
    const interval = isFirst
      ? Infinity
      : Math.max(MINIMUM_INTERVAL, sentAt - last.sentAt);
    const report = { sentAt, receivedAt: now, interval, demands };
    this.#reports.set(address, report);
  }

  /** Removes all reports. */
  clear(): void {
    this.#reports.clear();
  }

  /**
   * Returns the requests per second of each service, by its name, for each
   * priority with requests.
   */
  rates(now: number): Map<string, RankedDemand[]> {
    const rates = new Map<string, RankedDemand[]>();
    for (const [address, { receivedAt, interval, demands }] of this.#reports) {
      if (now - receivedAt > REPORT_LIFETIME) {
        this.#reports.delete(address);
        continue;
      }
      for (const { service, priority, arrived, returned } of demands) {
        const known = rates.get(service) ?? [];
        rates.set(service, known);
        let rate = known.find((each) => each.priority === priority);
        if (rate === undefined) {
          rate = { priority, arrived: 0, returned: 0 };
          known.push(rate);
        }
        rate.arrived += arrived * 1_000 / interval;
        rate.returned += returned * 1_000 / interval;
      }
    }
    return rates;
  }
}
