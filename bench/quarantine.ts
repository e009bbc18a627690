/**
 * How long VMs take to agree on holding a request back, and what they tell each other
 * for it, by the model.
 *
 * @module
 */
import { encodeFrame } from "../src/runtime/frame.ts";
import { World } from "../test/ownership/world.ts";
import { printFigure } from "./figure.ts";

const SIZES = [11, 74, 195, 820];
/** VMs that are fit to hold the term. */
const FIT_VMS = 8;
const SERVERS = 24;
/** When the first of these requests comes, and the pause between them, in ms. */
const FROM = 9_000;
const PAUSE = 1_500;
const DURATION = 18_000;

/** Measures deployments of several sizes. */
export function measureQuarantine(): void {
  for (const vms of SIZES) measure(vms);
}

function measure(vms: number): void {
  const report = World.play({
    vms,
    servers: SERVERS,
    faults: [],
    duration: DURATION,
    seed: 1,
    fitness: Array.from({ length: vms }, (_, i) => i < FIT_VMS ? 5 : 1),
    load: {
      isKeyed: false,
      from: 8_000,
      until: DURATION,
      rate: 100,
      work: 100,
      speeds: [1],
      slots: 6,
      queue: 24,
      target: 800,
      timeout: 3_000,
      keyOf: (draw) => Math.floor(draw() * 65_536),
      ending: { from: FROM, until: DURATION, pause: PAUSE, key: 1, work: 60 },
    },
  });
  const { serverEnds, heldBackAt, quarantineMessages, load } = report;
  const conditions = { vms };
  const last = Math.max(...heldBackAt.values());
  const print = (name: string, value: number, unit: string) =>
    printFigure({ name: `held back: ${name}`, value, unit, conditions });
  print("VMs that hold it", heldBackAt.size, "VMs");
  print("last VM after the third end", last - serverEnds[2], "ms");
  print("runs in all", load!.endingRuns.length, "runs");
  print("messages that tell of it", quarantineMessages.length, "messages");
  const bytes = quarantineMessages.map(({ kind, quarantine }) => {
    const part = { kind, quarantine };
    return encodeFrame(part).length;
  });
  const sum = bytes.reduce((all, each) => all + each, 0);
  print("what they tell", sum, "bytes");
}
