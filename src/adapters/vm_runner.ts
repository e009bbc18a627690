/**
 * Carries out the effects of an entry process.
 *
 * @module
 */
import type { Dispatch, Effect, Refusal } from "../core/index.ts";
import type { Journal } from "../logging/index.ts";
import type { BackendClient } from "./backend_client.ts";
import type { CallerServer } from "./caller_server.ts";
import { EffectRunner } from "./event_loop.ts";
import type { LogTail } from "./log_tail.ts";
import type { PeerNetwork } from "./peer_network.ts";

/** What effects are carried out with. */
export interface VmAdapters {
  log: LogTail;
  peers: PeerNetwork;
  callers: CallerServer;
  backends: BackendClient;
  journal: Journal;
  /** Whether each routing decision gets a line. */
  logsRequests: boolean;
  /** Called when nothing is in flight after a shutdown was requested. */
  stopped(): void;
  /** Called when the process cannot go on. */
  failed(reason: string): void;
}

/** See the module's comment. */
export class VmRunner extends EffectRunner {
  private constructor(private readonly adapters: VmAdapters) {
    super();
  }

  /** A runner over these adapters. */
  static create(adapters: VmAdapters): VmRunner {
    return new VmRunner(adapters);
  }

  override run(effect: Effect): void {
    const { log, peers, callers, backends, journal } = this.adapters;
    switch (effect.kind) {
      case "request.dispatch":
        return this.#dispatch(effect);
      case "request.deliver":
        return backends.deliver(effect.attempt);
      case "request.refuse":
        return this.#refuse(effect);
      case "attempt.abort":
        return backends.abort(effect.attempt, effect.cause);
      case "attempt.discard":
        return backends.discard(effect.attempt);
      case "peer.send":
        return peers.send(effect.address, effect.message);
      case "log.append":
        return log.append(effect.record);
      case "server.probe":
        return backends.probe(effect);
      case "server.grant":
        return backends.grant(effect);
      case "configuration.apply":
        callers.configure(effect.configuration);
        return backends.configure(effect.configuration);
      case "note":
        return journal.write(effect.level, effect.decision, effect.detail);
      case "process.stop":
        return this.adapters.stopped();
      case "process.fail":
        return this.adapters.failed(effect.reason);
    }
  }

  #dispatch(effect: Dispatch): void {
    const { callers, backends, journal, logsRequests } = this.adapters;
    if (logsRequests) {
      journal.write("info", "request.routed", {
        request: effect.requestId,
        service: effect.service,
        slot: effect.slot,
        server: effect.server,
        token: effect.token,
        attempt: effect.ordinal,
        why: effect.reason,
      });
    }
    const outgoing = callers.outgoing(effect.exchange);
    if (outgoing === undefined) return;
    backends.send(effect, outgoing, callers.receiver(effect.exchange));
  }

  #refuse(effect: Refusal): void {
    const { callers, journal, logsRequests } = this.adapters;
    if (logsRequests) {
      journal.write("info", "request.refused", {
        request: effect.requestId,
        service: effect.service,
        slot: effect.slot,
        server: effect.server,
        status: effect.status,
        outcome: effect.outcome,
        why: effect.reason,
      });
    }
    callers.refuse(effect.exchange, effect);
  }
}
