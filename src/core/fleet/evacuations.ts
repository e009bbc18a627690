/**
 * Availability zones that operators have evacuated. Their servers receive no
 * requests until the zone is restored.
 *
 * A VM reads evacuations from a feed in the store, or receives them from the
 * term holder if it does not read the feed itself. Both sources state a
 * position in the feed; the state at the later position applies.
 *
 * @module
 */
import * as z from "zod";

/** Maximum length of an availability zone's name, in characters. */
const MAXIMUM_NAME_LENGTH = 255;
/**
 * Maximum number of evacuated zones. It limits memory if operators' input is
 * wrong.
 */
const MAXIMUM_ZONES = 256;

/** Schema of {@linkcode EvacuationSnapshot}. */
export const evacuationSnapshotSchema = z.object({
  /** Position in the feed at which this state applies. */
  position: z.number().int().nonnegative(),
  /** All evacuated zones. */
  zones: z.array(z.string().max(MAXIMUM_NAME_LENGTH)).max(MAXIMUM_ZONES),
});

/** The evacuated zones, as one VM sends them to another. */
export type EvacuationSnapshot = z.infer<typeof evacuationSnapshotSchema>;

/** The result of a read of the feed. */
export interface EvacuationRead {
  /** Position in the feed up to which it was read. */
  position: number;
  /** Evacuated zones: the new ones, or all. */
  evacuated: readonly string[];
  /** Zones that were restored. */
  restored: readonly string[];
  /** Whether `evacuated` lists all evacuated zones. */
  isWhole: boolean;
}

/** Zones that were newly evacuated, and zones that were restored. */
export interface EvacuationChange {
  evacuated: string[];
  restored: string[];
}

/** The evacuated zones as known to this VM; see the module's comment. */
export class Evacuations {
  #zones: ReadonlySet<string> = new Set();
  #position = -1;

  private constructor() {}

  /** Creates an instance without evacuated zones. */
  static create(): Evacuations {
    return new Evacuations();
  }

  /** Position in the feed of the known state, or -1 while none is known. */
  get position(): number {
    return this.#position;
  }

  /** Whether a zone is evacuated. */
  has(zone: string): boolean {
    return this.#zones.has(zone);
  }

  /** The evacuated zones. */
  get zones(): string[] {
    return [...this.#zones];
  }

  /** The state to send to other VMs; null while none is known. */
  get snapshot(): EvacuationSnapshot | null {
    const { position, zones } = this;
    return position < 0 ? null : { position, zones };
  }

  /**
   * Applies the result of a read of the feed, unless a later state is known.
   */
  applyRead(read: EvacuationRead): EvacuationChange {
    const { position, evacuated, restored, isWhole } = read;
    if (position < this.#position) return { evacuated: [], restored: [] };
    const kept = isWhole ? [] : this.zones;
    const zones = [...kept, ...evacuated].filter((zone) =>
      !restored.includes(zone) && zone.length <= MAXIMUM_NAME_LENGTH
    );
    return this.#replace(position, zones);
  }

  /** Applies the state that another VM sent, unless a later one is known. */
  applySnapshot({ position, zones }: EvacuationSnapshot): EvacuationChange {
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
