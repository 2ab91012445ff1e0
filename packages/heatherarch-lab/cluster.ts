/**
 * Runs a deployment as separate processes on the loopback interface, and kills them by process id.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, openSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { stringify } from "smol-toml";
import { request } from "undici";
import { sleep } from "heatherarch-core";
import type {
  StandinCommand,
  StandinLedger,
  StandinSetOptions,
} from "heatherarch-standins";
import type { DeployedVm, Deployment } from "./deployment.ts";

const STANDINS_BINARY = fileURLToPath(
  import.meta.resolve("heatherarch-standins"),
)
  .replace(
    /mod\.js$/,
    "bin/standins.js",
  );
const DAEMON_BINARY = fileURLToPath(import.meta.resolve("heatherarch-daemon"))
  .replace(
    /mod\.js$/,
    "bin/heatherarchd.js",
  );

/** Options of {@linkcode Cluster}. */
export interface ClusterOptions {
  readonly deployment: Deployment;
  readonly standins?: Omit<StandinSetOptions, "fleet">;
  /** Sections merged into each VM's settings. */
  readonly settings?: Record<string, Record<string, unknown>>;
  /** Settings of one VM, which override `settings`. */
  readonly vmSettings?: (
    vm: DeployedVm,
  ) => Record<string, Record<string, unknown>>;
  readonly profiles?: readonly Record<string, unknown>[];
}

/** A process that the cluster started. */
interface RunningProcess {
  readonly child: ChildProcess;
  readonly exited: Promise<number | null>;
}

const READY_TIMEOUT_MS = 30_000;
const POLL_INTERVAL_MS = 50;

/** A running deployment. */
export class Cluster {
  readonly deployment: Deployment;
  readonly #options: ClusterOptions;
  readonly #directory = mkdtempSync(join(tmpdir(), "heatherarch-"));
  readonly #vms = new Map<string, RunningProcess>();
  #standins: RunningProcess | undefined;

  constructor(options: ClusterOptions) {
    this.#options = options;
    this.deployment = options.deployment;
  }

  /** Folder with settings and logs. {@linkcode stop} removes it. */
  get directory(): string {
    return this.#directory;
  }

  /** Starts all processes, publishes the fleet, and waits until every VM is ready. */
  async start(): Promise<void> {
    await this.startStandins();
    await this.publishVmList();
    for (const vm of this.deployment.vms) this.startVm(vm);
    await this.waitHealthy();
    await this.publishConfig();
    await this.waitReady();
    await this.waitTargetsUsable();
  }

  async startStandins(): Promise<void> {
    const file = join(this.#directory, "standins.json");
    const { fleet, platform, control } = this.deployment;
    const ports = { platform: readPort(platform), control: readPort(control) };
    writeFileSync(
      file,
      JSON.stringify({ ...this.#options.standins, fleet, ports }),
    );
    this.#standins = this.#spawn("standins", [STANDINS_BINARY, file]);
    await this.#waitFor(() => this.readLedger().then(() => true), "stand-ins");
  }

  /** Publishes the list of all entry VMs on the platform. */
  async publishVmList(
    states: Record<string, "live" | "leaving"> = {},
  ): Promise<void> {
    const vms = this.deployment.vms.map((vm) => ({
      id: vm.id,
      kind: "entry" as const,
      availabilityZone: vm.availabilityZone,
      state: states[vm.id] ?? "live" as const,
      address: vm.mesh,
    }));
    await this.sendCommand({ kind: "vms", vms });
  }

  /** Starts or restarts one entry VM. */
  startVm(vm: DeployedVm): void {
    const file = join(this.#directory, `${vm.id}.toml`);
    writeFileSync(file, stringify(this.#buildSettings(vm)));
    this.#vms.set(
      vm.id,
      this.#spawn(vm.id, [DAEMON_BINARY, "--settings", file]),
    );
  }

  /** Sends a signal to one entry VM. */
  signalVm(id: string, signal: NodeJS.Signals): void {
    this.#vms.get(id)?.child.kill(signal);
  }

  /** Returns the process id of a VM. */
  getPid(id: string): number | undefined {
    return this.#vms.get(id)?.child.pid;
  }

  /** Resolves with the exit code of a VM's process. */
  async waitExit(id: string): Promise<number | null> {
    return await (this.#vms.get(id)?.exited ?? Promise.resolve(null));
  }

  /** Sends a command to the control interface of the stand-ins. */
  async sendCommand(command: StandinCommand): Promise<void> {
    const response = await request(`http://${this.deployment.control}/`, {
      method: "POST",
      body: JSON.stringify(command),
    });
    await response.body.dump();
  }

  async readLedger(): Promise<StandinLedger> {
    const response = await request(`http://${this.deployment.control}/`);
    return await response.body.json() as StandinLedger;
  }

  /** Publishes a change through `vm`, or through the first VM if none is given. */
  async publish(
    change: unknown,
    baseRevision: number,
    vm?: DeployedVm,
  ): Promise<PublishResult> {
    const receiver = vm ?? this.deployment.vms[0];
    const response = await request(`http://${receiver.operators}/v1/changes`, {
      method: "POST",
      body: JSON.stringify({ change, baseRevision }),
      headers: { "x-operator": "lab" },
    });
    return {
      status: response.statusCode,
      body: await response.body.json() as PublishResult["body"],
    };
  }

  async readStatus(vm: DeployedVm): Promise<VmStatus> {
    const signal = AbortSignal.timeout(2000);
    const response = await request(`http://${vm.operators}/v1/status`, {
      signal,
    });
    return await response.body.json() as VmStatus;
  }

  /** Waits until each of `vms` reports that it is ready. */
  async waitReady(
    vms: readonly DeployedVm[] = this.deployment.vms,
  ): Promise<void> {
    for (const vm of vms) {
      await this.#waitFor(() => isOk(vm, "/readyz"), `${vm.id} ready`);
    }
  }

  async waitHealthy(
    vms: readonly DeployedVm[] = this.deployment.vms,
  ): Promise<void> {
    for (const vm of vms) {
      await this.#waitFor(() => isOk(vm, "/healthz"), `${vm.id} healthy`);
    }
  }

  /** Waits until every VM reports every target as usable. */
  async waitTargetsUsable(): Promise<void> {
    for (const vm of this.deployment.vms) {
      await this.#waitFor(async () => {
        const { targets } = await this.readStatus(vm);
        return targets.length > 0 && targets.every((target) => target.usable);
      }, `targets at ${vm.id}`);
    }
  }

  /** Kills every process that the cluster started, and waits for their exit. */
  async stop(): Promise<void> {
    const processes = [
      ...this.#vms.values(),
      ...(this.#standins ? [this.#standins] : []),
    ];
    for (const { child } of processes) child.kill("SIGKILL");
    await Promise.all(processes.map(({ exited }) => exited));
    rmSync(this.#directory, { recursive: true, force: true });
  }

  async publishConfig(): Promise<void> {
    const fleetResult = await this.publish({
      kind: "publishFleet",
      fleet: this.deployment.fleet,
    }, -1);
    if (fleetResult.status !== 200) {
      throw new Error(`publish: ${JSON.stringify(fleetResult.body)}`);
    }
    for (const profile of this.#options.profiles ?? []) {
      const response = await this.publish({ kind: "putProfile", profile }, -1);
      if (response.status !== 200) {
        throw new Error(`publish: ${JSON.stringify(response.body)}`);
      }
    }
  }

  #buildSettings(vm: DeployedVm): Record<string, unknown> {
    const { platform } = this.deployment;
    const base: Record<string, Record<string, unknown>> = {
      vm: { id: vm.id, availabilityZone: vm.availabilityZone },
      listen: { callers: vm.callers, operators: vm.operators, mesh: vm.mesh },
      platform: {
        log: `http://${platform}`,
        vmList: `http://${platform}/vms`,
        vmListIntervalMs: 500,
      },
      mesh: { sharedKey: "lab" },
    };
    const overrides = [
      this.#options.settings ?? {},
      this.#options.vmSettings?.(vm) ?? {},
    ];
    for (const override of overrides) {
      for (const [section, values] of Object.entries(override)) {
        base[section] = Array.isArray(values)
          ? values as never
          : { ...base[section], ...values };
      }
    }
    return base;
  }

  #spawn(name: string, args: readonly string[]): RunningProcess {
    const logFile = openSync(join(this.#directory, `${name}.log`), "a");
    const child = spawn(process.execPath, ["--enable-source-maps", ...args], {
      stdio: ["ignore", logFile, logFile],
    });
    const exited = new Promise<number | null>((resolve) =>
      child.once("exit", resolve)
    );
    return { child, exited };
  }

  async #waitFor(check: () => Promise<boolean>, goal: string): Promise<void> {
    const deadlineMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < deadlineMs) {
      if (await check().catch(() => false)) return;
      await sleep(POLL_INTERVAL_MS);
    }
    throw new Error(
      `${goal}: timed out after ${READY_TIMEOUT_MS} ms; logs in ${this.#directory}`,
    );
  }
}

/** Response to a published change. */
export interface PublishResult {
  readonly status: number;
  readonly body: {
    offset?: number;
    verdict?: string;
    error?: { kind: string; message: string };
  };
}

/** The fields of a VM's status that the lab reads. */
export interface VmStatus {
  readonly config: {
    offset: number;
    staleMs: number | null;
    platformUp: boolean;
  };
  readonly lease: {
    holder: string | null;
    fencing: number | null;
    heldHere: boolean;
    controlOffset: number;
    roleChanges: number;
    recent: { result: string; offset: number; target: string }[];
    open: { target: string }[];
  };
  readonly members: { id: string; status: string; configOffset: number }[];
  readonly targets: {
    id: string;
    usable: boolean;
    role: string;
    directive: string;
    reason: string;
    outstandingHere: number;
  }[];
  readonly mesh: {
    bytesSent: number;
    bytesReceived: number;
    links: number;
    resets: number;
  };
  readonly claims: { appends: number; entries: number; keys: number }[];
}

async function isOk(vm: DeployedVm, path: string): Promise<boolean> {
  const response = await request(`http://${vm.operators}${path}`, {
    signal: AbortSignal.timeout(1000),
  });
  await response.body.dump();
  return response.statusCode === 200;
}

function readPort(address: string): number {
  return Number(address.split(":")[1]);
}
