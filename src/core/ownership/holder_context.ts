/**
 * What the parts of a term holder read of its process, and the few effects that
 * they share.
 *
 * @module
 */
import type { SiteConfiguration } from "../configuration/index.ts";
import type { Effect } from "../effect.ts";
import type { SiteLedger } from "../ledger/index.ts";
import type { Liveness, Member } from "../membership/index.ts";
import type { Message } from "../message.ts";
import type { ServerWatch } from "../routing/server_watch.ts";
import type { ViewReplica } from "./replica.ts";
import type { OwnershipTiming } from "./timing.ts";

/** The state of the process at one moment. */
export interface HolderContext {
  now: number;
  site: string;
  self: Member;
  timing: OwnershipTiming;
  ledger: SiteLedger;
  configuration: SiteConfiguration;
  replica: ViewReplica;
  liveness: Liveness;
  servers: ServerWatch;
}

/** A message to a member. */
export function sendTo(member: Member, message: Message): Effect {
  return {
    kind: "peer.send",
    to: member.vm,
    address: member.peerAddress,
    message,
  };
}

/** A line for the log. */
export function noteOf(
  decision: string,
  detail: Record<string, string | number | boolean | null>,
): Effect {
  return { kind: "note", level: "info", decision, detail };
}
