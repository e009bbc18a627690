/**
 * Priority queues of requests that wait for a server, one for each service.
 *
 * @module
 */
import type { PendingRequest } from "./request.ts";

/** See the module's comment. */
export class WaitQueues {
  readonly #queues = new Map<string, PendingRequest[]>();

  private constructor() {}

  /** Creates empty queues. */
  static create(): WaitQueues {
    return new WaitQueues();
  }

  /** Names of the services that have or had queued requests. */
  services(): string[] {
    return [...this.#queues.keys()];
  }

  /** Queued requests of a service, the most urgent first. */
  of(service: string): readonly PendingRequest[] {
    return this.#queues.get(service) ?? [];
  }

  /** Inserts a request after those of the same or a more urgent priority. */
  add(request: PendingRequest): void {
    const queue = this.#queues.get(request.service) ?? [];
    this.#queues.set(request.service, queue);
    const { priority } = request.route;
    let index = queue.length;
    while (index > 0 && queue[index - 1].route.priority > priority) index -= 1;
    queue.splice(index, 0, request);
  }

  /** Removes a request, if it is queued. */
  remove(request: PendingRequest): void {
    const queue = this.#queues.get(request.service);
    const index = queue?.indexOf(request) ?? -1;
    if (index >= 0) queue!.splice(index, 1);
  }

  /** Replaces the queue of a service. */
  replace(service: string, requests: PendingRequest[]): void {
    this.#queues.set(service, requests);
  }
}
