/**
 * Availability zones that operators have evacuated. Their servers receive no
 * requests until the zone is restored.
 *
 * A VM reads evacuations from a feed in the store, or receives them from the
 * term holder if it does not read the feed itself. Both sources state a
 * position in the feed; the state at the later position applies.
 *
 * Positions are valid in one era of the store. When the store returns from a
 * copy, in a new era, it may lack evacuations and restorations. Zones that were
 * evacuated stay so, and zones that were restored are not evacuated again,
 * until operators write the contrary.
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

const zonesSchema = z.array(z.string().max(MAXIMUM_NAME_LENGTH))
  .max(MAXIMUM_ZONES);

/** Schema of {@linkcode EvacuationSnapshot}. */
export const evacuationSnapshotSchema = z.object({
  /** Position in the feed at which this state applies. */
  position: z.number().int().nonnegative(),
  /** All evacuated zones. */
  zones: zonesSchema,
  /**
   * Era of the store to which the position belongs. Absent if it is unknown, and
   * in messages of older versions.
   */
  era: z.number().int().nonnegative().optional(),
  /** Those of the zones that were evacuated in an earlier era. */
  kept: zonesSchema.optional(),
  /** Zones that were restored, as far as known. */
  restored: zonesSchema.optional(),
  /**
   * Zones with the position at which they were last restored, as far as known.
   * Absent in messages of older versions.
   */
  restoredAt: z.array(
    z.tuple([
      z.string().max(MAXIMUM_NAME_LENGTH),
      z.number().int().nonnegative(),
    ]),
  ).max(MAXIMUM_ZONES).optional(),
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
  /**
   * Zones that were restored without having been known as evacuated here. Their
   * servers may be cold like those of other restored zones. Absent if there are
   * none.
   */
  missed?: string[];
}

/** The evacuated zones as known to this VM; see the module's comment. */
export class Evacuations {
  /** Zones that are evacuated in the store. */
  #zones: ReadonlySet<string> = new Set();
  /** Zones that were evacuated in an earlier era and are not in the store. */
  #kept: ReadonlySet<string> = new Set();
  /** Zones that were restored. */
  #restored: ReadonlySet<string> = new Set();
  /** Position at which zones were last restored in this era. */
  readonly #restoredAt = new Map<string, number>();
  /** Era of the store to which the position belongs, or null if unknown. */
  #era: number | null = null;
  #position = -1;
  /** Whether the feed was read completely in this era. */
  #isRead = false;

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
    return this.#zones.has(zone) || this.#kept.has(zone);
  }

  /** The evacuated zones. */
  get zones(): string[] {
    return [...new Set([...this.#zones, ...this.#kept])];
  }

  /** The state to send to other VMs; null while none is known. */
  get snapshot(): EvacuationSnapshot | null {
    const { position, zones } = this;
    if (position < 0) return null;
    return {
      position,
      zones,
      ...(this.#era === null ? {} : { era: this.#era }),
      ...(this.#kept.size === 0 ? {} : { kept: [...this.#kept] }),
      ...(this.#restored.size === 0 ? {} : { restored: [...this.#restored] }),
      ...(this.#restoredAt.size === 0
        ? {}
        : { restoredAt: [...this.#restoredAt] }),
    };
  }

  /**
   * Applies the result of a read of the feed in an era of the store, unless a
   * later state is known.
   */
  applyRead(
    { position, evacuated, restored, isWhole }: EvacuationRead,
    era: number | null = null,
  ): EvacuationChange {
    const before = this.zones;
    const since = this.#positionIn(era);
    if (era !== this.#era) this.#enterEra(era);
    if (position < this.#position) return this.#changeSince(before);
    const listed = evacuated.filter(isValidName);
    this.#position = position;
    if (isWhole) {
      // The copy may lack the restoration.
      const zones = this.#isRead ? listed : without(listed, this.#restored);
      this.#isRead = true;
      this.#zones = limit(zones);
      this.#restored = limit(without(this.#restored, this.#zones));
      this.#kept = limit(without(this.#kept, this.#zones));
      const change = this.#changeSince(before);
      for (const zone of change.restored) this.#recordRestored(zone, position);
      return change;
    }
    const ended = restored.filter(isValidName);
    this.#zones = limit(without([...this.#zones, ...listed], new Set(ended)));
    this.#kept = limit(without(this.#kept, new Set([...listed, ...ended])));
    this.#restored = limit(
      without([...this.#restored, ...ended], new Set(listed)),
    );
    for (const zone of ended) this.#recordRestored(zone, position);
    const restorations = ended.map((zone) => [zone, position] as const);
    return this.#changeSince(before, missedSince(since, restorations, before));
  }

  /** Applies the state that another VM sent, unless a later one is known. */
  applySnapshot(snapshot: EvacuationSnapshot): EvacuationChange {
    const { position, era = null, kept = [], restored = [] } = snapshot;
    const before = this.zones;
    if (isOlder(era, this.#era)) return { evacuated: [], restored: [] };
    const since = this.#positionIn(era);
    if (era !== this.#era) this.#enterEra(era);
    const ended = new Set(restored);
    let missed: string[] = [];
    if (position > this.#position) {
      const { restoredAt = [] } = snapshot;
      for (const [zone, at] of restoredAt) this.#recordRestored(zone, at);
      missed = missedSince(since, restoredAt, before);
      this.#position = position;
      this.#zones = limit(without(snapshot.zones, new Set(kept)));
      this.#restored = limit(
        without([...this.#restored, ...restored], this.#zones),
      );
    }
    this.#kept = limit(
      without(
        without([...this.#kept, ...kept], ended),
        new Set([...this.#zones, ...this.#restored]),
      ),
    );
    return this.#changeSince(before, missed);
  }

  #recordRestored(zone: string, position: number): void {
    const known = this.#restoredAt.get(zone) ?? -1;
    if (known < 0 && this.#restoredAt.size >= MAXIMUM_ZONES) return;
    this.#restoredAt.set(zone, Math.max(known, position));
  }

  /**
   * Known position in an era, or -1. A position that was known before any era
   * belongs to the first one.
   */
  #positionIn(era: number | null): number {
    return this.#era === null || era === this.#era ? this.#position : -1;
  }

  /** Continues in a new era, in which no position is known yet. */
  #enterEra(era: number | null): void {
    this.#restoredAt.clear();
    const isFirst = this.#position < 0;
    this.#era = era;
    this.#position = -1;
    this.#isRead = false;
    if (isFirst) return;
    this.#kept = new Set(this.zones);
    this.#zones = new Set();
  }

  #changeSince(
    before: readonly string[],
    missed: string[] = [],
  ): EvacuationChange {
    const after = this.zones;
    return {
      evacuated: after.filter((zone) => !before.includes(zone)),
      restored: before.filter((zone) => !after.includes(zone)),
      ...(missed.length === 0 ? {} : { missed }),
    };
  }
}

/**
 * Returns the zones that were restored after position `since` and were not known
 * as evacuated `before`. A VM that knew no position has missed nothing: it has
 * just learned of all servers, with what their entries state.
 */
function missedSince(
  since: number,
  restorations: readonly (readonly [string, number])[],
  before: readonly string[],
): string[] {
  if (since < 0) return [];
  return restorations.filter(([zone, position]) =>
    position > since && !before.includes(zone)
  ).map(([zone]) => zone);
}

/** Whether era `a` is older than `b`; a state without an era is the oldest. */
function isOlder(a: number | null, b: number | null): boolean {
  return b !== null && (a === null || a < b);
}

function isValidName(zone: string): boolean {
  return zone.length <= MAXIMUM_NAME_LENGTH;
}

function without(
  zones: Iterable<string>,
  excluded: ReadonlySet<string>,
): string[] {
  return [...zones].filter((zone) => !excluded.has(zone));
}

function limit(zones: readonly string[]): ReadonlySet<string> {
  return new Set(zones.slice(0, MAXIMUM_ZONES));
}
