/**
 * What a member knows of its site's ownership: the newest view it has adopted
 * and the term it has promised to. A member never goes back on either, which is
 * what its confirmations are worth.
 *
 * @module
 */
import { EMPTY_MEMBERSHIP, includesMember } from "../membership/index.ts";
import {
  comparePositions,
  laterPosition,
  ORIGIN,
  type Position,
} from "../position.ts";
import { applyChange, type View, type ViewChange } from "./view.ts";

/** What came of a view change. */
export type Adoption = "adopted" | "stale" | "gap";

/** The view before the first. */
export const EMPTY_VIEW: View = {
  position: ORIGIN,
  membership: EMPTY_MEMBERSHIP,
  services: {},
};

/** See the module's comment. */
export class ViewReplica {
  #view: View = EMPTY_VIEW;
  #floor: Position = ORIGIN;

  private constructor() {}

  /** A replica that has adopted nothing. */
  static create(): ViewReplica {
    return new ViewReplica();
  }

  /** The newest view adopted. */
  get view(): View {
    return this.#view;
  }

  /** Positions before this one are no longer confirmed. */
  get floor(): Position {
    return this.#floor;
  }

  /** Promises never again to adopt a view of a term before `term`. */
  promise(term: number): boolean {
    if (term < this.#floor.term) return false;
    this.#floor = laterPosition(this.#floor, { term, version: 0 });
    return true;
  }

  /** Adopts a whole view unless it is older than what was promised. */
  adopt(view: View): Adoption {
    if (comparePositions(view.position, this.#floor) < 0) return "stale";
    if (comparePositions(view.position, this.#view.position) <= 0) {
      return "stale";
    }
    this.#view = view;
    this.#floor = view.position;
    return "adopted";
  }

  /** Adopts a change, which must start at the view adopted last. */
  change(change: ViewChange): Adoption {
    if (comparePositions(change.to, this.#floor) < 0) return "stale";
    if (comparePositions(change.to, this.#view.position) <= 0) return "stale";
    const view = applyChange(this.#view, change);
    if (view === null) return "gap";
    return this.adopt(view);
  }

  /** Whether the adopted view counts this process among its members. */
  isMember(vm: string, incarnation: number): boolean {
    return includesMember(this.#view.membership.members, vm, incarnation);
  }
}
