/**
 * Injects scheduled faults into a running cluster and reverts them.
 *
 * @module
 */
import { sleep } from "heatherarch-core";
import type { Target } from "heatherarch-settings";
import type { Cluster } from "../cluster.ts";
import type { DeployedVm } from "../deployment.ts";
import type { ChaosNetwork } from "./chaos_network.ts";
import type { FaultKind, ScheduledFault } from "./fault_schedule.ts";

/** A configuration change that was accepted during the run. */
export interface AcceptedChange {
  readonly offset: number;
  /** Wall-clock time at which the change was submitted, milliseconds since the Unix epoch. */
  readonly atMs: number;
}

/** A drain or withdrawal, and the last time at which the target began work. */
export interface DrainRecord {
  readonly target: string;
  readonly atMs: number;
  readonly lastWorkAtMs: number;
}

/** Receives events from the driver. */
export interface FaultListener {
  onChangeAccepted(change: AcceptedChange): void;
  onDrainChecked(record: DrainRecord): void;
  onRaceFinished(winners: number): void;
}

const NO_LOG_FAULTS = {
  down: false,
  slowMs: 0,
  loseAnswerShare: 0,
  duplicateShare: 0,
  retainRecords: 100_000,
};
const TRIMMED_LOG_RECORDS = 60;
const FAULT_PROBABILITY = 0.3;
const EXIT_TIMEOUT_MS = 30_000;

/** Injects faults. */
export class FaultDriver {
  readonly #cluster: Cluster;
  readonly #network: ChaosNetwork;
  readonly #listener: FaultListener;
  /** VMs, targets and links that a fault is using. Other faults skip them. */
  readonly #lockedIds = new Set<string>();

  constructor(
    cluster: Cluster,
    network: ChaosNetwork,
    listener: FaultListener,
  ) {
    this.#cluster = cluster;
    this.#network = network;
    this.#listener = listener;
  }

  /** Runs one fault from start to end. Returns false if nothing was injected. */
  async run(fault: ScheduledFault): Promise<boolean> {
    const handlers: Record<
      FaultKind,
      (fault: ScheduledFault) => Promise<boolean>
    > = {
      killVm: (f) => this.#stopVm(f, "SIGKILL"),
      terminateVm: (f) => this.#stopVm(f, "SIGTERM"),
      pauseVm: (f) => this.#pauseVm(f, this.#pickVm(f.selector)),
      pauseHolder: async (f) =>
        this.#pauseVm(f, await this.#findHolder(f.selector)),
      cutZone: (f) => this.#cutZone(f),
      cutPlatform: (f) =>
        this.#cutZoneLinks(
          f,
          (zone, mode) => this.#network.setPlatformLinks(zone, mode),
        ),
      silenceConnections: (f) => this.#silenceConnections(f),
      platformDown: (f) => this.#injectLogFaults(f, { down: true }),
      platformSlow: (f) => this.#injectLogFaults(f, { slowMs: 400 }),
      loseAppendAnswers: (f) =>
        this.#injectLogFaults(f, { loseAnswerShare: FAULT_PROBABILITY }),
      repeatAppends: (f) =>
        this.#injectLogFaults(f, { duplicateShare: FAULT_PROBABILITY }),
      trimLog: (f) =>
        this.#injectLogFaults(f, { retainRecords: TRIMMED_LOG_RECORDS }),
      engineCrash: (f) =>
        this.#crashTarget(this.#pickEngine(f.selector), f.durationMs),
      engineCrashInOrder: (f) => this.#crashDuringOrder(f),
      engineFreeze: (f) => this.#freezeEngine(f),
      engineTruncate: (f) => this.#truncateResponses(f),
      engineCrossAnswers: (f) => this.#crossResponses(f),
      serviceLoseAnswers: (f) => this.#loseResponses(f),
      serviceCrash: (f) =>
        this.#crashTarget(
          this.#pickService(f.selector),
          Math.min(f.durationMs, 1500),
        ),
      drainTarget: (f) => this.#testDirective(f, "drain"),
      withdrawTarget: (f) => this.#testDirective(f, "withdraw"),
      operatorRace: (f) => this.#raceOperators(f),
      reviseProfile: (f) => this.#reviseProfile(f),
      listLag: (f) => this.#delayVmList(f),
      silenceTargets: (f) => this.#silenceTargets(f),
    };
    return await handlers[fault.kind](fault);
  }

  #pickVm(selector: number): DeployedVm {
    const { vms } = this.#cluster.deployment;
    return vms[selector % vms.length];
  }

  #pickEngine(selector: number): Target {
    const engines = this.#cluster.deployment.fleet.targets.filter((target) =>
      target.id.includes("engine")
    );
    return engines[selector % engines.length];
  }

  #pickService(selector: number): Target {
    const services = this.#cluster.deployment.fleet.targets.filter((target) =>
      target.id.includes("service")
    );
    return services[selector % services.length];
  }

  async #findHolder(selector: number): Promise<DeployedVm> {
    for (const vm of this.#cluster.deployment.vms.slice(selector % 3)) {
      const status = await this.#cluster.readStatus(vm).catch(() => undefined);
      if (status?.lease.heldHere) return vm;
    }
    return this.#pickVm(selector);
  }

  async #withLock(id: string, work: () => Promise<void>): Promise<boolean> {
    if (this.#lockedIds.has(id)) return false;
    this.#lockedIds.add(id);
    try {
      await work();
      return true;
    } finally {
      this.#lockedIds.delete(id);
    }
  }

  /** Stops and restarts a VM. At most one VM of a zone is stopped at a time. */
  #stopVm(
    fault: ScheduledFault,
    signal: "SIGKILL" | "SIGTERM",
  ): Promise<boolean> {
    const vm = this.#pickVm(fault.selector);
    return this.#withLock(
      `zone ${vm.availabilityZone}`,
      () =>
        this.#withLock(vm.id, async () => {
          this.#cluster.signalVm(vm.id, signal);
          await Promise.race([
            this.#cluster.waitExit(vm.id),
            sleep(EXIT_TIMEOUT_MS),
          ]);
          await sleep(Math.min(fault.durationMs, 1500));
          this.#cluster.startVm(vm);
          await this.#cluster.waitReady([vm]);
        }).then(() => undefined),
    );
  }

  #pauseVm(fault: ScheduledFault, vm: DeployedVm): Promise<boolean> {
    return this.#withLock(vm.id, async () => {
      this.#cluster.signalVm(vm.id, "SIGSTOP");
      await sleep(fault.durationMs);
      this.#cluster.signalVm(vm.id, "SIGCONT");
    });
  }

  /** Skipped while targets are silent, as the end of either fault would end the other one. */
  #cutZone(fault: ScheduledFault): Promise<boolean> {
    if (this.#lockedIds.has("target links")) return Promise.resolve(false);
    return this.#cutZoneLinks(
      fault,
      (zone, mode) => this.#network.setZoneLinks(zone, mode),
    );
  }

  #cutZoneLinks(
    fault: ScheduledFault,
    setMode: (zone: string, mode: "cut" | "open") => void,
  ): Promise<boolean> {
    const zones = this.#cluster.deployment.fleet.availabilityZones;
    const zone = zones[fault.selector % zones.length];
    return this.#withLock(`links ${zone}`, async () => {
      setMode(zone, "cut");
      await sleep(fault.durationMs);
      setMode(zone, "open");
    });
  }

  async #silenceConnections(fault: ScheduledFault): Promise<boolean> {
    const direction = fault.selector % 2 === 0 ? "silentForward" : "silentBack";
    this.#network.silenceConnections(fault.selector, direction);
    await sleep(fault.durationMs);
    return true;
  }

  /**
   * Holds back what all targets, or those of one service, send and receive. Skipped while the links of
   * a zone are cut, for the same reason.
   */
  #silenceTargets(fault: ScheduledFault): Promise<boolean> {
    const { fleet } = this.#cluster.deployment;
    const services = new Set(fleet.targets.map(({ service }) => service));
    const choices = [undefined, ...services];
    const service = choices[fault.selector % choices.length];
    const isAnyCut = fleet.availabilityZones
      .some((zone) => this.#lockedIds.has(`links ${zone}`));
    if (isAnyCut) return Promise.resolve(false);
    return this.#withLock("target links", async () => {
      this.#network.setTargetLinks(service, "held");
      await sleep(fault.durationMs);
      this.#network.setTargetLinks(service, "open");
    });
  }

  #injectLogFaults(
    fault: ScheduledFault,
    faults: Partial<typeof NO_LOG_FAULTS>,
  ): Promise<boolean> {
    return this.#withLock("platform", async () => {
      await this.#cluster.sendCommand({ kind: "log", faults });
      await sleep(fault.durationMs);
      await this.#cluster.sendCommand({ kind: "log", faults: NO_LOG_FAULTS });
    });
  }

  #crashTarget(target: Target, downMs: number): Promise<boolean> {
    return this.#withLock(target.id, async () => {
      await this.#cluster.sendCommand({
        kind: "crash",
        target: target.id,
        downMs,
      });
      await sleep(downMs);
    });
  }

  async #crashDuringOrder(fault: ScheduledFault): Promise<boolean> {
    const target = this.#pickEngine(fault.selector).id;
    await this.#cluster.sendCommand({
      kind: "crashInOrder",
      target,
      afterMs: 150,
    });
    await sleep(fault.durationMs);
    return true;
  }

  #freezeEngine(fault: ScheduledFault): Promise<boolean> {
    const { id } = this.#pickEngine(fault.selector);
    return this.#withLock(id, async () => {
      await this.#cluster.sendCommand({
        kind: "freeze",
        target: id,
        ms: fault.durationMs,
      });
      await sleep(fault.durationMs);
    });
  }

  #truncateResponses(fault: ScheduledFault): Promise<boolean> {
    const { id } = this.#pickEngine(fault.selector);
    return this.#withLock(id, async () => {
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

  #crossResponses(fault: ScheduledFault): Promise<boolean> {
    const { id } = fault.selector % 4 === 0
      ? this.#pickService(fault.selector)
      : this.#pickEngine(fault.selector);
    return this.#withLock(id, async () => {
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

  #loseResponses(fault: ScheduledFault): Promise<boolean> {
    const { id } = this.#pickService(fault.selector);
    return this.#withLock(id, async () => {
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

  /** Drains or withdraws a target, reports when it last began work, and restores it. */
  #testDirective(
    fault: ScheduledFault,
    directive: "drain" | "withdraw",
  ): Promise<boolean> {
    const target = fault.selector % 3 === 0
      ? this.#pickService(fault.selector)
      : this.#pickEngine(fault.selector);
    return this.#withLock(target.id, async () => {
      const accepted = await this.#publishDirective(
        target.id,
        directive,
        fault.selector,
      );
      if (accepted === undefined) return;
      await sleep(Math.max(1500, fault.durationMs));
      const { lastWorkAtMs } = await this.#cluster.readLedger();
      this.#listener.onDrainChecked({
        target: target.id,
        atMs: accepted.atMs,
        lastWorkAtMs: lastWorkAtMs[target.id],
      });
      await this.#publishDirective(target.id, "restore", fault.selector);
    });
  }

  async #publishDirective(
    target: string,
    directive: string,
    selector: number,
  ): Promise<AcceptedChange | undefined> {
    const getRevision = (directives: Record<string, { revision: number }>) =>
      directives[target]?.revision ?? -1;
    const change = { kind: "directTarget", target, directive };
    return await this.#publish(
      change,
      (config) => getRevision(config.directives),
      selector,
    );
  }

  /** Publishes a change against the current revision, through a VM that responds. */
  async #publish(
    change: unknown,
    getBaseRevision: (config: ConfigResponse) => number,
    selector: number,
  ): Promise<AcceptedChange | undefined> {
    for (let attempt = 0; attempt < 20; attempt++) {
      const vm = this.#pickVm(selector + attempt);
      try {
        const config = await readConfig(vm);
        const atMs = Date.now();
        const response = await this.#cluster.publish(
          change,
          getBaseRevision(config),
          vm,
        );
        if (response.status === 200 && response.body.verdict === "accepted") {
          const accepted = { offset: response.body.offset ?? -1, atMs };
          this.#listener.onChangeAccepted(accepted);
          return accepted;
        }
      } catch {
        // This VM is unavailable. The next attempt uses another one.
      }
      await sleep(300);
    }
    return undefined;
  }

  /** Two operators change one profile from the same base revision through two VMs. */
  async #raceOperators(fault: ScheduledFault): Promise<boolean> {
    const first = this.#pickVm(fault.selector);
    const second = this.#pickVm(fault.selector + 1);
    const config = await readConfig(first).catch(() => undefined);
    if (config === undefined) return false;
    const base = config.profiles.default?.revision ?? -1;
    const buildChange = (deadlineMs: number) => ({
      kind: "putProfile",
      profile: { name: "default", deadlineMs, kvTransferMinTokens: 256 },
    });
    const responses = await Promise.all([
      this.#cluster.publish(buildChange(30_000), base, first).catch(() =>
        undefined
      ),
      this.#cluster.publish(buildChange(31_000), base, second).catch(() =>
        undefined
      ),
    ]);
    const acceptedResponses = responses.filter((response) =>
      response?.body.verdict === "accepted"
    );
    for (const response of acceptedResponses) {
      this.#listener.onChangeAccepted({
        offset: response?.body.offset ?? -1,
        atMs: Date.now(),
      });
    }
    this.#listener.onRaceFinished(acceptedResponses.length);
    return true;
  }

  async #reviseProfile(fault: ScheduledFault): Promise<boolean> {
    const deadlineMs = 30_000 + fault.selector % 1000;
    const change = {
      kind: "putProfile",
      profile: { name: "default", deadlineMs, kvTransferMinTokens: 256 },
    };
    const getBaseRevision = (config: ConfigResponse) =>
      config.profiles.default?.revision ?? -1;
    return await this.#publish(change, getBaseRevision, fault.selector) !==
      undefined;
  }

  async #delayVmList(fault: ScheduledFault): Promise<boolean> {
    await this.#cluster.sendCommand({
      kind: "vms",
      vms: [],
      lagMs: fault.durationMs,
    });
    await this.#cluster.publishVmList();
    return true;
  }
}

interface ConfigResponse {
  readonly profiles: Record<string, { revision: number }>;
  readonly directives: Record<string, { revision: number }>;
}

async function readConfig(vm: DeployedVm): Promise<ConfigResponse> {
  const response = await fetch(`http://${vm.operators}/v1/config`, {
    signal: AbortSignal.timeout(1500),
  });
  return await response.json() as ConfigResponse;
}
