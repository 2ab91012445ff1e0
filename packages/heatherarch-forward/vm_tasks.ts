/**
 * Builds the interdependent tasks of one VM from its settings.
 *
 * @module
 */
import type { LogPort } from "heatherarch-log";
import type { ForwardSettings } from "heatherarch-settings";
import { FleetMesh } from "./fleet/fleet_mesh.ts";
import type { CallCodec, DirectoryPorts } from "./ports.ts";
import type { CallDependencies } from "./call_dependencies.ts";
import type { Ingress } from "./tasks/ingress.ts";
import type { QuarantineKeeper } from "./tasks/quarantine_keeper.ts";
import { RoleKeeper } from "./tasks/role_keeper.ts";
import type { StatusServer } from "./tasks/status_server.ts";
import { StoreReading } from "./tasks/store_reading.ts";
import { planConfigReads } from "./scheduling/config_reads.ts";
import { computeMaxListAgeMs } from "./vm_dependencies.ts";

/** What a platform adapter provides. */
export interface PlatformPorts {
  readonly codec: CallCodec;
  readonly directory: DirectoryPorts;
  readonly log: LogPort;
  /** Path of the readiness check of the platform's load balancer. */
  readonly readinessPath: string;
}

/** All components of a VM: the dependencies of calls, and the tasks. */
export interface VmComponents extends CallDependencies {
  readonly mesh: FleetMesh;
  readonly roleController: RoleKeeper;
  readonly ingress: Ingress;
  readonly statusServer: StatusServer;
  readonly storeReader: StoreReading;
  readonly quarantinePersistence: QuarantineKeeper;
}

/** Options of the functions that build tasks. */
export interface VmTaskOptions {
  readonly settings: ForwardSettings;
  readonly ports: PlatformPorts;
  readonly incarnation: string;
  /** Returns the components; some may not be built yet. */
  readonly getComponents: () => VmComponents;
  /** Called when the number of VMs that share the fleet's limits changes. */
  readonly onLiveVms: (count: number) => void;
  /** Called with the engines that a peer has ordered to change their role. */
  readonly onChanging: (targets: readonly string[]) => void;
}

/** Builds the mesh of this VM with its peers. */
export function buildMesh(options: VmTaskOptions): FleetMesh {
  const { settings, ports, incarnation, getComponents } = options;
  const components = getComponents();
  return new FleetMesh({
    self: {
      id: settings.vm.id,
      incarnation,
      availabilityZone: settings.vm.availabilityZone,
      mesh: settings.mesh.announce ?? settings.listen.mesh,
      capacity: settings.vm.capacity,
    },
    ...settings.mesh,
    listen: settings.listen.mesh,
    vms: ports.directory.vms,
    clock: components.clock,
    log: components.log,
    ledger: components.workTracker,
    prompts: components.prefixIndex,
    quarantine: components.quarantine,
    configs: components.activeConfig,
    directory: components.directory,
    getListAgeMs: () => components.storeReader.getListAgeMs(),
    maxListAgeMs: computeMaxListAgeMs(settings.store),
    applyTargets: (entries, isFull) =>
      components.storeReader.applyTargets(entries, isFull),
    onListLost: (source) => components.storeReader.noteHubLost(source),
    getListReadAtMs: () => components.storeReader.listReadAtMs,
    onListRead: (atMs) => components.directory.recordPeerRead(atMs),
    configReads: planConfigReads(settings.store),
    loadConfig: () => components.storeReader.loadConfig(),
    onLiveVms: options.onLiveVms,
    onChanging: options.onChanging,
    listChanging: () => getComponents().roleController.listChanging(),
    onLate: (lateMs) => components.metrics.loopLate.observe(lateMs / 1000),
    mayOrder: () =>
      getComponents().storeReader.isListCurrent && getComponents().mesh.hasDuty,
  });
}

/** Builds the task that orders engines to change their role. */
export function buildRoleController(options: VmTaskOptions): RoleKeeper {
  const { settings, ports, incarnation, getComponents } = options;
  const components = getComponents();
  return new RoleKeeper({
    vmId: settings.vm.id,
    incarnation,
    log: ports.log,
    leaseMs: settings.lease.durationMs,
    clock: components.clock,
    configs: components.activeConfig,
    directory: components.directory,
    health: components.health,
    connections: components.connections,
    codec: components.codec,
    events: components.log,
    metrics: components.metrics,
    listOrderers: () => getComponents().mesh.listOrderers(),
    isListCurrent: () => getComponents().storeReader.isListCurrent,
    hasDuty: () => getComponents().mesh.hasDuty,
  });
}

/** Builds the task that reads the platform's store. */
export function buildStoreReader(options: VmTaskOptions): StoreReading {
  const { settings: { store }, ports: { directory }, getComponents } = options;
  const components = getComponents();
  return new StoreReading({
    configTopic: directory.configs,
    targetTopic: directory.targets,
    configReads: planConfigReads(store),
    targetPollMs: store.targetPollMs,
    getToldAtMs: () => getComponents().mesh.listAtMs,
    hasStoodStillSince: (atMs) =>
      components.targetListGuard.hasStalledSince(atMs),
    clock: components.clock,
    log: components.log,
    metrics: components.metrics,
    configs: components.activeConfig,
    directory: components.directory,
    connections: components.connections,
    losses: components.crashDetector,
    prompts: components.prefixIndex,
    health: components.health,
    rests: components.backoffs,
    readModel: components.prefillTimeModel,
    spread: components.engineJitter,
  });
}
