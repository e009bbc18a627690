import test from "ava";
import { readFileSync } from "node:fs";
import { connect } from "node:net";
import { join } from "node:path";
import { encodeFrame, MAXIMUM_FRAME, PROTOCOL } from "../src/adapters/frame.ts";
import {
  Deployment,
  type RunningEntry,
  waitFor,
} from "./support/deployment.ts";

const checks = { token: true, lease: true, echo: true };
let deployment: Deployment;
let entry: RunningEntry;
let peer: string;

test.before(async () => {
  deployment = await Deployment.start({
    entries: 2,
    services: [
      { name: "apothiki", keyHeader: "x-stock-key", servers: 2, checks },
    ],
  });
  [entry] = deployment.entries;
  const settings = readFileSync(
    join(deployment.folder, `${entry.name}.yaml`),
    "utf8",
  );
  peer = /^peer: (.*)$/m.exec(settings)![1];
});

test.after.always(() => deployment.stop());

/** Sends bytes as a peer and resolves when the entry has cut it off. */
function sendAsPeer(bytes: Buffer): Promise<void> {
  const [host, port] = peer.split(":");
  return new Promise((resolve) => {
    const socket = connect(Number(port), host, () => socket.write(bytes));
    socket.on("data", () => {});
    socket.on("error", () => resolve());
    socket.on("close", () => resolve());
  });
}

/** Which peers were cut off so far, and why. */
function cutOffs(): { peer: string; why: string }[] {
  return deployment.logLines(entry)
    .filter((line) => line.message === "peer.cut_off")
    .map(({ peer, why }) => ({ peer: String(peer), why: String(why) }));
}

test("peers: what is no peer of the cluster is cut off and named", async (t) => {
  const overLong = Buffer.alloc(4);
  overLong.writeUInt32BE(MAXIMUM_FRAME + 1, 0);
  const stranger = encodeFrame({
    kind: "hello",
    protocol: PROTOCOL,
    cluster: "another",
    site: "s",
    vm: "v",
    peerAddress: "127.0.0.1:1",
  } as { kind: string });
  const reasons = [
    /expected a frame of at most \d+ bytes, found \d+/,
    /expected a peer of cluster 'test', found 'another'/,
    /Data read, but end of buffer not reached/,
  ];
  for (const bytes of [overLong, stranger, Buffer.alloc(64, 1)]) {
    // Frames of garbage are short enough to be taken for complete.
    if (bytes.length === 64) bytes.writeUInt32BE(60, 0);
    await sendAsPeer(bytes);
  }
  await waitFor("the log to tell", () => {
    return Promise.resolve(cutOffs().length === reasons.length);
  });
  for (const [index, { peer, why }] of cutOffs().entries()) {
    t.regex(why, reasons[index]);
    t.regex(peer, /^127\.\d+\.\d+\.\d+:\d+$/);
  }
  const status = await deployment.status(entry);
  t.true(status.member);
  t.true(status.leaseRemaining > 0);
});
