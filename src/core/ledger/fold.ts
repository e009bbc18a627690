/**
 * The fold of the log's records. Every process applies the same records in
 * offset order, so all agree without talking to each other.
 *
 * @module
 */
import { checkConfiguration, checkSuccession } from "../configuration/index.ts";
import { EMPTY_MEMBERSHIP } from "../membership/index.ts";
import type { Ledger, LogRecord, SiteLedger, Start } from "./record.ts";

/** Whether a record took effect, and if not, why. */
export interface Verdict {
  accepted: boolean;
  reason: string;
}

/** The state after a record, and what became of the record. */
export interface Folded {
  ledger: Ledger;
  verdict: Verdict;
}

/** The fold's state before the first record. Offsets start at 1. */
export const EMPTY_LEDGER: Ledger = {
  next: 1,
  accepted: {
    revision: 0,
    id: "",
    operator: "",
    publishedAt: 0,
    configuration: null,
  },
  sites: {},
};

/** A site of which the log has said nothing yet. */
export const EMPTY_SITE_LEDGER: SiteLedger = {
  starts: [],
  term: { offset: 0, vm: "", incarnation: 0 },
  membership: EMPTY_MEMBERSHIP,
  previousWitnesses: [],
};

/** The state of one site. */
export function siteLedger(ledger: Ledger, site: string): SiteLedger {
  return Object.hasOwn(ledger.sites, site)
    ? ledger.sites[site]
    : EMPTY_SITE_LEDGER;
}

/** Applies the record at `offset`. The given ledger is left as it was. */
export function foldRecord(
  ledger: Ledger,
  offset: number,
  record: LogRecord,
): Folded {
  const advanced = { ...ledger, next: offset + 1 };
  switch (record.kind) {
    case "configuration.published":
      return foldConfiguration(advanced, offset, record);
    case "vm.started":
      return foldStart(advanced, offset, record);
    case "term.claimed":
      return foldTerm(advanced, offset, record);
    case "membership.changed":
      return foldMembership(advanced, offset, record);
    case "checkpoint.written":
      return accepted(advanced);
  }
}

function accepted(ledger: Ledger): Folded {
  return { ledger, verdict: { accepted: true, reason: "" } };
}

function refused(ledger: Ledger, reason: string): Folded {
  return { ledger, verdict: { accepted: false, reason } };
}

function withSite(ledger: Ledger, site: string, state: SiteLedger): Ledger {
  return { ...ledger, sites: { ...ledger.sites, [site]: state } };
}

function foldConfiguration(
  ledger: Ledger,
  offset: number,
  record: Extract<LogRecord, { kind: "configuration.published" }>,
): Folded {
  const { revision, configuration: current } = ledger.accepted;
  if (record.basedOn !== revision) {
    return refused(
      ledger,
      `based on revision ${record.basedOn}, but ${revision} is in force`,
    );
  }
  const cluster = record.configuration.base.cluster;
  if (current !== null && current.base.cluster !== cluster) {
    return refused(
      ledger,
      `belongs to cluster '${cluster}', not '${current.base.cluster}'`,
    );
  }
  const [fault] = [
    ...checkConfiguration(record.configuration),
    ...checkSuccession(current, record.configuration),
  ];
  if (fault !== undefined) return refused(ledger, fault.message);
  return accepted({
    ...ledger,
    accepted: {
      revision: offset,
      id: record.id,
      operator: record.operator,
      publishedAt: record.publishedAt,
      configuration: record.configuration,
    },
  });
}

function foldStart(
  ledger: Ledger,
  offset: number,
  record: Extract<LogRecord, { kind: "vm.started" }>,
): Folded {
  const state = siteLedger(ledger, record.site);
  if (state.starts.some((each) => each.nonce === record.nonce)) {
    return refused(ledger, "this start is known already");
  }
  const start: Start = {
    vm: record.vm,
    incarnation: offset,
    availabilityZone: record.availabilityZone,
    peerAddress: record.peerAddress,
    startedAt: record.startedAt,
    nonce: record.nonce,
  };
  const others = state.starts.filter((each) => each.vm !== record.vm);
  return accepted(
    withSite(ledger, record.site, { ...state, starts: [...others, start] }),
  );
}

function foldTerm(
  ledger: Ledger,
  offset: number,
  record: Extract<LogRecord, { kind: "term.claimed" }>,
): Folded {
  const state = siteLedger(ledger, record.site);
  if (record.basedOn !== state.term.offset) {
    return refused(
      ledger,
      `based on term ${record.basedOn}, but ${state.term.offset} is current`,
    );
  }
  const start = state.starts.find((each) => each.vm === record.vm);
  if (start?.incarnation !== record.incarnation) {
    return refused(ledger, "the claimant is not a running process of the site");
  }
  const term = { offset, vm: record.vm, incarnation: record.incarnation };
  return accepted(withSite(ledger, record.site, { ...state, term }));
}

function foldMembership(
  ledger: Ledger,
  offset: number,
  record: Extract<LogRecord, { kind: "membership.changed" }>,
): Folded {
  const state = siteLedger(ledger, record.site);
  if (record.term !== state.term.offset) {
    return refused(
      ledger,
      `written under term ${record.term}, but ${state.term.offset} is current`,
    );
  }
  if (record.basedOn !== state.membership.offset) {
    return refused(ledger, "based on a membership that was replaced");
  }
  const starts = state.starts.filter((start) =>
    start.incarnation > state.membership.offset ||
    record.members.some((each) => each.vm === start.vm)
  );
  return accepted(withSite(ledger, record.site, {
    ...state,
    starts,
    membership: {
      offset,
      members: record.members,
      witnesses: record.witnesses,
    },
    previousWitnesses: state.membership.witnesses,
  }));
}
