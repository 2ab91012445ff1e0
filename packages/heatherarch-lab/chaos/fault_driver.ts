/**
 * Carries out scheduled faults on a running cluster, and undoes them.
 *
 * @module
 */
import { sleep } from "heatherarch-core";
import type { Target } from "heatherarch-settings";
import type { Cluster } from "../cluster.ts";
import type { DeployedVm } from "../deployment.ts";
import type { ChaosNetwork } from "./network.ts";
import type { FaultKind, ScheduledFault } from "./schedule.ts";

/** A change of configuration that was accepted during the run. */
export interface AcceptedChange {
  readonly offset: number;
  /** Wall-clock time at which it was handed in, milliseconds since the Unix epoch. */
  readonly atMs: number;
}

/** A drain and what the target did after it. */
export interface DrainRecord {
  readonly target: string;
  readonly atMs: number;
  readonly lastWorkAtMs: number;
}

/** What the driver tells the run. */
export interface FaultListener {
  onAccepted(change: AcceptedChange): void;
  onDrained(record: DrainRecord): void;
  onRace(winners: number): void;
}

const PLATFORM_NORMAL = {
  down: false,
  slowMs: 0,
  loseAnswerShare: 0,
  duplicateShare: 0,
  retainRecords: 100_000,
};
const TRIMMED_RECORDS = 60;
const LOSING_SHARE = 0.3;
const EXIT_LIMIT_MS = 30_000;

/** Drives faults. */
export class FaultDriver {
  readonly #cluster: Cluster;
  readonly #network: ChaosNetwork;
  readonly #listener: FaultListener;
  /** VMs and targets that a fault has in hand; another one leaves them alone. */
  readonly #busy = new Set<string>();

  constructor(
    cluster: Cluster,
    network: ChaosNetwork,
    listener: FaultListener,
  ) {
    this.#cluster = cluster;
    this.#network = network;
    this.#listener = listener;
  }

  /** Carries out one fault from its start to its end; false where nothing was done. */
  async run(fault: ScheduledFault): Promise<boolean> {
    const handlers: Record<
      FaultKind,
      (fault: ScheduledFault) => Promise<boolean>
    > = {
      killVm: (f) => this.#stopVm(f, "SIGKILL"),
      terminateVm: (f) => this.#stopVm(f, "SIGTERM"),
      pauseVm: (f) => this.#pause(f, this.#pickVm(f.pick)),
      pauseHolder: async (f) => this.#pause(f, await this.#findHolder(f.pick)),
      cutZone: (f) =>
        this.#forZone(f, (zone, mode) => this.#network.setZone(zone, mode)),
      cutPlatform: (f) =>
        this.#forZone(f, (zone, mode) => this.#network.setPlatform(zone, mode)),
      silenceConnections: (f) => this.#silence(f),
      platformDown: (f) => this.#platform(f, { down: true }),
      platformSlow: (f) => this.#platform(f, { slowMs: 400 }),
      loseAppendAnswers: (f) =>
        this.#platform(f, { loseAnswerShare: LOSING_SHARE }),
      repeatAppends: (f) => this.#platform(f, { duplicateShare: LOSING_SHARE }),
      trimLog: (f) => this.#platform(f, { retainRecords: TRIMMED_RECORDS }),
      engineCrash: (f) => this.#crash(this.#pickEngine(f.pick), f.durationMs),
      engineCrashInOrder: (f) => this.#crashInOrder(f),
      engineFreeze: (f) => this.#freeze(f),
      engineTruncate: (f) => this.#truncate(f),
      engineCrossAnswers: (f) => this.#cross(f),
      serviceLoseAnswers: (f) => this.#loseAnswers(f),
      serviceCrash: (f) =>
        this.#crash(this.#pickService(f.pick), Math.min(f.durationMs, 1500)),
      drainTarget: (f) => this.#direct(f, "drain"),
      withdrawTarget: (f) => this.#direct(f, "withdraw"),
      operatorRace: (f) => this.#race(f),
      reviseProfile: (f) => this.#revise(f),
      listLag: (f) => this.#lagList(f),
    };
    return await handlers[fault.kind](fault);
  }

  #pickVm(pick: number): DeployedVm {
    const { vms } = this.#cluster.deployment;
    return vms[pick % vms.length];
  }

  #pickEngine(pick: number): Target {
    const engines = this.#cluster.deployment.fleet.targets.filter((target) =>
      target.id.includes("engine")
    );
    return engines[pick % engines.length];
  }

  #pickService(pick: number): Target {
    const services = this.#cluster.deployment.fleet.targets.filter((target) =>
      target.id.includes("service")
    );
    return services[pick % services.length];
  }

  async #findHolder(pick: number): Promise<DeployedVm> {
    for (const vm of this.#cluster.deployment.vms.slice(pick % 3)) {
      const status = await this.#cluster.readStatus(vm).catch(() => undefined);
      if (status?.lease.heldHere) return vm;
    }
    return this.#pickVm(pick);
  }

  async #hold(id: string, work: () => Promise<void>): Promise<boolean> {
    if (this.#busy.has(id)) return false;
    this.#busy.add(id);
    try {
      await work();
      return true;
    } finally {
      this.#busy.delete(id);
    }
  }

  /** At most one VM of a zone is stopped at a time, as a careful operator would. */
  #stopVm(
    fault: ScheduledFault,
    signal: "SIGKILL" | "SIGTERM",
  ): Promise<boolean> {
    const vm = this.#pickVm(fault.pick);
    return this.#hold(
      `zone ${vm.availabilityZone}`,
      () =>
        this.#hold(vm.id, async () => {
          this.#cluster.signalVm(vm.id, signal);
          await Promise.race([
            this.#cluster.waitExit(vm.id),
            sleep(EXIT_LIMIT_MS),
          ]);
          await sleep(Math.min(fault.durationMs, 1500));
          this.#cluster.startVm(vm);
          await this.#cluster.waitReady([vm]);
        }).then(() => undefined),
    );
  }

  #pause(fault: ScheduledFault, vm: DeployedVm): Promise<boolean> {
    return this.#hold(vm.id, async () => {
      this.#cluster.signalVm(vm.id, "SIGSTOP");
      await sleep(fault.durationMs);
      this.#cluster.signalVm(vm.id, "SIGCONT");
    });
  }

  #forZone(
    fault: ScheduledFault,
    set: (zone: string, mode: "cut" | "open") => void,
  ): Promise<boolean> {
    const zones = this.#cluster.deployment.fleet.availabilityZones;
    const zone = zones[fault.pick % zones.length];
    return this.#hold(`links ${zone}`, async () => {
      set(zone, "cut");
      await sleep(fault.durationMs);
      set(zone, "open");
    });
  }

  async #silence(fault: ScheduledFault): Promise<boolean> {
    const direction = fault.pick % 2 === 0 ? "silentForward" : "silentBack";
    this.#network.silenceSome(fault.pick, direction);
    await sleep(fault.durationMs);
    return true;
  }

  #platform(
    fault: ScheduledFault,
    faults: Partial<typeof PLATFORM_NORMAL>,
  ): Promise<boolean> {
    return this.#hold("platform", async () => {
      await this.#cluster.sendCommand({ kind: "log", faults });
      await sleep(fault.durationMs);
      await this.#cluster.sendCommand({ kind: "log", faults: PLATFORM_NORMAL });
    });
  }

  #crash(target: Target, downMs: number): Promise<boolean> {
    return this.#hold(target.id, async () => {
      await this.#cluster.sendCommand({
        kind: "crash",
        target: target.id,
        downMs,
      });
      await sleep(downMs);
    });
  }

  async #crashInOrder(fault: ScheduledFault): Promise<boolean> {
    const target = this.#pickEngine(fault.pick).id;
    await this.#cluster.sendCommand({
      kind: "crashInOrder",
      target,
      afterMs: 150,
    });
    await sleep(fault.durationMs);
    return true;
  }

  #freeze(fault: ScheduledFault): Promise<boolean> {
    const { id } = this.#pickEngine(fault.pick);
    return this.#hold(id, async () => {
      await this.#cluster.sendCommand({
        kind: "freeze",
        target: id,
        ms: fault.durationMs,
      });
      await sleep(fault.durationMs);
    });
  }

  #truncate(fault: ScheduledFault): Promise<boolean> {
    const { id } = this.#pickEngine(fault.pick);
    return this.#hold(id, async () => {
      await this.#cluster.sendCommand({
        kind: "truncate",
        target: id,
        after: 3,
      });
      await sleep(fault.durationMs);
      await this.#cluster.sendCommand({
        kind: "truncate",
        target: id,
        after: 0,
      });
    });
  }

  #cross(fault: ScheduledFault): Promise<boolean> {
    const { id } = fault.pick % 4 === 0
      ? this.#pickService(fault.pick)
      : this.#pickEngine(fault.pick);
    return this.#hold(id, async () => {
      await this.#cluster.sendCommand({
        kind: "crossAnswers",
        target: id,
        on: true,
      });
      await sleep(fault.durationMs);
      await this.#cluster.sendCommand({
        kind: "crossAnswers",
        target: id,
        on: false,
      });
    });
  }

  #loseAnswers(fault: ScheduledFault): Promise<boolean> {
    const { id } = this.#pickService(fault.pick);
    return this.#hold(id, async () => {
      await this.#cluster.sendCommand({
        kind: "loseAnswers",
        target: id,
        on: true,
      });
      await sleep(fault.durationMs);
      await this.#cluster.sendCommand({
        kind: "loseAnswers",
        target: id,
        on: false,
      });
    });
  }

  /** Drains or withdraws a target, watches what it still gets, and restores it. */
  #direct(
    fault: ScheduledFault,
    directive: "drain" | "withdraw",
  ): Promise<boolean> {
    const target = fault.pick % 3 === 0
      ? this.#pickService(fault.pick)
      : this.#pickEngine(fault.pick);
    return this.#hold(target.id, async () => {
      const accepted = await this.#publishDirective(
        target.id,
        directive,
        fault.pick,
      );
      if (accepted === undefined) return;
      await sleep(Math.max(1500, fault.durationMs));
      const { lastWorkAtMs } = await this.#cluster.readLedger();
      this.#listener.onDrained({
        target: target.id,
        atMs: accepted.atMs,
        lastWorkAtMs: lastWorkAtMs[target.id],
      });
      await this.#publishDirective(target.id, "restore", fault.pick);
    });
  }

  async #publishDirective(
    target: string,
    directive: string,
    pick: number,
  ): Promise<AcceptedChange | undefined> {
    const read = (directives: Record<string, { revision: number }>) =>
      directives[target]?.revision ?? -1;
    const change = { kind: "directTarget", target, directive };
    return await this.#publish(
      change,
      (config) => read(config.directives),
      pick,
    );
  }

  /** Publishes through a VM that answers, against the present revision. */
  async #publish(
    change: unknown,
    readBase: (config: ConfigView) => number,
    pick: number,
  ): Promise<AcceptedChange | undefined> {
    for (let attempt = 0; attempt < 20; attempt++) {
      const vm = this.#pickVm(pick + attempt);
      try {
        const config = await readConfig(vm);
        const atMs = Date.now();
        const answer = await this.#cluster.publish(
          change,
          readBase(config),
          vm,
        );
        if (answer.status === 200 && answer.body.verdict === "accepted") {
          const accepted = { offset: answer.body.offset ?? -1, atMs };
          this.#listener.onAccepted(accepted);
          return accepted;
        }
      } catch {
        // That VM is down; another one takes it.
      }
      await sleep(300);
    }
    return undefined;
  }

  /** Two operators change the same thing from the same base through two VMs. */
  async #race(fault: ScheduledFault): Promise<boolean> {
    const first = this.#pickVm(fault.pick);
    const second = this.#pickVm(fault.pick + 1);
    const config = await readConfig(first).catch(() => undefined);
    if (config === undefined) return false;
    const base = config.profiles.default?.revision ?? -1;
    const build = (deadlineMs: number) => ({
      kind: "putProfile",
      profile: { name: "default", deadlineMs, kvTransferMinTokens: 256 },
    });
    const answers = await Promise.all([
      this.#cluster.publish(build(30_000), base, first).catch(() => undefined),
      this.#cluster.publish(build(31_000), base, second).catch(() => undefined),
    ]);
    const won = answers.filter((answer) => answer?.body.verdict === "accepted");
    for (const answer of won) {
      this.#listener.onAccepted({
        offset: answer?.body.offset ?? -1,
        atMs: Date.now(),
      });
    }
    this.#listener.onRace(won.length);
    return true;
  }

  async #revise(fault: ScheduledFault): Promise<boolean> {
    const deadlineMs = 30_000 + fault.pick % 1000;
    const change = {
      kind: "putProfile",
      profile: { name: "default", deadlineMs, kvTransferMinTokens: 256 },
    };
    const readBase = (config: ConfigView) =>
      config.profiles.default?.revision ?? -1;
    return await this.#publish(change, readBase, fault.pick) !== undefined;
  }

  async #lagList(fault: ScheduledFault): Promise<boolean> {
    await this.#cluster.sendCommand({
      kind: "vms",
      vms: [],
      lagMs: fault.durationMs,
    });
    await this.#cluster.publishVmList();
    return true;
  }
}

interface ConfigView {
  readonly profiles: Record<string, { revision: number }>;
  readonly directives: Record<string, { revision: number }>;
}

async function readConfig(vm: DeployedVm): Promise<ConfigView> {
  const answer = await fetch(`http://${vm.operators}/v1/config`, {
    signal: AbortSignal.timeout(1500),
  });
  return await answer.json() as ConfigView;
}
