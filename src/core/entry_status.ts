/**
 * Status of one entry process, for operators.
 *
 * @module
 */
import type { Entry } from "./entry.ts";

/** See the module's comment. Ages are milliseconds. */
export interface EntryStatus {
  configuration: {
    version: number;
    routes: number;
    /**
     * Whether the store has returned from a copy that lacks this version, so
     * that it has to be published again.
     */
    isLost: boolean;
  };
  /** Newest known era of the store; null if it states none. */
  storeEra: number | null;
  isReady: boolean;
  /** Number of requests without a final response. */
  pending: number;
  /** Estimated number of VMs, or null. */
  vms: number | null;
  /**
   * Time since the last answered call to the store was sent, by this VM or by
   * the VM that sends it the store's updates.
   */
  storeSilence: number;
  term: {
    /** Phase of this VM in the election and in its term. */
    phase: string;
    /** Address of the holder; null if none is known or it is this VM. */
    holder: string | null;
    /** Time since the last message from the holder. */
    holderSilence: number;
  };
  /**
   * Whether no server accepts direct connections of this VM.
   */
  isIsolated: boolean;
  servers: {
    id: string;
    service: string;
    availabilityZone: string;
    isDraining: boolean;
    /** Whether it has stated that it is leaving. */
    isLeaving: boolean;
    isPaused: boolean;
    /**
     * Time for which it accepts no requests from this VM, in milliseconds; 0
     * without a backoff.
     */
    backoff: number;
    /** Whether its availability zone is evacuated. */
    isEvacuated: boolean;
    /** Whether it reports that it has just started and is still warming up. */
    isWarming: boolean;
    /** Number of this VM's requests that the server has not completed. */
    inFlight: number;
    /** Moving average of its response times, or null if none is known. */
    latency: number | null;
    /**
     * Maximum requests per second from all VMs combined; null without a limit.
     */
    rateLimit: number | null;
  }[];
  /** Availability zones that operators have evacuated. */
  evacuatedZones: string[];
  assignments: {
    service: string;
    term: number;
    version: number;
    /** Number of key ranges, and how many of them are open for requests. */
    ranges: number;
    open: number;
    /**
     * Number of key ranges of which the term holder does not know, since the
     * store has returned from a copy, which server holds them. Known only to the
     * term holder.
     */
    unconfirmed: number;
    /** Number of servers that keys are assigned to. */
    servers: number;
  }[];
  /**
   * Requests that are quarantined because servers crashed while they ran them.
   */
  quarantine: {
    fingerprint: string;
    /** Host and path, truncated. */
    target: string;
    /** Number of server processes that crashed while they ran the request. */
    ends: number;
    /** Time until the request is released for a trial. */
    left: number;
  }[];
}

/** Describes the status of `entry` at `now`. */
export function describeEntry(entry: Entry, now: number): EntryStatus {
  return {
    configuration: {
      version: entry.clusterState.catalog.version,
      routes: entry.clusterState.catalog.routeCount,
      isLost: entry.clusterState.isConfigurationLost,
    },
    storeEra: entry.clusterState.era,
    isReady: entry.isReady,
    pending: entry.dispatcher.pending,
    vms: entry.vms,
    storeSilence: Math.round(entry.storeSilence(now)),
    term: {
      phase: entry.campaign.phase,
      holder: entry.peers.followerLink.holder,
      holderSilence: Math.round(entry.peers.followerLink.silence(now)),
    },
    isIsolated: entry.reach.isIsolated,
    servers: entry.clusterState.fleet.all().map((server) => ({
      id: server.id,
      service: server.entry.service,
      availabilityZone: server.entry.availabilityZone,
      isDraining: server.entry.isDraining,
      isLeaving: server.statements.leavingSince !== null,
      isPaused: server.isPaused(now),
      backoff: Math.max(0, Math.round(server.statements.backoffUntil - now)),
      isEvacuated: server.evacuatedSince !== null,
      isWarming: server.isWarming(now),
      inFlight: server.inFlight,
      latency: server.latency,
      rateLimit: server.rateLimit.current(now),
    })),
    evacuatedZones: entry.clusterState.fleet.evacuations.zones,
    assignments: entry.clusterState.directory.assignments.map((each) => ({
      service: each.service,
      term: each.term,
      version: each.version,
      ranges: each.ranges.length,
      open: each.ranges.filter((range) => range.isOpen).length,
      unconfirmed: entry.campaign.holder?.unconfirmedCount(each.service) ?? 0,
      servers: new Set(each.ranges.map((range) => range.server)).size,
    })),
    quarantine: entry.clusterState.quarantine.quarantinedRequests(now).map((
      request,
    ) => ({
      fingerprint: request.request,
      target: request.target,
      ends: request.runs.length,
      left: Math.round(request.left),
    })),
  };
}
