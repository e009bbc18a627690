/**
 * Requests that wait for a server, by service, the most urgent first.
 *
 * @module
 */
import type { PendingRequest } from "./request.ts";

/** See the module's comment. */
export class WaitQueues {
  readonly #queues = new Map<string, PendingRequest[]>();

  private constructor() {}

  /** Queues without requests. */
  static create(): WaitQueues {
    return new WaitQueues();
  }

  /** Services that have or had waiting requests. */
  services(): string[] {
    return [...this.#queues.keys()];
  }

  /** Requests that wait for a service. */
  of(service: string): readonly PendingRequest[] {
    return this.#queues.get(service) ?? [];
  }

  /** Puts a request behind those of the same or a more urgent priority. */
  add(request: PendingRequest): void {
    const queue = this.#queues.get(request.service) ?? [];
    this.#queues.set(request.service, queue);
    const { priority } = request.route;
    let index = queue.length;
    while (index > 0 && queue[index - 1].route.priority > priority) index -= 1;
    queue.splice(index, 0, request);
  }

  /** Takes a request out, if it waits. */
  remove(request: PendingRequest): void {
    const queue = this.#queues.get(request.service);
    const index = queue?.indexOf(request) ?? -1;
    if (index >= 0) queue!.splice(index, 1);
  }

  /** Lets only these requests wait for a service. */
  replace(service: string, requests: PendingRequest[]): void {
    this.#queues.set(service, requests);
  }
}
