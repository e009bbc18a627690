/**
 * Placement decides which backend server gets a slot. It weighs the imbalance
 * of load against the churn of ownership: a slot stays where it is unless its
 * server goes or the gain is worth the move.
 *
 * @module
 */
import type { Slot } from "./view.ts";

/** A slot that should move to another server. */
export interface SlotMove {
  slot: number;
  server: string;
}

/** What a placement decides upon. */
export interface PlacementInput {
  slots: readonly Slot[];
  /** Load of each slot in requests a second; equal loads when absent. */
  loads: readonly number[] | null;
  /** Servers that may hold slots. */
  servers: readonly string[];
}

/** A way of placing slots. */
export abstract class Placement {
  /** Servers for the given vacant slots. */
  abstract fill(input: PlacementInput, vacant: readonly number[]): SlotMove[];

  /** At most `limit` moves of owned slots that improve the balance. */
  abstract improve(input: PlacementInput, limit: number): SlotMove[];
}

/** Weight of a slot that no load is known of. */
const UNKNOWN_LOAD = 1;

/** Part of the mean load that counts for a slot's mere existence. */
const COUNT_SHARE = 0.1;

/**
 * Gives vacant slots, heaviest first, to the least loaded server, and moves a
 * slot only when the highest load exceeds the mean by `tolerance`.
 */
export class LeastLoadedPlacement extends Placement {
  private constructor(readonly tolerance: number) {
    super();
  }

  /** `tolerance` is the imbalance (maximum over mean) that is left alone. */
  static create(tolerance: number): LeastLoadedPlacement {
    return new LeastLoadedPlacement(tolerance);
  }

  override fill(input: PlacementInput, vacant: readonly number[]): SlotMove[] {
    if (input.servers.length === 0) return [];
    const weights = slotWeights(input);
    const loads = serverLoads(input, weights);
    const heaviestFirst = [...vacant].sort((a, b) =>
      weights[b] - weights[a] || a - b
    );
    return heaviestFirst.map((slot) => {
      const server = lightest(loads);
      loads.set(server, loads.get(server)! + weights[slot]);
      return { slot, server };
    });
  }

  override improve(input: PlacementInput, limit: number): SlotMove[] {
    if (input.servers.length < 2) return [];
    const weights = slotWeights(input);
    const loads = serverLoads(input, weights);
    const owners = input.slots.map((slot) => slot.server);
    const moves: SlotMove[] = [];
    while (moves.length < limit) {
      const move = this.#bestMove(owners, weights, loads);
      if (move === null) break;
      const from = owners[move.slot]!;
      loads.set(from, loads.get(from)! - weights[move.slot]);
      loads.set(move.server, loads.get(move.server)! + weights[move.slot]);
      owners[move.slot] = move.server;
      moves.push(move);
    }
    return moves;
  }

  /** Moves from the fullest server the slot that evens out the two best. */
  #bestMove(
    owners: readonly (string | null)[],
    weights: readonly number[],
    loads: ReadonlyMap<string, number>,
  ): SlotMove | null {
    const total = [...loads.values()].reduce((sum, load) => sum + load, 0);
    const mean = total / loads.size;
    const from = heaviest(loads);
    const to = lightest(loads);
    const gap = loads.get(from)! - loads.get(to)!;
    if (loads.get(from)! <= mean * this.tolerance) return null;
    let best: number | null = null;
    for (const [slot, owner] of owners.entries()) {
      if (owner !== from || weights[slot] >= gap) continue;
      const distance = Math.abs(weights[slot] - gap / 2);
      if (best === null || distance < Math.abs(weights[best] - gap / 2)) {
        best = slot;
      }
    }
    return best === null ? null : { slot: best, server: to };
  }
}

function slotWeights({ slots, loads }: PlacementInput): number[] {
  if (loads === null) return slots.map(() => UNKNOWN_LOAD);
  const total = loads.reduce((sum, load) => sum + load, 0);
  const floor = total === 0 ? UNKNOWN_LOAD : total / slots.length * COUNT_SHARE;
  return slots.map((_, slot) => (loads[slot] ?? 0) + floor);
}

function serverLoads(
  { slots, servers }: PlacementInput,
  weights: readonly number[],
): Map<string, number> {
  const loads = new Map(servers.map((server) => [server, 0]));
  for (const [index, { server }] of slots.entries()) {
    if (server === null || !loads.has(server)) continue;
    loads.set(server, loads.get(server)! + weights[index]);
  }
  return loads;
}

function lightest(loads: ReadonlyMap<string, number>): string {
  return extreme(loads, (a, b) => a < b);
}

function heaviest(loads: ReadonlyMap<string, number>): string {
  return extreme(loads, (a, b) => a > b);
}

function extreme(
  loads: ReadonlyMap<string, number>,
  better: (a: number, b: number) => boolean,
): string {
  let best = "";
  for (const [server, load] of loads) {
    if (best === "" || better(load, loads.get(best)!)) best = server;
  }
  return best;
}
