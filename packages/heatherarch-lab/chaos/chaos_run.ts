/**
 * Chaos run over real processes. Clients send a mix of requests while faults are injected on a
 * schedule. Every response and every stand-in's ledger is checked.
 *
 * @module
 */
import { Random, sleep } from "heatherarch-core";
import { request } from "undici";
import { TestClient } from "../test_client.ts";
import { Cluster } from "../cluster.ts";
import { buildDeployment, type Deployment } from "../deployment.ts";
import { sendRandomRequest } from "../mixed_load.ts";
import { LoadBalancer } from "./load_balancer.ts";
import {
  buildChaosReport,
  type ChaosReport,
  isUnexpectedFailure,
  type TimedRecord,
} from "./chaos_report.ts";
import { ConfigMonitor } from "./config_monitor.ts";
import { type DrainRecord, FaultDriver } from "./fault_driver.ts";
import { ChaosNetwork } from "./chaos_network.ts";
import { listViolations } from "./violation_list.ts";
import {
  buildFaultSchedule,
  isUnplanned,
  type ScheduledFault,
} from "./fault_schedule.ts";

/** Options of {@linkcode runChaos}. */
export interface ChaosOptions {
  readonly seed: number;
  readonly seconds: number;
  /** Mean rate at which requests are sent. */
  readonly requestsPerSecond?: number;
  readonly print?: (line: string) => void;
}

interface FaultWindow {
  readonly fault: ScheduledFault;
  readonly startMs: number;
  endMs: number;
}

/** Time after an unplanned fault in which requests may still fail because of it. */
const FAULT_RECOVERY_MS = 6000;
const MAX_IN_FLIGHT = 150;
const SETTLE_MS = 5000;
const SETTINGS = {
  lease: { durationMs: 1500, driftMs: 200, renewMs: 400, settleMs: 700 },
  mesh: { sharedKey: "lab", heartbeatMs: 150, silenceMs: 900 },
  platform: {
    snapshotEveryRecords: 20,
    requestTimeoutMs: 1000,
    pollWaitMs: 1000,
  },
  requests: { firstByteTimeoutMs: 4000, gapTimeoutMs: 1500 },
  targets: { reportIntervalMs: 100, staleMs: 2500, reportTimeoutMs: 500 },
  claims: { permissionMs: 1500 },
};

/** The request mix alternates, so that engines change roles while faults are injected. */
const SIZES_PERIOD_MS = 5000;
const LONG_PROMPT_SIZES = { maxPromptTokens: 5000, maxOutputTokens: 24 };
const LONG_OUTPUT_SIZES = { maxPromptTokens: 200, maxOutputTokens: 160 };

const PLANNING = { policy: "greedy", intervalMs: 1200, changeMs: 500 } as const;

/** Starts a cluster, runs the schedule of the seed and returns the report. */
export async function runChaos(options: ChaosOptions): Promise<ChaosReport> {
  const deployment = await buildDeployment({
    name: "chaos",
    availabilityZones: ["zone-a", "zone-b", "zone-c"],
    vmsPerZone: 2,
    enginesPerZone: 4,
    servicesPerZone: 1,
    modelService: "reader",
    plainService: "bookings",
    planning: PLANNING,
  });
  const network = new ChaosNetwork(deployment);
  await network.open();
  const cluster = new Cluster({
    deployment,
    standins: {
      speeds: { changeMs: 500 },
      reportLagMs: 150,
      log: { seed: options.seed, appendMs: { low: 2, high: 15 } },
    },
    settings: SETTINGS,
    vmSettings: (vm) =>
      buildVmSettings(deployment, network, vm.availabilityZone),
    profiles: [{
      name: "default",
      deadlineMs: 30_000,
      kvTransferMinTokens: 256,
    }],
  });
  try {
    await cluster.start();
    return await new ChaosRun(options, cluster, network).run();
  } finally {
    await cluster.stop();
    await network.close();
  }
}

function buildVmSettings(
  deployment: Deployment,
  network: ChaosNetwork,
  zone: string,
) {
  const platform = network.getPlatformAddress(zone);
  return {
    platform: { log: `http://${platform}`, vmList: `http://${platform}/vms` },
    mesh: {
      peers: deployment.vms.map(({ id, availabilityZone, mesh }) => ({
        id,
        availabilityZone,
        mesh,
      })),
    },
    network: { translate: network.buildAddressTranslation(zone) },
  };
}

class ChaosRun {
  readonly #options: ChaosOptions;
  readonly #cluster: Cluster;
  readonly #network: ChaosNetwork;
  readonly #records: TimedRecord[] = [];
  readonly #faultWindows: FaultWindow[] = [];
  readonly #drains: DrainRecord[] = [];
  readonly #configMonitor: ConfigMonitor;
  readonly #violationCounts = new Map<string, number>();
  #raceWinnersMax = 0;
  #startMs = 0;
  #startedAtUnixMs = 0;

  constructor(options: ChaosOptions, cluster: Cluster, network: ChaosNetwork) {
    this.#options = options;
    this.#cluster = cluster;
    this.#network = network;
    this.#configMonitor = new ConfigMonitor(cluster);
  }

  async run(): Promise<ChaosReport> {
    const { seed, seconds } = this.#options;
    const totalMs = seconds * 1000;
    const balancer = new LoadBalancer(this.#cluster.deployment.vms);
    balancer.start();
    this.#configMonitor.start();
    const startMs = performance.now();
    this.#startMs = startMs;
    this.#startedAtUnixMs = Date.now();
    const load = this.#runLoad(balancer, startMs + totalMs);
    const faults = this.#runFaults(buildFaultSchedule(seed, totalMs), startMs);
    const polling = this.#pollViolations(startMs + totalMs);
    await Promise.all([load, faults, polling]);
    await sleep(SETTLE_MS);
    balancer.stop();
    this.#configMonitor.stop();
    return await this.#buildReport();
  }

  async #runLoad(balancer: LoadBalancer, untilMs: number): Promise<void> {
    const client = new TestClient();
    const random = new Random(this.#options.seed + 1);
    const meanIntervalMs = 1000 / (this.#options.requestsPerSecond ?? 30);
    const inFlight = new Set<Promise<void>>();
    while (performance.now() < untilMs) {
      if (inFlight.size < MAX_IN_FLIGHT) {
        const pendingRequest = this.#sendTimed(client, balancer, random);
        inFlight.add(pendingRequest);
        void pendingRequest.finally(() => inFlight.delete(pendingRequest));
      }
      await sleep(random.drawExponential(meanIntervalMs));
    }
    await Promise.all(inFlight);
    await client.close();
  }

  async #sendTimed(
    client: TestClient,
    balancer: LoadBalancer,
    random: Random,
  ): Promise<void> {
    const startMs = performance.now();
    const vms = [balancer.pickVm(random), balancer.pickVm(random)];
    const deployment = { ...this.#cluster.deployment, vms };
    const sizes = Math.floor(startMs / SIZES_PERIOD_MS) % 2 === 0
      ? LONG_PROMPT_SIZES
      : LONG_OUTPUT_SIZES;
    const records = await sendRandomRequest(client, deployment, random, sizes);
    const endMs = performance.now();
    for (const record of records) {
      this.#records.push({ record, startMs, endMs });
    }
  }

  async #runFaults(
    schedule: readonly ScheduledFault[],
    startMs: number,
  ): Promise<void> {
    const driver = new FaultDriver(this.#cluster, this.#network, {
      onChangeAccepted: (change) => {
        if (
          !this.#overlapsUnplannedFault(
            performance.now() - 1,
            performance.now(),
          )
        ) {
          this.#configMonitor.expectPropagation(change);
        }
      },
      onDrainChecked: (record) => this.#drains.push(record),
      onRaceFinished: (winners) => {
        this.#raceWinnersMax = Math.max(this.#raceWinnersMax, winners);
      },
    });
    const running: Promise<void>[] = [];
    for (const fault of schedule) {
      await sleep(Math.max(0, startMs + fault.atMs - performance.now()));
      running.push(this.#runFault(driver, fault));
    }
    await Promise.all(running);
  }

  async #runFault(driver: FaultDriver, fault: ScheduledFault): Promise<void> {
    const window: FaultWindow = {
      fault,
      startMs: performance.now(),
      endMs: Infinity,
    };
    this.#faultWindows.push(window);
    if (isUnplanned(fault.kind)) this.#configMonitor.dropPendingChanges();
    this.#options.print?.(
      `${Math.round(fault.atMs)} ms: ${fault.kind} for ${fault.durationMs} ms`,
    );
    const done = await driver.run(fault).catch((error: Error) => {
      this.#options.print?.(`${fault.kind}: ${error.message}`);
      return true;
    });
    window.endMs = performance.now();
    if (!done) this.#faultWindows.splice(this.#faultWindows.indexOf(window), 1);
  }

  /** Whether an unplanned fault or the recovery from one overlaps the time span. */
  #overlapsUnplannedFault(startMs: number, endMs: number): boolean {
    return this.#faultWindows.some((window) =>
      isUnplanned(window.fault.kind) &&
      window.startMs <= endMs && window.endMs + FAULT_RECOVERY_MS >= startMs
    );
  }

  async #pollViolations(untilMs: number): Promise<void> {
    while (performance.now() < untilMs) {
      for (const vm of this.#cluster.deployment.vms) {
        const pid = this.#cluster.getPid(vm.id);
        const count = await fetchViolationCount(vm.operators).catch(() =>
          undefined
        );
        if (count !== undefined) {
          this.#violationCounts.set(`${vm.id}/${pid}`, count);
        }
      }
      await sleep(500);
    }
  }

  async #buildReport(): Promise<ChaosReport> {
    const failures = this.#records.filter(isUnexpectedFailure);
    const plannedFailures = failures.filter(({ startMs, endMs }) =>
      !this.#overlapsUnplannedFault(startMs, endMs)
    );
    return buildChaosReport({
      seed: this.#options.seed,
      startMs: this.#startMs,
      ledger: await this.#cluster.readLedger(),
      records: this.#records,
      cutByPlannedChange: plannedFailures,
      cutByFailure: failures.length - plannedFailures.length,
      drains: this.#drains,
      faults: this.#countFaults(),
      roleChanges: await this.#countRoleChanges(),
      invariantViolations: sum([...this.#violationCounts.values()]),
      violationList: listViolations({
        folder: this.#cluster.directory,
        vms: this.#cluster.deployment.vms.map(({ id }) => id),
        startedAtUnixMs: this.#startedAtUnixMs,
      }),
      raceWinnersMax: this.#raceWinnersMax,
      maxPropagationMs: this.#configMonitor.maxPropagationMs,
      configReverts: this.#configMonitor.revertCount,
      configOffsets: this.#configMonitor.listOffsets(),
    });
  }

  #countFaults(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { fault } of this.#faultWindows) {
      counts[fault.kind] = (counts[fault.kind] ?? 0) + 1;
    }
    return counts;
  }

  async #countRoleChanges(): Promise<number> {
    let count = 0;
    for (const zone of this.#cluster.deployment.fleet.availabilityZones) {
      const inZone = this.#cluster.deployment.vms.filter((vm) =>
        vm.availabilityZone === zone
      );
      const roleChanges = await Promise.all(
        inZone.map((vm) =>
          this.#cluster.readStatus(vm).then(
            (status) => status.lease.roleChanges,
            () => 0,
          )
        ),
      );
      count += Math.max(...roleChanges);
    }
    return count;
  }
}

function sum(counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}

async function fetchViolationCount(operators: string): Promise<number> {
  const response = await request(`http://${operators}/metrics`, {
    signal: AbortSignal.timeout(800),
  });
  const text = await response.body.text();
  let sum = 0;
  for (
    const match of text.matchAll(
      /^heatherarch_invariant_violations_total\{[^}]*\} (\d+)/gm,
    )
  ) {
    sum += Number(match[1]);
  }
  return sum;
}
