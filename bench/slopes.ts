/**
 * What control costs one core as the system grows.
 *
 * @module
 */
import {
  CoreSite,
  PACKET_OVERHEAD,
  type Role,
  type SiteSize,
} from "./core_site.ts";
import { printFigure } from "./figure.ts";

/** Virtual time of one measurement, in milliseconds. */
const TIME = 4_000;
/** The target: VMs, and servers and slots as they are thought to come with it. */
const TARGET: SiteSize = { vms: 820, servers: 400, slots: 16_384 };
const TODAY: SiteSize = { vms: 11, servers: 11, slots: 256 };
const REQUESTS = 200_000;

/** Measures all slopes. */
export function measureSlopes(): void {
  for (const role of ["holder", "witness", "member"] as const) {
    for (const vms of [11, 100, 400, 820]) {
      measureControl(role, { ...TODAY, vms });
    }
    measureControl(role, TARGET);
  }
  for (const servers of [11, 100, 400]) {
    measureControl("holder", { ...TODAY, servers });
  }
  for (const slots of [256, 4_096, 16_384]) {
    measureControl("holder", { ...TODAY, slots });
    measureViewChange({ ...TODAY, slots });
  }
  measureViewChange(TARGET);
  for (const size of [TODAY, TARGET]) {
    measureRequests(size);
    measurePublication(size);
  }
}

/** Processor time, bytes and memory of quiet seconds. */
function measureControl(role: Role, size: SiteSize): void {
  const heapBefore = heapBytes();
  const site = CoreSite.create(size, role);
  site.run(1_000);
  const heap = heapBytes() - heapBefore;
  const before = { ...site.traffic };
  const start = process.cpuUsage();
  site.run(TIME);
  const { user, system } = process.cpuUsage(start);
  const seconds = TIME / 1_000;
  const { messagesIn, messagesOut, bytesIn, bytesOut } = site.traffic;
  const messages = messagesIn + messagesOut - before.messagesIn -
    before.messagesOut;
  const bytes = bytesIn + bytesOut - before.bytesIn - before.bytesOut;
  const circumstances = { role, ...size };
  const figures: [string, number, string][] = [
    ["control.processor", (user + system) / 1e4 / seconds, "% of a core"],
    ["control.messages", messages / seconds, "messages/s"],
    [
      "control.bytes",
      (bytes + messages * PACKET_OVERHEAD) / 1_000 / seconds,
      "KB/s with packet headers",
    ],
    ["control.heap", heap / 1e6, "MB"],
  ];
  for (const [name, value, unit] of figures) {
    printFigure({ name, value, unit, circumstances });
  }
}

/** Processor time and bytes of moving a slot away from a lost server. */
function measureViewChange(size: SiteSize): void {
  const site = CoreSite.create(size, "holder");
  site.run(1_000);
  const before = { ...site.traffic };
  const start = process.cpuUsage();
  site.step({
    kind: "vms.listed",
    now: site.now,
    vms: [{ id: "server-0", state: "leaving" }],
  });
  site.run(500);
  const { user, system } = process.cpuUsage(start);
  const sent = site.traffic.bytesOut - before.bytesOut;
  const circumstances = { ...size };
  printFigure({
    name: "change.processor",
    value: (user + system) / 1e3,
    unit: "ms for half a second with one server's slots moved",
    circumstances,
  });
  printFigure({
    name: "change.bytes",
    value: sent / 1_000 / Math.max(1, size.vms - 1),
    unit: "KB to each member in that time",
    circumstances,
  });
}

/** Processor time of the core for one request. */
function measureRequests(size: SiteSize): void {
  const site = CoreSite.create(size, "member");
  site.run(1_000);
  for (const service of ["plain", "keyed"]) {
    let attempt = 0;
    site.onEffect = (effect) => {
      if (effect.kind === "request.dispatch") attempt = effect.attempt;
    };
    let served = 0;
    const start = process.cpuUsage();
    for (let exchange = 1; exchange <= REQUESTS; exchange++) {
      const now = site.now;
      attempt = 0;
      site.step({
        kind: "request.arrived",
        now,
        exchange,
        requestId: `r${exchange}`,
        callerChoseId: false,
        service,
        keyHash: service === "keyed"
          ? exchange * 2_654_435_761 % 2 ** 32
          : null,
        idempotent: false,
        replayable: true,
        timeout: null,
      });
      if (attempt === 0) continue;
      const status = 200;
      site.step({
        kind: "attempt.answered",
        now,
        attempt,
        verdict: "ran",
        status,
      });
      site.step({ kind: "attempt.completed", now, attempt });
      served += 1;
    }
    const { user, system } = process.cpuUsage(start);
    if (served !== REQUESTS) throw new Error(`${served} of ${REQUESTS} served`);
    printFigure({
      name: "request.processor",
      value: (user + system) / REQUESTS,
      unit: "us/request in the core",
      circumstances: { service, ...size },
    });
  }
}

/** Processor time and bytes of one publication of a configuration. */
function measurePublication(size: SiteSize): void {
  const site = CoreSite.create(size, "member");
  const times = 20;
  const start = process.cpuUsage();
  for (let time = 0; time < times; time++) {
    site.append({
      kind: "configuration.published",
      id: `change-${time}`,
      operator: "bench",
      basedOn: site.router.configuration.revision,
      publishedAt: 0,
      configuration: site.configuration(),
    });
  }
  const { user, system } = process.cpuUsage(start);
  printFigure({
    name: "publication.processor",
    value: (user + system) / 1e3 / times,
    unit: "ms for each VM",
    circumstances: { ...size },
  });
  printFigure({
    name: "checkpoint.bytes",
    value: JSON.stringify(site.router.ledger).length / 1_000,
    unit: "KB of the record",
    circumstances: { ...size },
  });
  printFigure({
    name: "publication.bytes",
    value: JSON.stringify(site.configuration()).length / 1_000,
    unit: "KB of the record",
    circumstances: { ...size },
  });
}

function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}
