/**
 * Copies of a request that this VM has in flight at the same time.
 *
 * Until a server has answered a request, it may be one that crashes each server
 * that runs it. Callers that send six copies of such a request at once would
 * end six servers, before any VM can know of the first crash. Copies of a
 * non-idempotent request therefore share a server, as long as no copy has been
 * answered: copies at one VM then end one server. Once a copy has been
 * answered, the others are placed like different requests, since many callers
 * may send the same one.
 *
 * ```ts
 * copies.started(request, server.id);
 * copies.sharedServer(copy); // server.id
 * copies.answered(request);
 * copies.sharedServer(copy); // null
 * copies.ended(request);
 * ```
 *
 * @module
 */
import type { PendingRequest } from "./request.ts";

/** A request in flight. */
interface Copy {
  request: PendingRequest;
  server: string;
  /** Whether a copy that was in flight at the same time has been answered. */
  isAnswered: boolean;
}

/** See the module's comment. */
export class CopiesInFlight {
  /**
   * Requests in flight by host and path. Fingerprints are compared only among
   * those with the same ones, so that most bodies need not be hashed.
   */
  readonly #byTarget = new Map<string, Copy[]>();

  private constructor() {}

  /** Creates an instance without requests. */
  static create(): CopiesInFlight {
    return new CopiesInFlight();
  }

  /**
   * Id of the server to which a copy of `request` was sent last, if no copy has
   * been answered; otherwise null.
   */
  sharedServer(request: PendingRequest): string | null {
    if (!isTracked(request)) return null;
    const copies = this.#copiesOf(request);
    if (copies.some(({ isAnswered }) => isAnswered)) return null;
    return copies.at(-1)?.server ?? null;
  }

  /** Records that a request was sent to a server. */
  started(request: PendingRequest, server: string): void {
    if (!isTracked(request)) return;
    const isAnswered = this.#copiesOf(request).some((each) => each.isAnswered);
    const name = targetOf(request);
    const others = this.#byTarget.get(name) ?? [];
    this.#byTarget.set(name, [...others, { request, server, isAnswered }]);
  }

  /** Records that a server has answered a request. */
  answered(request: PendingRequest): void {
    if (!isTracked(request)) return;
    for (const copy of this.#copiesOf(request)) copy.isAnswered = true;
  }

  /** Records that a request is no longer in flight. */
  ended(request: PendingRequest): void {
    if (!isTracked(request)) return;
    const name = targetOf(request);
    const others = this.#byTarget.get(name)
      ?.filter((each) => each.request !== request) ?? [];
    if (others.length > 0) this.#byTarget.set(name, others);
    else this.#byTarget.delete(name);
  }

  /** The copies of `request`, without itself, in the order of their start. */
  #copiesOf(request: PendingRequest): Copy[] {
    const sameTarget = this.#byTarget.get(targetOf(request)) ?? [];
    const others = sameTarget.filter((each) => each.request !== request);
    if (others.length === 0) return [];
    const { complete } = request.arrival.fingerprint;
    return others.filter((each) =>
      each.request.arrival.fingerprint.complete === complete
    );
  }
}

/** A request with a key has one server, and an idempotent one is hedged. */
function isTracked({ key, route }: PendingRequest): boolean {
  return key === null && !route.isIdempotent;
}

function targetOf({ arrival }: PendingRequest): string {
  return `${arrival.host}${arrival.target}`;
}
