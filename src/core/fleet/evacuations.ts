/**
 * Availability zones that operators have asked to evacuate: nothing is sent to their
 * servers until the request is taken back.
 *
 * Each VM learns of it from the store's feed, or from the term holder where it leaves
 * the feed to that. Both name the position in the feed up to which they know it, and
 * what is known up to a later one wins.
 *
 * @module
 */
import * as z from "zod";

/** Longest name of an availability zone, in characters. */
const LONGEST_NAME = 255;
/** Zones that are kept at the most; bounds what an operator's mistake costs. */
const MAXIMUM_ZONES = 256;

/** Schema of {@linkcode EvacuationNews}. */
export const evacuationNewsSchema = z.object({
  /** Position in the feed up to which this is known. */
  position: z.number().int().nonnegative(),
  /** All zones that are evacuated. */
  zones: z.array(z.string().max(LONGEST_NAME)).max(MAXIMUM_ZONES),
});

/** What one VM tells another. */
export type EvacuationNews = z.infer<typeof evacuationNewsSchema>;

/** What a read of the feed brought. */
export interface EvacuationRead {
  position: number;
  evacuated: readonly string[];
  /** Zones whose request was taken back. */
  restored: readonly string[];
  /** Whether `evacuated` are all there are. */
  isWhole: boolean;
}

/** Zones that were not evacuated before, and those that no longer are. */
export interface EvacuationChange {
  evacuated: string[];
  restored: string[];
}

/** See the module's comment. */
export class Evacuations {
  #zones: ReadonlySet<string> = new Set();
  #position = -1;

  private constructor() {}

  /** No zone is known to be evacuated. */
  static create(): Evacuations {
    return new Evacuations();
  }

  /** Position in the feed up to which this VM knows it, or -1. */
  get position(): number {
    return this.#position;
  }

  /** Whether the servers of a zone get nothing. */
  has(zone: string): boolean {
    return this.#zones.has(zone);
  }

  /** All evacuated zones. */
  get zones(): string[] {
    return [...this.#zones];
  }

  /** What other VMs are told; null while nothing is known. */
  get news(): EvacuationNews | null {
    const { position, zones } = this;
    return position < 0 ? null : { position, zones };
  }

  /** Takes what the store tells. */
  read(read: EvacuationRead): EvacuationChange {
    const { position, evacuated, restored, isWhole } = read;
    if (position < this.#position) return { evacuated: [], restored: [] };
    const kept = isWhole ? [] : this.zones;
    const zones = [...kept, ...evacuated].filter((zone) =>
      !restored.includes(zone) && zone.length <= LONGEST_NAME
    );
    return this.#replace(position, zones);
  }

  /** Takes what another VM tells. */
  learn({ position, zones }: EvacuationNews): EvacuationChange {
    if (position <= this.#position) return { evacuated: [], restored: [] };
    return this.#replace(position, zones);
  }

  #replace(position: number, zones: readonly string[]): EvacuationChange {
    const before = this.#zones;
    const after = new Set(zones.slice(0, MAXIMUM_ZONES));
    this.#position = position;
    this.#zones = after;
    return {
      evacuated: [...after].filter((zone) => !before.has(zone)),
      restored: [...before].filter((zone) => !after.has(zone)),
    };
  }
}
