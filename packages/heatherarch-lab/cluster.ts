/**
 * Runs a deployment as separate processes on loopback, and ends them by their ids.
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
  /** Settings of one VM, over the ones above. */
  readonly vmSettings?: (
    vm: DeployedVm,
  ) => Record<string, Record<string, unknown>>;
  readonly profiles?: readonly Record<string, unknown>[];
}

/** A process of ours. */
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

  /** Folder with settings and logs; removed by `stop`. */
  get directory(): string {
    return this.#directory;
  }

  /** Starts everything, publishes the fleet, and waits until every VM is ready. */
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

  /** Puts all entry VMs on the platform's list. */
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

  /** Process id of a VM. */
  getPid(id: string): number | undefined {
    return this.#vms.get(id)?.child.pid;
  }

  /** Resolves with the exit code of a VM's process. */
  async waitExit(id: string): Promise<number | null> {
    return await (this.#vms.get(id)?.exited ?? Promise.resolve(null));
  }

  /** Carries out a command of the stand-ins' control interface. */
  async sendCommand(command: StandinCommand): Promise<void> {
    const answer = await request(`http://${this.deployment.control}/`, {
      method: "POST",
      body: JSON.stringify(command),
    });
    await answer.body.dump();
  }

  async readLedger(): Promise<StandinLedger> {
    const answer = await request(`http://${this.deployment.control}/`);
    return await answer.body.json() as StandinLedger;
  }

  /** Publishes a change through the first VM that takes it. */
  async publish(
    change: unknown,
    baseRevision: number,
    vm?: DeployedVm,
  ): Promise<PublishResult> {
    const at = vm ?? this.deployment.vms[0];
    const answer = await request(`http://${at.operators}/v1/changes`, {
      method: "POST",
      body: JSON.stringify({ change, baseRevision }),
      headers: { "x-operator": "lab" },
    });
    return {
      status: answer.statusCode,
      body: await answer.body.json() as PublishResult["body"],
    };
  }

  async readStatus(vm: DeployedVm): Promise<VmStatus> {
    const signal = AbortSignal.timeout(2000);
    const answer = await request(`http://${vm.operators}/v1/status`, {
      signal,
    });
    return await answer.body.json() as VmStatus;
  }

  /** Waits until each of `vms` says that it is ready. */
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

  /** Waits until every VM may use every target, the first VM's view of directives aside. */
  async waitTargetsUsable(): Promise<void> {
    for (const vm of this.deployment.vms) {
      await this.#waitFor(async () => {
        const { targets } = await this.readStatus(vm);
        return targets.length > 0 && targets.every((target) => target.usable);
      }, `targets at ${vm.id}`);
    }
  }

  /** Ends every process that this object started. */
  async stop(): Promise<void> {
    const all = [
      ...this.#vms.values(),
      ...(this.#standins ? [this.#standins] : []),
    ];
    for (const { child } of all) child.kill("SIGKILL");
    await Promise.all(all.map(({ exited }) => exited));
    rmSync(this.#directory, { recursive: true, force: true });
  }

  async publishConfig(): Promise<void> {
    const fleet = await this.publish({
      kind: "publishFleet",
      fleet: this.deployment.fleet,
    }, -1);
    if (fleet.status !== 200) {
      throw new Error(`publish: ${JSON.stringify(fleet.body)}`);
    }
    for (const profile of this.#options.profiles ?? []) {
      const answer = await this.publish({ kind: "putProfile", profile }, -1);
      if (answer.status !== 200) {
        throw new Error(`publish: ${JSON.stringify(answer.body)}`);
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
    const layers = [
      this.#options.settings ?? {},
      this.#options.vmSettings?.(vm) ?? {},
    ];
    for (const layer of layers) {
      for (const [section, values] of Object.entries(layer)) {
        base[section] = Array.isArray(values)
          ? values as never
          : { ...base[section], ...values };
      }
    }
    return base;
  }

  #spawn(name: string, args: readonly string[]): RunningProcess {
    const log = openSync(join(this.#directory, `${name}.log`), "a");
    const child = spawn(process.execPath, ["--enable-source-maps", ...args], {
      stdio: ["ignore", log, log],
    });
    const exited = new Promise<number | null>((resolve) =>
      child.once("exit", resolve)
    );
    return { child, exited };
  }

  async #waitFor(check: () => Promise<boolean>, what: string): Promise<void> {
    const until = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < until) {
      if (await check().catch(() => false)) return;
      await sleep(POLL_INTERVAL_MS);
    }
    throw new Error(
      `${what}: not so within ${READY_TIMEOUT_MS} ms; logs in ${this.#directory}`,
    );
  }
}

/** Answer to a publication. */
export interface PublishResult {
  readonly status: number;
  readonly body: {
    offset?: number;
    verdict?: string;
    error?: { kind: string; message: string };
  };
}

/** The part of a VM's status that the lab reads. */
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
  const answer = await request(`http://${vm.operators}${path}`, {
    signal: AbortSignal.timeout(1000),
  });
  await answer.body.dump();
  return answer.statusCode === 200;
}

function readPort(address: string): number {
  return Number(address.split(":")[1]);
}
