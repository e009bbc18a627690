/**
 * An entry process: the core with all its adapters.
 *
 * @module
 */
import { randomInt, randomUUID } from "node:crypto";
import type { Writable } from "node:stream";
import { PowerOfTwoChoices, Router, type RouterStatus } from "../core/index.ts";
import { Journal } from "../logging/index.ts";
import { VmMetrics } from "../metrics/index.ts";
import type { VmSettings } from "../settings/index.ts";
import { AdminServer } from "./admin_server.ts";
import { BackendClient } from "./backend_client.ts";
import { CallerServer } from "./caller_server.ts";
import { EventLoop } from "./event_loop.ts";
import { loadKeyHash } from "./key_hash.ts";
import { HttpLog } from "./log_client.ts";
import { LogTail } from "./log_tail.ts";
import { monotonicNow } from "./monotonic_clock.ts";
import { PeerNetwork } from "./peer_network.ts";
import { VmListClient } from "./vm_list_client.ts";
import { VmRunner } from "./vm_runner.ts";

/** Time between two ticks of the core, in milliseconds. */
const TICK = 20;
/** Length of the random part of the ids that a process makes. */
const NONCE_LENGTH = 8;

/** See the module's comment. */
export class EntryProcess {
  readonly #timers: NodeJS.Timeout[] = [];
  #isStopping = false;
  #failure: string | null = null;
  #resolveStopped: () => void = () => {};
  /** Resolves when the process has shut down. */
  readonly stopped: Promise<void>;

  private constructor(
    private readonly settings: VmSettings,
    private readonly loop: EventLoop,
    private readonly router: Router,
    private readonly callers: CallerServer,
    private readonly backends: BackendClient,
    private readonly peers: PeerNetwork,
    private readonly log: LogTail,
    private readonly vms: VmListClient,
    private readonly admin: AdminServer,
    private readonly journal: Journal,
  ) {
    this.stopped = new Promise((resolve) => this.#resolveStopped = resolve);
  }

  /** Builds the process and starts it. Rejects when an address is in use. */
  static async start(
    settings: VmSettings,
    output: Writable,
  ): Promise<EntryProcess> {
    const { cluster, site, vm, availabilityZone, peer } = settings;
    const journal = Journal.create(vm, settings.logging.level, output);
    const loop = EventLoop.create();
    const metrics = VmMetrics.create();
    const nonce = randomUUID();
    const hash = await loadKeyHash();
    const prefix = `${vm}-${nonce.slice(0, NONCE_LENGTH)}`;
    const router = Router.create({
      cluster,
      site,
      vm,
      availabilityZone,
      peerAddress: peer,
      seeds: settings.seeds,
      nonce,
      seed: randomInt(2 ** 31),
      clockOrigin: performance.timeOrigin,
      startedAt: Date.now(),
      hash,
      timing: settings.timing,
      checkpointInterval: settings.log.checkpointInterval,
      balancer: PowerOfTwoChoices.create(),
    });
    const peers = PeerNetwork.create(
      { cluster, site, vm, peerAddress: peer },
      loop,
      journal,
    );
    const process = new EntryProcess(
      settings,
      loop,
      router,
      CallerServer.create(
        settings.listen,
        settings.callers,
        prefix,
        loop,
        hash,
        metrics,
      ),
      BackendClient.create(prefix, loop),
      peers,
      LogTail.create(
        HttpLog.create(settings.log.url, settings.log.stream),
        loop,
      ),
      VmListClient.create(settings.vmList.url, loop),
      AdminServer.create(settings.admin, {
        status: () => router.status(monotonicNow()),
        metrics: () => metrics.render(peers.traffic),
        isReady: () => process.#isReady(),
      }),
      journal,
    );
    try {
      await process.#run();
    } catch (error) {
      await process.#stop();
      throw error;
    }
    return process;
  }

  /** Why the process could not go on, if it could not. */
  get failure(): string | null {
    return this.#failure;
  }

  /** What the process sees now. */
  status(): RouterStatus {
    return this.router.status(monotonicNow());
  }

  /** Turns callers away, finishes what is in flight, then stops. */
  shutdown(): void {
    if (this.#isStopping) return;
    this.#isStopping = true;
    const { drainDelay, shutdownTimeout } = this.settings;
    this.journal.write("info", "vm.stopping", {
      inFlight: this.router.status(monotonicNow()).inFlight,
    });
    this.callers.drain();
    setTimeout(() => void this.#end(), drainDelay);
    setTimeout(() => void this.#stop(), drainDelay + shutdownTimeout).unref();
  }

  async #end(): Promise<void> {
    await this.callers.end();
    this.loop.push({ kind: "shutdown.requested", now: monotonicNow() });
  }

  #isReady(): boolean {
    return !this.#isStopping && this.router.configuration.revision > 0;
  }

  async #run(): Promise<void> {
    this.loop.connect(
      this.router,
      VmRunner.create({
        log: this.log,
        peers: this.peers,
        callers: this.callers,
        backends: this.backends,
        journal: this.journal,
        logsRequests: this.settings.logging.requests,
        stopped: () => void this.#stop(),
        failed: (reason) => {
          this.#failure = reason;
          this.journal.write("error", "vm.failed", { why: reason });
          void this.#stop();
        },
      }),
    );
    await this.peers.listen();
    await this.admin.listen();
    await this.callers.listen();
    this.vms.start(this.settings.vmList.interval);
    void this.log.run(() => this.router.logPosition);
    this.#timers.push(
      setInterval(
        () => this.loop.push({ kind: "clock.ticked", now: monotonicNow() }),
        TICK,
      ),
    );
    const { listen, admin, peer } = this.settings;
    this.journal.write("info", "vm.serving", { listen, admin, peer });
  }

  async #stop(): Promise<void> {
    for (const timer of this.#timers.splice(0)) clearTimeout(timer);
    this.log.stop();
    this.vms.stop();
    this.callers.close();
    this.admin.close();
    this.peers.close();
    await this.backends.close();
    this.journal.write("info", "vm.stopped", {});
    this.journal.flush();
    this.#resolveStopped();
  }
}
