/**
 * The tasks of one VM that depend on each other, wired up from its settings.
 *
 * @module
 */
import type { LogPort } from "heatherarch-log";
import type { ForwardSettings } from "heatherarch-settings";
import { FleetMesh } from "./fleet/fleet_mesh.ts";
import type { CallCodec, DirectoryPorts } from "./ports.ts";
import type { CallDependencies } from "./call_dependencies.ts";
import type { Ingress } from "./tasks/ingress.ts";
import type { QuarantinePersistence } from "./tasks/quarantine_persistence.ts";
import { RoleController } from "./tasks/role_controller.ts";
import type { StatusServer } from "./tasks/status_server.ts";
import { StoreReader } from "./tasks/store_reader.ts";
import { planConfigReads } from "./scheduling/config_reads.ts";
import { computeMaxListAgeMs } from "./vm_dependencies.ts";

/** What an adapter brings. */
export interface PlatformPorts {
  readonly codec: CallCodec;
  readonly directory: DirectoryPorts;
  readonly log: LogPort;
  /** Path at which the platform's balancer asks for readiness. */
  readonly readinessPath: string;
}

/** All parts of a VM: what calls share, and its tasks. */
export interface VmComponents extends CallDependencies {
  readonly mesh: FleetMesh;
  readonly roleController: RoleController;
  readonly ingress: Ingress;
  readonly statusServer: StatusServer;
  readonly storeReader: StoreReader;
  readonly quarantinePersistence: QuarantinePersistence;
}

/** What the tasks are built from. */
export interface VmTaskOptions {
  readonly settings: ForwardSettings;
  readonly ports: PlatformPorts;
  readonly incarnation: string;
  /** The parts, of which some are not built yet. */
  readonly getComponents: () => VmComponents;
  /** Called when the number of VMs that share the fleet's limits has changed. */
  readonly onLiveVms: (count: number) => void;
  /** Called with engines that a peer has ordered to change. */
  readonly onChanging: (targets: readonly string[]) => void;
}

/** Builds the mesh. */
export function buildMesh(wiring: VmTaskOptions): FleetMesh {
  const { settings, ports, incarnation, getComponents: getParts } = wiring;
  const parts = getParts();
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
    clock: parts.clock,
    log: parts.log,
    workTracker: parts.workTracker,
    prefixIndex: parts.prefixIndex,
    quarantine: parts.quarantine,
    activeConfig: parts.activeConfig,
    directory: parts.directory,
    getListAgeMs: () => parts.storeReader.getListAgeMs(),
    maxListAgeMs: computeMaxListAgeMs(settings.store),
    applyTargets: (entries, isFull) =>
      parts.storeReader.applyTargets(entries, isFull),
    onListStale: (source) => parts.storeReader.logStaleHub(source),
    getListReadAtMs: () => parts.storeReader.listReadAtMs,
    onPeerListRead: (atMs) => parts.directory.recordPeerRead(atMs),
    configReadTiming: planConfigReads(settings.store),
    loadConfig: () => parts.storeReader.loadConfig(),
    onLiveVms: wiring.onLiveVms,
    onChangingRole: wiring.onChanging,
    listChangingRole: () => getParts().roleController.listChangingRole(),
    onLoopStall: (lateMs) => parts.metrics.loopLate.observe(lateMs / 1000),
    mayOrder: () =>
      getParts().storeReader.isListCurrent && getParts().mesh.isCoordinator,
  });
}

/** Builds the task that gives orders to engines. */
export function buildRoleController(wiring: VmTaskOptions): RoleController {
  const { settings, ports, incarnation, getComponents: getParts } = wiring;
  const parts = getParts();
  return new RoleController({
    vmId: settings.vm.id,
    incarnation,
    log: ports.log,
    leaseMs: settings.lease.durationMs,
    clock: parts.clock,
    activeConfig: parts.activeConfig,
    directory: parts.directory,
    health: parts.health,
    connections: parts.connections,
    codec: parts.codec,
    events: parts.log,
    metrics: parts.metrics,
    listOrderCandidates: () => getParts().mesh.listOrderCandidates(),
    isListCurrent: () => getParts().storeReader.isListCurrent,
    isCoordinator: () => getParts().mesh.isCoordinator,
  });
}

/** Builds the task that reads the store. */
export function buildStoreReader(wiring: VmTaskOptions): StoreReader {
  const { settings: { store }, ports: { directory }, getComponents: getParts } =
    wiring;
  const parts = getParts();
  return new StoreReader({
    configTopic: directory.configs,
    targetTopic: directory.targets,
    configReadTiming: planConfigReads(store),
    targetPollMs: store.targetPollMs,
    getFeedValidAtMs: () => getParts().mesh.feedValidAtMs,
    hasStalledSince: (atMs) => parts.targetListGuard.hasStalledSince(atMs),
    clock: parts.clock,
    log: parts.log,
    metrics: parts.metrics,
    activeConfig: parts.activeConfig,
    directory: parts.directory,
    connections: parts.connections,
    crashDetector: parts.crashDetector,
    prefixIndex: parts.prefixIndex,
    health: parts.health,
    backoffs: parts.backoffs,
    prefillTimeModel: parts.prefillTimeModel,
    engineJitter: parts.engineJitter,
  });
}
