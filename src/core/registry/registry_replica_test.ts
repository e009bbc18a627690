import test from "ava";
import fc from "fast-check";
import type { BackendServer } from "../fleet/index.ts";
import type { RegistryUpdate } from "./registry_update.ts";
import type { RegistryRead } from "./registry_read.ts";
import { type RegistryChanges, RegistryReplica } from "./registry_replica.ts";

function server(
  id: string,
  isDraining = false,
  incarnation = 0,
): BackendServer {
  return {
    id,
    incarnation,
    service: "s",
    address: `${id}:1`,
    availabilityZone: "a",
    slots: 3,
    isDraining,
    warmUp: 0,
  };
}

function read(
  position: number,
  entries: BackendServer[],
  removed: string[] = [],
  isWhole = false,
  unreadable: string[] = [],
): RegistryRead {
  return { entries, removed, unreadable, isWhole, position };
}

/** A replica that read `servers` as the complete registry at time 0. */
function replicaOf(position: number, servers: BackendServer[]) {
  const replica = RegistryReplica.create();
  replica.applyRead(read(position, servers, [], true), 0);
  return replica;
}

test("registry: an update contains a restarted server", (t) => {
  const reader = RegistryReplica.create();
  reader.applyRead(read(10, [server("a")], [], true), 0);
  const restarted = server("a", false, 5);
  reader.applyRead(read(11, [restarted]), 100);
  t.deepEqual(reader.updateSince(10, null)?.entries, [restarted]);
});

test("registry: an update brings a follower to the reader's position", (t) => {
  const reader = replicaOf(10, [server("a"), server("b")]);
  const follower = replicaOf(10, [server("a"), server("b")]);
  reader.applyRead(read(14, [server("a", true), server("c")], ["b"]), 450);
  const update = reader.updateSince(follower.position!, 430)!;
  t.snapshot({ news: update, taken: follower.applyUpdate(update) });
  t.is(follower.position, 14);
  t.is(follower.knownAt, 430);
});

test("registry: an update omits heartbeats", (t) => {
  const cold = { ...server("a"), warmUp: 1_800 };
  const reader = replicaOf(10, [cold]);
  reader.applyRead(read(11, [{ ...cold, warmUp: 900 }]), 450);
  reader.applyRead(read(12, [{ ...cold, warmUp: 0 }]), 450);
  const update = reader.updateSince(10, 440)!;
  t.deepEqual(update.entries, []);
  const follower = replicaOf(10, [cold]);
  t.deepEqual(follower.applyUpdate(update)?.entries, []);
  t.is(follower.position, 12);
});

test("registry: an update contains a server that becomes cold again", (t) => {
  const cold = { ...server("a"), warmUp: 1_800 };
  const reader = replicaOf(10, [cold]);
  reader.applyRead(read(11, [{ ...cold, warmUp: 100 }]), 450);
  reader.applyRead(read(12, [{ ...cold, warmUp: 1_700 }]), 450);
  t.deepEqual(reader.updateSince(10, 440)!.entries, [{
    ...cold,
    warmUp: 1_700,
  }]);
});

test("registry: rejects an update that starts after the replica's position", (t) => {
  const reader = replicaOf(10, [server("a")]);
  const behind = replicaOf(8, []);
  t.is(reader.updateSince(behind.position!, 1), null);
  reader.applyRead(read(12, [server("b")]), 450);
  t.is(behind.applyUpdate(reader.updateSince(10, 440)!), null);
  t.is(behind.knownAt, 0);
  t.is(
    RegistryReplica.create().applyUpdate(reader.updateSince(10, 440)!),
    null,
  );
});

test("registry: is read when the replica is too old, and again after a failure", (t) => {
  const replica = RegistryReplica.create();
  t.deepEqual(replica.fetch(0, 1_200), { kind: "servers.fetch", from: null });
  t.is(replica.fetch(1, 1_200), null);
  replica.applyRead(read(10, [], [], true), 5);
  t.is(replica.dueAt(1_200), 1_205);
  const reader = replicaOf(10, []);
  replica.applyUpdate(reader.updateSince(10, 800)!);
  t.is(replica.fetch(1_999, 1_200), null);
  t.deepEqual(replica.fetch(2_000, 1_200), { kind: "servers.fetch", from: 10 });
  replica.readFailed(false, 2_010);
  t.is(replica.dueAt(1_200), 2_260);
  t.is(replica.fetch(2_260, 1_200)?.from, 10);
  replica.readFailed(true, 2_300);
  t.is(replica.fetch(2_550, 1_200)?.from, null);
});

test("registry: ignores a read that is older than an applied update", (t) => {
  const follower = replicaOf(10, [server("a")]);
  const reader = replicaOf(10, [server("a")]);
  // The read is served before the removal is written, and arrives after the
  // update.
  const late = read(11, [server("a", true)]);
  reader.applyRead(read(12, [], ["a"]), 100);
  follower.applyUpdate(reader.updateSince(10, 90)!);
  t.false(follower.applyRead(late, 80));
  t.is(follower.position, 12);
  t.is(follower.updateSince(12, null)?.position, 12);
  t.true(follower.applyRead(read(13, []), 200));
});

test("registry: an update contains an entry that was removed and rewritten unchanged", (t) => {
  const reader = replicaOf(10, [server("a"), server("b")]);
  const follower = replicaOf(10, [server("a"), server("b")]);
  follower.applyRead(read(11, [], ["a"]), 100);
  // The follower read the removal; the reader only reads that the entry was
  // rewritten.
  reader.applyRead(read(12, [server("a")]), 200);
  t.deepEqual(reader.updateSince(10, 1)?.entries, []);
  const update = reader.updateSince(follower.position!, 190)!;
  t.deepEqual(follower.applyUpdate(update)?.entries, [server("a")]);
});

test("registry: delayed updates and reads do not restore an older incarnation", (t) => {
  const older = server("a", false, 100);
  const newer = server("a", false, 200);
  const reader = replicaOf(10, [older]);
  const follower = replicaOf(10, [older]);
  const lateUpdate = reader.updateSince(10, 90)!;
  reader.applyRead(read(12, [newer]), 100);
  t.deepEqual(follower.applyUpdate(reader.updateSince(10, 90)!)?.entries, [
    newer,
  ]);
  t.deepEqual(follower.applyUpdate(lateUpdate)?.entries, []);
  t.false(follower.applyRead(read(11, [older]), 80));
  t.false(follower.applyRead(read(11, [older], [], true), 80));
  for (const each of [reader, follower]) {
    t.deepEqual(each.updateSince(10, null)?.entries, [newer]);
  }
});

test("registry: the incarnation that is listed later is the newer, even if the clock stepped back", (t) => {
  const reader = replicaOf(10, [server("a", false, 200)]);
  const newer = server("a", false, 100);
  reader.applyRead(read(11, [newer]), 100);
  t.deepEqual(reader.updateSince(10, null)?.entries, [newer]);
});

test("registry: returns the position at which an incarnation was first listed", (t) => {
  const replica = replicaOf(10, [server("a", false, 100)]);
  replica.applyRead(read(12, [server("a", true, 100), server("b")]), 100);
  t.is(replica.incarnationSince("a"), 10);
  t.is(replica.incarnationSince("b"), 12);
  replica.applyRead(read(14, [server("a", false, 200)]), 200);
  t.is(replica.incarnationSince("a"), 14);
  const all = [server("a", false, 200), server("b", false, 1)];
  replica.applyRead(read(16, all, [], true), 300);
  t.is(replica.incarnationSince("a"), 14);
  t.is(replica.incarnationSince("b"), 16);
  replica.applyRead(read(18, [], ["a"]), 400);
  t.is(replica.incarnationSince("a"), 0);
});

test("registry: an update lists an unreadable entry until it is rewritten or removed", (t) => {
  const reader = replicaOf(10, [server("a"), server("b")]);
  const follower = replicaOf(10, [server("a"), server("b")]);
  reader.applyRead(read(12, [], [], false, ["a", "never listed"]), 100);
  const update = reader.updateSince(10, 90)!;
  t.deepEqual(
    {
      entries: update.entries,
      removed: update.removed,
      unreadable: update.unreadable,
    },
    { entries: [], removed: [], unreadable: ["a"] },
  );
  t.deepEqual(follower.applyUpdate(update)?.unreadable, ["a"]);
  t.deepEqual(follower.updateSince(10, null)?.unreadable, ["a"]);
  reader.applyRead(read(14, [server("a")]), 200);
  t.deepEqual(reader.updateSince(12, 190)?.entries, [server("a")]);
  t.deepEqual(follower.applyUpdate(reader.updateSince(12, 190)!)?.entries, [
    server("a"),
  ]);
  reader.applyRead(read(16, [server("b")], [], true, ["a"]), 300);
  t.deepEqual(reader.updateSince(16, 290)?.unreadable, []);
  reader.applyRead(read(18, [], ["a"]), 400);
  t.deepEqual(reader.updateSince(16, 390)?.removed, ["a"]);
});

/**
 * Applies changes to a map from server ids to {@linkcode stateOf} their
 * entries.
 */
function applyTo(
  view: Map<string, string>,
  { entries, removed, unreadable }: RegistryChanges,
): void {
  for (const id of [...removed, ...unreadable]) view.delete(id);
  for (const entry of entries) view.set(entry.id, stateOf(entry));
}

/** Returns the incarnation and drain state of an entry as text. */
function stateOf({ incarnation, isDraining }: BackendServer): string {
  return `${incarnation} ${isDraining}`;
}

test("registry: a follower's list matches its position despite lost, duplicate and late updates", (t) => {
  const id = fc.constantFrom("a", "b", "c", "d");
  const action = fc.oneof(
    fc.record({
      kind: fc.constant("write" as const),
      id,
      state: fc.constantFrom("ready", "draining", "removed", "unreadable"),
      incarnation: fc.nat(2),
    }),
    fc.record({ kind: fc.constant("read" as const) }),
    fc.record({ kind: fc.constant("read by follower" as const) }),
    fc.record({ kind: fc.constant("send" as const) }),
    fc.record({ kind: fc.constant("deliver" as const), age: fc.nat(4) }),
  );
  fc.assert(
    fc.property(
      fc.array(action, { maxLength: 120, size: "max" }),
      (actions) => {
        const log: {
          id: string;
          entry: BackendServer | "unreadable" | null;
        }[] = [];
        const since = (position: number): RegistryRead => {
          const newest = new Map(
            log.slice(position).map(({ id, entry }) => [id, entry]),
          );
          const idsOf = (kind: "unreadable" | null) =>
            [...newest].filter(([, entry]) => entry === kind)
              .map(([name]) => name);
          return read(
            log.length,
            [...newest.values()].flatMap((each) =>
              each === null || each === "unreadable" ? [] : [each]
            ),
            idsOf(null),
            false,
            idsOf("unreadable"),
          );
        };
        const reader = replicaOf(0, []);
        const follower = replicaOf(0, []);
        const view = new Map<string, string>();
        const sent: RegistryUpdate[] = [];
        for (const each of actions) {
          if (each.kind === "write") {
            const entry = each.state === "removed"
              ? null
              : each.state === "unreadable"
              ? "unreadable"
              : server(each.id, each.state === "draining", each.incarnation);
            log.push({ id: each.id, entry });
          } else if (each.kind === "read") {
            reader.applyRead(since(reader.position!), 0);
          } else if (each.kind === "read by follower") {
            const own = since(follower.position!);
            follower.applyRead(own, 0);
            applyTo(view, own);
          } else if (each.kind === "send") {
            const update = reader.updateSince(follower.position!, 0);
            if (update !== null) sent.push(update);
          } else if (sent.length > 0) {
            const update = sent[Math.max(0, sent.length - 1 - each.age)];
            const changes = follower.applyUpdate(update);
            if (changes !== null) applyTo(view, changes);
          }
          const expected = new Map<string, string>();
          for (const { id, entry } of log.slice(0, follower.position!)) {
            if (entry === null || entry === "unreadable") expected.delete(id);
            else expected.set(id, stateOf(entry));
          }
          const text = (map: Map<string, string>) =>
            JSON.stringify([...map].sort());
          if (text(view) !== text(expected)) {
            throw new Error(`${text(view)}, expected ${text(expected)}`);
          }
        }
      },
    ),
    { numRuns: 500, seed: 5 },
  );
  t.pass();
});

// Guards against replicas that differ at one position: the changes that one VM
// sends another would leave out what only that one has.
test("registry: after a loss the replica has what the store has", (t) => {
  const replica = replicaOf(10, [server("gone"), server("a", false, 1)]);
  replica.applyRead(read(12, [server("a", true, 2)], ["gone"]), 100);
  replica.storeRestored();
  t.true(replica.isOutdated);
  t.is(replica.position, null);
  t.is(replica.dueAt(1_000), -Infinity);
  replica.applyRead(read(10, [server("gone"), server("b")], [], true), 200);
  t.false(replica.isOutdated);
  t.is(replica.position, 10);
  replica.applyRead(read(11, [], ["gone"]), 300);
  t.deepEqual(replica.updateSince(10, null)?.removed, ["gone"]);
});

test("registry: a process that has read nothing before a loss takes the copy as it is", (t) => {
  const replica = RegistryReplica.create();
  replica.storeRestored();
  t.false(replica.isOutdated);
});

test("registry: no update spans a loss", (t) => {
  const replica = replicaOf(10, [server("a")]);
  replica.storeRestored();
  t.is(replica.updateSince(10, null), null);
  replica.applyRead(read(6, [server("a")], [], true), 100);
  t.is(replica.updateSince(5, null), null);
});
