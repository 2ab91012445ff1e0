/**
 * Builds the interdependent tasks of one VM from its settings.
 *
 * @module
 */
import { type HandoverClient, HandoverServer } from "heatherarch-handover";
import type { LinkIdentity } from "heatherarch-mesh";
import type { LogPort } from "heatherarch-log";
import type { Shutdown } from "heatherarch-shutdown";
import type { UsageMeter } from "heatherarch-usage";
import type { ForwardSettings } from "heatherarch-settings";
import { buildFleetSums } from "./fleet/fleet_sum.ts";
import { FleetMesh } from "./fleet/fleet_mesh.ts";
import type {
  CallCodec,
  DirectoryPorts,
  PlatformApiPort,
  StoreEpochPort,
} from "./ports.ts";
import type { CallDependencies } from "./call_dependencies.ts";
import type { VmRecord } from "./model.ts";
import type { TaskLog } from "./task_log.ts";
import type { CallServer } from "./calls/call_server.ts";
import {
  decodeHandoverCall,
  findAttemptCounts,
} from "./calls/handover_codec.ts";
import { UNKNOWN_ATTEMPTS } from "./calls/attempt_ledger.ts";
import { HandoverResponse } from "./calls/handover_response.ts";
import { FleetDuties } from "./tasks/fleet_duties.ts";
import type { Ingress } from "./tasks/ingress.ts";
import type { QuarantinePersistence } from "./tasks/quarantine_persistence.ts";
import { RoleController } from "./tasks/role_controller.ts";
import type { StatusServer } from "./tasks/status_server.ts";
import { CLOCK_MARGIN_MS } from "./state/version_lives.ts";
import type { StoreEpoch } from "./state/store_epoch.ts";
import { StoreReader } from "./tasks/store_reader.ts";
import { StreamRecordLog } from "./tasks/stream_record_log.ts";
import { VersionPersistence } from "./tasks/version_persistence.ts";
import { isFleetRunning } from "./fleet/running_fleet.ts";
import { planConfigReads } from "./scheduling/config_reads.ts";
import { reportInternalError } from "./report_error.ts";
import { computeMaxListAgeMs } from "./vm_dependencies.ts";

/** What a platform adapter provides. */
export interface PlatformPorts {
  readonly codec: CallCodec;
  readonly directory: DirectoryPorts;
  readonly log: LogPort;
  readonly storeEpoch: StoreEpochPort;
  /** The platform's API for duties of the fleet; undefined if there are no duties. */
  readonly platformApi?: PlatformApiPort;
  /** Path of the readiness check of the platform's load balancer. */
  readonly readinessPath: string;
}

/** All components of a VM: the dependencies of calls, and the tasks. */
export interface VmComponents extends CallDependencies {
  readonly storeEpoch: StoreEpoch;
  readonly handoverClient: HandoverClient;
  readonly handoverServer: HandoverServer;
  readonly shutdown: Shutdown;
  readonly taskLog: TaskLog;
  readonly mesh: FleetMesh;
  readonly roleController: RoleController;
  readonly ingress: Ingress;
  readonly statusServer: StatusServer;
  readonly storeReader: StoreReader;
  readonly versionPersistence: VersionPersistence;
  readonly streamRecordLog: StreamRecordLog;
  readonly quarantinePersistence: QuarantinePersistence;
  readonly partQuarantinePersistence: QuarantinePersistence;
  /** Undefined if the fleet has no duties. */
  readonly duties: FleetDuties | undefined;
}

/** One start of this VM's process. */
export interface VmStart {
  readonly incarnation: string;
  /** Unix milliseconds. */
  readonly startedAtMs: number;
}

/** Options of the functions that build tasks. */
export interface VmTaskOptions extends VmStart {
  readonly settings: ForwardSettings;
  readonly ports: PlatformPorts;
  /** Returns the components; some may not be built yet. */
  readonly getComponents: () => VmComponents;
  readonly usageMeter: UsageMeter;
  /** Called with the VMs of the first list that was read. */
  readonly onFirstVmList: (listed: readonly VmRecord[]) => void;
  /** Called when the number of VMs that share the fleet's limits changes. */
  readonly onLiveVms: (count: number) => void;
  /** Called with the engines that a peer has ordered to change their role. */
  readonly onChangingRole: (targets: readonly string[]) => void;
}

/** Builds the identity by which peers know this VM. */
export function buildIdentity(
  { vm, mesh, listen }: ForwardSettings,
  { incarnation, startedAtMs }: VmStart,
): VmRecord & LinkIdentity {
  return {
    id: vm.id,
    incarnation,
    availabilityZone: vm.availabilityZone,
    mesh: mesh.announce ?? listen.mesh,
    capacity: vm.capacity,
    startedAtMs,
  };
}

/** Builds the mesh of this VM with its peers. */
export function buildMesh(options: VmTaskOptions): FleetMesh {
  const { settings, ports, getComponents } = options;
  const components = getComponents();
  return new FleetMesh({
    self: buildIdentity(settings, options),
    ...settings.mesh,
    listen: settings.listen.mesh,
    vms: ports.directory.vms,
    clock: components.clock,
    log: components.taskLog,
    workTracker: components.workTracker,
    fleetDemand: components.fleetDemand,
    sums: buildFleetSums({
      shares: components.accountShares,
      returns: components.returnTimes.book,
      targetFailures: components.targetFailures,
      hasAllPaths: () => components.pathMonitor.hasAllPaths,
    }),
    storeEpoch: components.storeEpoch,
    rateLimits: components.rateLimits,
    // VMs share rate limits by their calls, and the slots of targets between calls of accounts.
    needsCallRates: () =>
      components.rateLimits.hasLimits || components.accountShares.isInUse,
    targetLoads: components.targetLoads,
    prefixIndex: components.prefixIndex,
    quarantine: components.quarantine,
    partQuarantine: components.partQuarantine,
    streamVersions: components.streamVersions,
    activeConfig: components.activeConfig,
    directory: components.directory,
    getListAgeMs: () => components.storeReader.getListAgeMs(),
    maxListAgeMs: computeMaxListAgeMs(settings.store),
    applyTargets: (entries, isFull) =>
      components.storeReader.applyTargets(entries, isFull),
    onListStale: (source) => components.storeReader.logStaleHub(source),
    getListReadAtMs: () => components.storeReader.listReadAtMs,
    onPeerListRead: (atMs) => components.directory.recordPeerRead(atMs),
    configReadTiming: planConfigReads({
      ...settings.store,
      revokeBoundMs: settings.accounts.revokeBoundMs,
    }),
    loadConfig: () => components.storeReader.loadConfig(),
    usageMeter: options.usageMeter,
    onFirstVmList: options.onFirstVmList,
    onLiveVms: options.onLiveVms,
    onChangingRole: options.onChangingRole,
    listChangingRole: () => getComponents().roleController.listChangingRole(),
    acceptHandover: (link) => components.handoverServer.accept(link),
    onLoopStall: (lateMs) => components.metrics.loopLate.observe(lateMs / 1000),
    onUnreadable: () => components.metrics.entriesUnreadable.inc(),
    mayOrder: () =>
      getComponents().storeReader.isListCurrent &&
      getComponents().mesh.isCoordinator,
  });
}

/** Builds the task that serves the calls that peers hand over. */
export function buildHandoverServer(
  { getComponents }: VmTaskOptions,
  callServer: CallServer,
): HandoverServer {
  const { activeConfig, pathMonitor, clock, log, metrics, shutdown } =
    getComponents();
  return new HandoverServer({
    isStopping: () => shutdown.isStopping,
    onError: (error) => reportInternalError({ log, metrics }, "offer", error),
    getMaxBodyBytes: () => activeConfig.table?.config.limits.maxBodyBytes ?? 0,
    decideOffer: async ({ service, configVersion, isHedge }) => {
      if (activeConfig.version < configVersion) return "olderConfig";
      const mayServe = isHedge
        ? await pathMonitor.confirmContact(service)
        : await pathMonitor.confirmPath(service);
      return mayServe ? undefined : "noPath";
    },
    serve: async (head, body, responder) => {
      const call = decodeHandoverCall(head, body, clock.readMonotonicMs());
      if (call === undefined) return responder.destroy();
      metrics.handoversServed.inc();
      log.write("info", "callTakenOver", {
        call: call.id,
        peer: responder.peer,
      });
      const attempts = findAttemptCounts(head) ?? UNKNOWN_ATTEMPTS;
      await callServer.serve(call, new HandoverResponse(responder, attempts));
    },
  });
}

/** Builds the task that orders engines to change their role. */
export function buildRoleController(options: VmTaskOptions): RoleController {
  const { settings, ports, incarnation, getComponents } = options;
  const components = getComponents();
  return new RoleController({
    vmId: settings.vm.id,
    incarnation,
    log: ports.log,
    leaseMs: settings.lease.durationMs,
    clock: components.clock,
    activeConfig: components.activeConfig,
    directory: components.directory,
    health: components.health,
    rateLimits: components.rateLimits,
    connections: components.connections,
    codec: components.codec,
    events: components.taskLog,
    metrics: components.metrics,
    hasRuns: (engine) => {
      const nowMs = components.clock.readMonotonicMs();
      return components.workTracker.getRunLoad(engine, nowMs).runs > 0;
    },
    listOrderCandidates: () => getComponents().mesh.listOrderCandidates(),
    isListCurrent: () => getComponents().storeReader.isListCurrent,
    hasPath: (service) => getComponents().pathMonitor.hasPath(service),
    isCoordinator: () => getComponents().mesh.isCoordinator,
  });
}

/** Builds the task that performs the duties of the fleet, if the platform has any. */
export function buildFleetDuties(
  options: VmTaskOptions,
): FleetDuties | undefined {
  const { settings, ports, incarnation, getComponents } = options;
  if (ports.platformApi === undefined) return undefined;
  const { clock, taskLog, metrics, activeConfig, directory } = getComponents();
  return new FleetDuties({
    vmId: settings.vm.id,
    incarnation,
    log: ports.log,
    platformApi: ports.platformApi,
    leaseMs: settings.lease.durationMs,
    isFencingEnforced: settings.lease.isFencingEnforced,
    usage: settings.usage,
    capacityStrategy: settings.capacity.strategy,
    clock,
    events: taskLog,
    metrics,
    activeConfig,
    directory,
    listCandidates: () => getComponents().mesh.listOrderCandidates(),
    isCandidate: () => {
      const { mesh, storeReader } = getComponents();
      return mesh.hasVmList && mesh.isCoordinator && storeReader.isListCurrent;
    },
    isListCurrent: () => getComponents().storeReader.isListCurrent,
    collectUsage: (window, endMs) =>
      getComponents().mesh.collectUsage(window, endMs),
  });
}

/** Builds the task that records the software versions of targets. */
export function buildVersionPersistence(
  options: VmTaskOptions,
): VersionPersistence {
  const { settings, ports: { directory }, startedAtMs } = options;
  const { getComponents } = options;
  const { versionHistory, versionLives, activeConfig, clock, taskLog } =
    getComponents();
  return new VersionPersistence({
    topic: directory.versions,
    history: versionHistory,
    lives: versionLives,
    activeConfig,
    clock,
    log: taskLog,
    isCoordinator: () => getComponents().mesh.isCoordinator,
    countVms: () => getComponents().countVms(),
    refreshTargetList: () => getComponents().storeReader.refreshList(),
    drawUnit: Math.random,
    isFleetRunning: async () => {
      const { entries } = await directory.vms.load();
      const listed = entries.flatMap(({ value }) => value ?? []);
      const beforeMs = startedAtMs - CLOCK_MARGIN_MS;
      return isFleetRunning(listed, settings.vm.id, beforeMs);
    },
  });
}

/** Builds the task that keeps the records of streams in the platform's store. */
export function buildStreamRecordLog(
  { ports, getComponents }: VmTaskOptions,
): StreamRecordLog {
  const { streamVersions, versionLives, taskLog } = getComponents();
  return new StreamRecordLog({
    store: ports.log,
    streamVersions,
    log: taskLog,
    hasVersions: () => versionLives.isLoaded,
    hasSeveralVersions: () =>
      getComponents().versionPersistence.hasSeveralVersions(),
    isCoordinator: () => getComponents().mesh.isCoordinator,
    countWriters: () => getComponents().mesh.listCoordinators().length,
    getScope: () => getComponents().mesh.hasHubs ? "zone" : "own",
  });
}

/** Builds the task that reads the platform's store. */
export function buildStoreReader(options: VmTaskOptions): StoreReader {
  const { settings, ports: { directory }, getComponents } = options;
  const { store, accounts: { revokeBoundMs } } = settings;
  const components = getComponents();
  return new StoreReader({
    configTopic: directory.configs,
    targetTopic: directory.targets,
    configReadTiming: planConfigReads({ ...store, revokeBoundMs }),
    targetPollMs: store.targetPollMs,
    getFeedValidAtMs: () => getComponents().mesh.feedValidAtMs,
    hasStalledSince: (atMs) => components.targetListGuard.hasStalledSince(atMs),
    clock: components.clock,
    log: components.taskLog,
    metrics: components.metrics,
    activeConfig: components.activeConfig,
    directory: components.directory,
    connections: components.connections,
    crashDetector: components.crashDetector,
    prefixIndex: components.prefixIndex,
    health: components.health,
    backoffs: components.backoffs,
    rateLimits: components.rateLimits,
    targetLoads: components.targetLoads,
    prefillTimeModel: components.prefillTimeModel,
    plainTimeModel: components.plainTimeModel,
    engineJitter: components.engineJitter,
  });
}
