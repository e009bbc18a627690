import test from "ava";
import fc from "fast-check";
import { PermitIssuer } from "./permit_issuer.ts";
import { MAXIMUM_PERMIT_DURATION, RunPermits } from "./run_permits.ts";

const REQUEST = "fingerprint";
/** When an issuer that is activated at 0 can issue its first permit. */
const ACTIVE_AT = MAXIMUM_PERMIT_DURATION;

function activeIssuer(): PermitIssuer {
  const issuer = PermitIssuer.create();
  issuer.activate(0);
  return issuer;
}

/** Permits of the VM at `address`, which calls the issuer directly. */
function permitsAt(address: string, issuer: PermitIssuer): RunPermits {
  return RunPermits.create({
    requestPermit: (request, duration, now) =>
      issuer.issue(request, address, duration, now),
    release: (request, hasCrashed) =>
      issuer.release(request, address, hasCrashed),
  });
}

test("run permits: copies on two VMs run one after the other", (t) => {
  const issuer = activeIssuer();
  const a = permitsAt("a", issuer);
  const b = permitsAt("b", issuer);
  t.is(a.check(REQUEST, "1", 800, ACTIVE_AT).kind, "granted");
  t.is(a.check(REQUEST, "1", 800, ACTIVE_AT + 1).kind, "granted");
  t.is(a.check(REQUEST, "2", 800, ACTIVE_AT + 1).kind, "denied");
  t.is(b.check(REQUEST, "3", 800, ACTIVE_AT + 1).kind, "denied");
  a.copyEnded(REQUEST, "1", false);
  // A denial applies for a while, but not for as long as the permit was valid.
  t.is(b.check(REQUEST, "4", 800, ACTIVE_AT + 10).kind, "denied");
  t.is(b.check(REQUEST, "4", 800, ACTIVE_AT + 300).kind, "granted");
});

test("run permits: a permit is not released while its copy may still run", (t) => {
  const issuer = activeIssuer();
  const a = permitsAt("a", issuer);
  a.check(REQUEST, "1", 800, ACTIVE_AT);
  a.copyEnded(REQUEST, "1", true);
  t.is(a.check(REQUEST, "2", 800, ACTIVE_AT + 799).kind, "denied");
  t.is(a.check(REQUEST, "2", 800, ACTIVE_AT + 800).kind, "granted");
});

test("permit issuer: after two consecutive crashes no permit is issued until the last one has expired", (t) => {
  const issuer = activeIssuer();
  const a = permitsAt("a", issuer);
  a.check(REQUEST, "1", 800, ACTIVE_AT);
  a.serverCrashed(REQUEST, "1");
  t.is(a.check(REQUEST, "2", 800, ACTIVE_AT + 50).kind, "granted");
  a.serverCrashed(REQUEST, "2");
  t.is(a.check(REQUEST, "3", 800, ACTIVE_AT + 800).kind, "denied");
  t.is(a.check(REQUEST, "3", 800, ACTIVE_AT + 1_100).kind, "granted");
});

test("permit issuer: a new issuer waits until permits of the previous one have expired", (t) => {
  const issuer = activeIssuer();
  const before = ACTIVE_AT - 1;
  t.deepEqual(issuer.issue(REQUEST, "a", 800, before), {
    isGranted: false,
    left: 1,
  });
  t.true(issuer.issue(REQUEST, "a", 800, ACTIVE_AT).isGranted);
  issuer.deactivate();
  t.false(issuer.issue(REQUEST, "a", 800, ACTIVE_AT + 5_000).isGranted);
});

test("run permits: a permit that is granted too late is released", (t) => {
  const released: string[] = [];
  const permits = RunPermits.create({
    requestPermit: () => null,
    release: (request) => released.push(request),
  });
  t.is(permits.check(REQUEST, "1", 800, 0).kind, "asked");
  permits.copyEnded(REQUEST, "1", false);
  permits.applyAnswer(REQUEST, { isGranted: true, left: 800 }, 10);
  t.deepEqual(released, [REQUEST]);
});

test("run permits: one copy runs at a time for any sequence of events", (t) => {
  const step = fc.record({
    vm: fc.nat(3),
    after: fc.nat(600),
    action: fc.constantFrom("check", "answered", "broken", "crashed"),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const issuer = activeIssuer();
      const vms = ["a", "b", "c", "d"].map((each) => permitsAt(each, issuer));
      /** The copy that each VM runs, and until when it may run. */
      const running = new Map<number, { copy: string; until: number }>();
      let now = ACTIVE_AT;
      let count = 0;
      for (const { vm, after, action } of steps) {
        now += after;
        for (const [each, { until }] of running) {
          if (now >= until) running.delete(each);
        }
        const own = running.get(vm);
        if (action === "check" && own === undefined) {
          count += 1;
          const copy = `${count}`;
          const duration = 400;
          if (vms[vm].check(REQUEST, copy, duration, now).kind === "granted") {
            if (running.size > 0) return false;
            running.set(vm, { copy, until: now + duration });
          }
        } else if (own !== undefined && action !== "check") {
          if (action === "crashed") vms[vm].serverCrashed(REQUEST, own.copy);
          else vms[vm].copyEnded(REQUEST, own.copy, action === "broken");
          if (action !== "broken") running.delete(vm);
        }
      }
      return true;
    }),
    { seed: 7, numRuns: 300 },
  );
  t.pass();
});
