/**
 * Measures recovery times on a small deployment with the default lease and mesh settings.
 *
 * @module
 */
import { Random, sleep } from "heatherarch-core";
import { TestClient } from "../test_client.ts";
import { Cluster } from "../cluster.ts";
import { buildDeployment, type DeployedVm, SHAPES } from "../deployment.ts";
import { type LoadRecord, sendRandomRequest } from "../mixed_load.ts";
import { ChaosNetwork } from "./chaos_network.ts";

/** Recovery times in seconds, and the share of requests that a partitioned zone answered. */
export interface RecoveryReport {
  readonly holderKilledToNextOrder: number;
  readonly holderStoppedToNextOrder: number;
  readonly platformBackToCaughtUp: number;
  readonly healedToAgreed: number;
  readonly startToReadyPlatformUp: number;
  readonly startToReadyPlatformDown: number;
  readonly cutZone: {
    readonly requests: number;
    readonly readingsAnsweredShare: number;
    readonly lookupsAnsweredShare: number;
    readonly bookingsAnsweredShare: number;
    /** Share of bookings whose error says that they were not run. */
    readonly bookingsRefusedShare: number;
  };
}

const POLL_INTERVAL_MS = 20;
const TIMEOUT_MS = 60_000;
const PARTITION_MS = 8000;
const OUTAGE_MS = 8000;

/** Measures every recovery time once. */
export async function measureRecovery(
  print: (line: string) => void,
): Promise<RecoveryReport> {
  const deployment = await buildDeployment({
    ...SHAPES.small,
    vmsPerZone: 3,
    planning: { policy: "none" },
  });
  const network = new ChaosNetwork(deployment);
  await network.open();
  const cluster = new Cluster({
    deployment,
    standins: {
      speeds: { changeMs: 300 },
      log: { appendMs: { low: 5, high: 50 } },
    },
    vmSettings: (vm) => ({
      platform: {
        log: `http://${network.getPlatformAddress(vm.availabilityZone)}`,
        vmList: `http://${network.getPlatformAddress(vm.availabilityZone)}/vms`,
      },
      mesh: {
        peers: deployment.vms.map(({ id, availabilityZone, mesh }) => ({
          id,
          availabilityZone,
          mesh,
        })),
      },
      network: {
        translate: network.buildAddressTranslation(vm.availabilityZone),
      },
    }),
  });
  try {
    await cluster.start();
    const recovery = new RecoveryMeasurement(cluster, network);
    await recovery.publishAndWaitForOrders("2");
    const report: RecoveryReport = {
      holderKilledToNextOrder: await recovery.measureFailover("SIGKILL", "3"),
      holderStoppedToNextOrder: await recovery.measureFailover("SIGTERM", "4"),
      platformBackToCaughtUp: await recovery.measureOutageRecovery(),
      startToReadyPlatformUp: await recovery.measureStartup(false),
      startToReadyPlatformDown: await recovery.measureStartup(true),
      ...await recovery.measurePartition(),
    };
    print(JSON.stringify(report));
    return report;
  } finally {
    await cluster.stop();
    await network.close();
  }
}

class RecoveryMeasurement {
  readonly #cluster: Cluster;
  readonly #network: ChaosNetwork;
  readonly #zones: readonly string[];
  #fleetRevision = -1;

  constructor(cluster: Cluster, network: ChaosNetwork) {
    this.#cluster = cluster;
    this.#network = network;
    this.#zones = cluster.deployment.fleet.availabilityZones;
  }

  /** Publishes a model version and waits until the first zone's engines have obeyed its orders. */
  async publishAndWaitForOrders(version: string): Promise<void> {
    const { vms } = this.#cluster.deployment;
    const before = await this.#countOrders();
    await this.#publishVersion(version, vms[vms.length - 1]);
    await this.#waitUntil(async () => await this.#countOrders() >= before + 3);
    await sleep(2000);
  }

  async measureFailover(
    signal: "SIGKILL" | "SIGTERM",
    version: string,
  ): Promise<number> {
    const { vms } = this.#cluster.deployment;
    const holder = await this.#findHolder();
    const before = await this.#countOrders();
    const startMs = performance.now();
    this.#cluster.signalVm(holder.id, signal);
    const publishing = this.#publishVersion(version, vms[vms.length - 1]);
    await this.#waitUntil(async () => await this.#countOrders() > before);
    const seconds = computeSecondsSince(startMs);
    await publishing;
    await this.#cluster.waitExit(holder.id);
    this.#cluster.startVm(holder);
    await this.#cluster.waitReady([holder]);
    await this.#waitUntil(async () => await this.#countOrders() >= before + 3);
    await sleep(3000);
    return seconds;
  }

  async measureOutageRecovery(): Promise<number> {
    await this.#cluster.sendCommand({ kind: "log", faults: { down: true } });
    await sleep(OUTAGE_MS);
    await this.#cluster.sendCommand({ kind: "log", faults: { down: false } });
    const startMs = performance.now();
    await this.#waitUntil(async () => {
      const stale = await this.#readFromAllVms((status) =>
        status.config.staleMs ?? Infinity
      );
      const limit = performance.now() - startMs;
      // The relays must have read the log. The other VMs are up to date through their peers.
      return stale.filter((ms) => ms < limit).length >= this.#zones.length;
    });
    return computeSecondsSince(startMs);
  }

  async measureStartup(isPlatformDown: boolean): Promise<number> {
    const [vm] = this.#cluster.deployment.vms;
    this.#cluster.signalVm(vm.id, "SIGTERM");
    await this.#cluster.waitExit(vm.id);
    if (isPlatformDown) {
      await this.#cluster.sendCommand({ kind: "log", faults: { down: true } });
    }
    await sleep(500);
    const startMs = performance.now();
    this.#cluster.startVm(vm);
    await this.#cluster.waitReady([vm]);
    const seconds = computeSecondsSince(startMs);
    if (isPlatformDown) {
      await this.#cluster.sendCommand({ kind: "log", faults: { down: false } });
    }
    await sleep(3000);
    return seconds;
  }

  async measurePartition(): Promise<
    Pick<RecoveryReport, "healedToAgreed" | "cutZone">
  > {
    const zone = this.#zones[1];
    const { vms } = this.#cluster.deployment;
    const inside = vms.filter((vm) => vm.availabilityZone === zone);
    const [outside] = vms;
    this.#network.setZoneLinks(zone, "cut");
    const load = this.#runLoad(inside, PARTITION_MS);
    const change = { kind: "putProfile", profile: { name: "during-the-cut" } };
    const response = await this.#cluster.publish(change, -1, outside);
    const offset = response.body.offset ?? Infinity;
    const records = await load;
    this.#network.setZoneLinks(zone, "open");
    const startMs = performance.now();
    await this.#waitUntil(async () => {
      const offsets = await this.#readFromAllVms((status) =>
        status.config.offset
      );
      return offsets.every((applied) => applied >= offset);
    });
    return {
      healedToAgreed: computeSecondsSince(startMs),
      cutZone: summarizePartition(records),
    };
  }

  async #runLoad(
    vms: readonly DeployedVm[],
    ms: number,
  ): Promise<LoadRecord[]> {
    const client = new TestClient();
    const random = new Random(5);
    const deployment = { ...this.#cluster.deployment, vms };
    const sent: Promise<LoadRecord[]>[] = [];
    const untilMs = performance.now() + ms;
    while (performance.now() < untilMs) {
      sent.push(sendRandomRequest(client, deployment, random));
      await sleep(30);
    }
    const records = (await Promise.all(sent)).flat();
    await client.close();
    return records;
  }

  async #publishVersion(version: string, vm: DeployedVm): Promise<void> {
    const { fleet } = this.#cluster.deployment;
    const services = fleet.services.map((service) =>
      service.kind === "model" ? { ...service, version } : service
    );
    if (this.#fleetRevision < 0) this.#fleetRevision = 0;
    const change = { kind: "publishFleet", fleet: { ...fleet, services } };
    const response = await this.#cluster.publish(
      change,
      this.#fleetRevision,
      vm,
    );
    if (response.body.offset === undefined) {
      throw new Error(JSON.stringify(response.body));
    }
    this.#fleetRevision = response.body.offset;
  }

  /** Returns the number of orders that engines of the first zone have obeyed. */
  async #countOrders(): Promise<number> {
    const { engines } = await this.#cluster.readLedger();
    return Object.entries(engines)
      .filter(([id]) => id.startsWith(this.#zones[0]))
      .reduce((sum, [, engine]) => sum + engine.ordersObeyed, 0);
  }

  async #findHolder(): Promise<DeployedVm> {
    let found: DeployedVm | undefined;
    await this.#waitUntil(async () => {
      for (const vm of this.#cluster.deployment.vms) {
        if (vm.availabilityZone !== this.#zones[0]) continue;
        if ((await this.#cluster.readStatus(vm)).lease.heldHere) found = vm;
      }
      return found !== undefined;
    });
    return found as DeployedVm;
  }

  async #readFromAllVms(
    read: (status: Awaited<ReturnType<Cluster["readStatus"]>>) => number,
  ): Promise<number[]> {
    const { vms } = this.#cluster.deployment;
    return await Promise.all(
      vms.map(async (vm) => read(await this.#cluster.readStatus(vm))),
    );
  }

  async #waitUntil(check: () => Promise<boolean>): Promise<void> {
    const untilMs = performance.now() + TIMEOUT_MS;
    while (!(await check().catch(() => false))) {
      if (performance.now() > untilMs) {
        throw new Error("the system did not recover in time");
      }
      await sleep(POLL_INTERVAL_MS);
    }
  }
}

function summarizePartition(
  records: readonly LoadRecord[],
): RecoveryReport["cutZone"] {
  const computeShare = (
    what: string,
    matches: (record: LoadRecord) => boolean,
  ) => {
    const all = records.filter((record) => record.what === what);
    return all.length === 0
      ? 0
      : Math.round(1000 * all.filter(matches).length / all.length) / 1000;
  };
  const isComplete = ({ result }: LoadRecord) => result.outcome === "whole";
  return {
    requests: records.length,
    readingsAnsweredShare: computeShare("reading", isComplete),
    lookupsAnsweredShare: computeShare("lookup", isComplete),
    bookingsAnsweredShare: computeShare("booking", isComplete),
    bookingsRefusedShare: computeShare(
      "booking",
      ({ result }) => result.run === "no",
    ),
  };
}

function computeSecondsSince(startMs: number): number {
  return Math.round(performance.now() - startMs) / 1000;
}
