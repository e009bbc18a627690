/**
 * Whether a VM stands for election as term holder.
 *
 * A holder renews the grants of all servers and tells all VMs every change, so
 * its link and its processor carry what no other VM's do. Where VMs differ, the
 * place belongs to those that are clearly fitter: the others stand by and come
 * forward only while no fitter VM is heard of. On 91 VMs, of which six had 200
 * Mbit/s and the others 10, terms changed hands every six seconds while each VM
 * stood alike, since the holder's own messages kept the store's answers waiting
 * for up to 4 s.
 *
 * ```ts
 * const candidacy = Candidacy.create(fitness);
 * candidacy.hear(holderFitness, now);
 * if (candidacy.isStanding(now)) joinElectorate();
 * ```
 *
 * @module
 */

/** What a VM has, as its settings state it. */
export interface Capacity {
  /** Processor time a second, in seconds. */
  cores: number;
  /** Bandwidth of its link, in Mbit/s. */
  linkMegabits: number;
}

/** What a holder of 91 VMs and 265 servers needs: the unit of fitness. */
const HOLDER_NEED: Capacity = { cores: 0.2, linkMegabits: 20 };
/** A VM that is this many times as fit takes the place; smaller differences are
 * not worth a change of the term. */
const CLEARLY_FITTER = 1.5;
/** Time after which a fitter VM that is not heard of any more counts as gone, in
 * milliseconds: twice what the fit VMs take to elect one of themselves, which is
 * the store's time for a silent member (1.3 s) and the claim. With 2 s small VMs
 * came forward while they did so, and won by their number. */
const ABSENCE = 3_000;
/** Time that a holder goes on after it has heard of a fitter VM, in
 * milliseconds: the other VMs stand by meanwhile, so that none of them wins. */
const HANDOVER_PAUSE = 1_500;

/** How fit a VM is for the place; what it has least of decides. */
export function fitnessOf({ cores, linkMegabits }: Capacity): number {
  return Math.min(
    cores / HOLDER_NEED.cores,
    linkMegabits / HOLDER_NEED.linkMegabits,
  );
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class Candidacy {
  /** The fittest VM that is heard of, and when it last was. */
  #fittest = 0;
  #heardAt = -Infinity;
  /** Since when a fitter VM has been heard of without a gap. */
  #since = -Infinity;

  private constructor(readonly fitness: number) {}

  /** The candidacy of a VM of this fitness that has heard of no other. */
  static create(fitness: number): Candidacy {
    return new Candidacy(fitness);
  }

  /** Some VM of this fitness lives. */
  hear(fitness: number, now: number): void {
    if (!this.#isClearlyFitter(fitness)) return;
    if (now - this.#heardAt > ABSENCE) this.#since = now;
    this.#fittest = Math.max(fitness, this.#fittestNow(now));
    this.#heardAt = now;
  }

  /** Fitness of the fittest VM that is heard of, this one included. */
  fittest(now: number): number {
    return Math.max(this.fitness, this.#fittestNow(now));
  }

  /** Whether this VM stands; one that `isHolder` gives the place up later. */
  isStanding(now: number, isHolder: boolean): boolean {
    if (this.#fittestNow(now) === 0) return true;
    return isHolder && now - this.#since < HANDOVER_PAUSE;
  }

  #fittestNow(now: number): number {
    return now - this.#heardAt > ABSENCE ? 0 : this.#fittest;
  }

  #isClearlyFitter(fitness: number): boolean {
    return fitness > this.fitness * CLEARLY_FITTER;
  }
}
