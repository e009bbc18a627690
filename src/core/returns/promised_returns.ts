/**
 * Returns of refused callers that the VMs have promised for one service, or
 * are expected to promise with the windows that they have.
 *
 * @module
 */

/**
 * Time from the creation of a window until the VMs report the promises that
 * they made with it, in milliseconds: a report interval.
 */
const REPORT_DELAY = 500;
/**
 * Time after which all promises of a window have been reported, in
 * milliseconds. Until then, the expected number counts unless more are
 * reported.
 */
const SETTLING_TIME = 1_200;
/** Time for which a window is kept after its end, in milliseconds. */
const RETENTION_TIME = 1_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** Returns that are promised for one window. */
interface PromisedWindow {
  priority: number;
  createdAt: number;
  from: number;
  until: number;
  expected: number;
  reported: number;
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class PromisedReturns {
  #windows: PromisedWindow[] = [];

  private constructor() {}

  /** Creates a record without promises. */
  static create(): PromisedReturns {
    return new PromisedReturns();
  }

  /**
   * Adds a window in which `expected` callers of a priority are expected to
   * return.
   */
  add(
    priority: number,
    from: number,
    until: number,
    expected: number,
    now: number,
  ): void {
    this.#windows = this.#windows
      .filter((each) => now < each.until + RETENTION_TIME);
    this.#windows.push({
      priority,
      createdAt: now,
      from,
      until,
      expected,
      reported: 0,
    });
  }

  /**
   * Records promises that a VM has made since its last report. They are
   * attributed to the window that the answer to that report contained.
   */
  reported(priority: number, count: number, now: number): void {
    const windows = this.#windows.filter((each) => each.priority === priority);
    const window = windows
      .findLast(({ createdAt }) => createdAt <= now - REPORT_DELAY) ??
      windows[0];
    if (window !== undefined) window.reported += count;
  }

  /** Returns per second that are promised for `time`. */
  rateAt(time: number, now: number): number {
    let rate = 0;
    for (const each of this.#windows) {
      if (time < each.from || time >= each.until) continue;
      const isSettled = now >= each.createdAt + SETTLING_TIME;
      const count = isSettled
        ? each.reported
        : Math.max(each.expected, each.reported);
      rate += count * MILLISECONDS_PER_SECOND / (each.until - each.from);
    }
    return rate;
  }
}
