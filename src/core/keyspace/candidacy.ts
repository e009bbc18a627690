/**
 * Decides whether a VM is a candidate in the election of the term holder.
 *
 * The term holder renews the grants of all servers and sends every change to
 * all VMs, so it needs far more bandwidth and processor time than any other VM.
 * If VMs differ, only the clearly fitter ones are candidates. The others become
 * candidates only while no fitter VM is known to run. Without this rule, in a
 * cluster of 91 VMs of which 6 had 200 Mbit/s and the others 10 Mbit/s, the
 * term changed every 6 s: the messages of a holder with a slow link delayed the
 * answers of the store to it by up to 4 s.
 *
 * ```ts
 * const candidacy = Candidacy.create(fitness);
 * candidacy.observe(holderFitness, now);
 * if (candidacy.isCandidate(now, isElected)) joinElectorate();
 * ```
 *
 * @module
 */

/** Resources of a VM according to its settings. */
export interface Capacity {
  /** Processor time per second, in seconds. */
  cores: number;
  /** Bandwidth of its network link, in Mbit/s. */
  linkMegabits: number;
}

/**
 * What the term holder of a cluster of 91 VMs and 265 servers needs: the unit
 * of fitness.
 */
const REFERENCE_CAPACITY: Capacity = { cores: 0.2, linkMegabits: 20 };
/**
 * Ratio of fitness above which another VM counts as clearly fitter. A smaller
 * difference does not justify a change of the term.
 */
const MIN_FITNESS_RATIO = 1.5;
/**
 * Time without a message about a fitter VM after which this VM assumes that
 * there is none, in milliseconds. It is twice the time that an election among
 * the fit VMs takes: the store's timeout for a member that does not call
 * (1.3 s) plus the claim. With 2 s, small VMs became candidates during that
 * election and won it by their number.
 */
const FITTER_VM_TIMEOUT = 3_000;
/**
 * Time for which a term holder remains a candidate after it has learned of a
 * fitter VM, in milliseconds. Other less fit VMs stop being candidates in the
 * meantime, so that none of them is elected.
 */
const HANDOVER_DELAY = 1_500;

/**
 * Returns the fitness of a VM as term holder. The scarcest resource determines
 * it.
 */
export function fitnessOf({ cores, linkMegabits }: Capacity): number {
  return Math.min(
    cores / REFERENCE_CAPACITY.cores,
    linkMegabits / REFERENCE_CAPACITY.linkMegabits,
  );
}

/** Candidacy of one VM. All times are milliseconds of this VM's clock. */
export class Candidacy {
  /** Highest fitness among the clearly fitter VMs that were observed. */
  #observedFitness = 0;
  /** When a clearly fitter VM was last observed. */
  #lastSeenAt = -Infinity;
  /**
   * Time since which clearly fitter VMs have been observed without a gap of
   * more than {@linkcode FITTER_VM_TIMEOUT}.
   */
  #fitterSince = -Infinity;

  private constructor(readonly fitness: number) {}

  /** Creates the candidacy of a VM that has observed no other. */
  static create(fitness: number): Candidacy {
    return new Candidacy(fitness);
  }

  /** Records that another VM, which has this fitness, is running. */
  observe(fitness: number, now: number): void {
    if (!this.#isClearlyFitter(fitness)) return;
    if (now - this.#lastSeenAt > FITTER_VM_TIMEOUT) this.#fitterSince = now;
    this.#observedFitness = Math.max(fitness, this.#knownFitness(now));
    this.#lastSeenAt = now;
  }

  /**
   * Records that this process has stalled for `duration` milliseconds until
   * now. Messages about fitter VMs may be waiting to be read.
   */
  processStalled(duration: number): void {
    this.#lastSeenAt += duration;
  }

  /** Returns the highest fitness among the known VMs, including this one. */
  highestFitness(now: number): number {
    return Math.max(this.fitness, this.#knownFitness(now));
  }

  /**
   * Whether this VM is a candidate. An elected VM (`isElected`), such as the
   * term holder, remains one for {@linkcode HANDOVER_DELAY} after it has
   * learned of a fitter VM.
   */
  isCandidate(now: number, isElected: boolean): boolean {
    if (this.#knownFitness(now) === 0) return true;
    return isElected && now - this.#fitterSince < HANDOVER_DELAY;
  }

  /** Highest fitness among the clearly fitter VMs known now, or 0. */
  #knownFitness(now: number): number {
    return now - this.#lastSeenAt > FITTER_VM_TIMEOUT
      ? 0
      : this.#observedFitness;
  }

  #isClearlyFitter(fitness: number): boolean {
    return fitness > this.fitness * MIN_FITNESS_RATIO;
  }
}
