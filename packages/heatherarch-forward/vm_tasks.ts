/**
 * The tasks of one VM that depend on each other, wired up from its settings.
 *
 * @module
 */
import type { LogPort } from "heatherarch-log";
import type { ForwardSettings } from "heatherarch-settings";
import { FleetMesh } from "./fleet/fleet_mesh.ts";
import type { CallCodec, DirectoryPorts } from "./ports.ts";
import type { Serving } from "./serving.ts";
import type { Ingress } from "./tasks/ingress.ts";
import type { QuarantineKeeper } from "./tasks/quarantine_keeper.ts";
import { RoleKeeper } from "./tasks/role_keeper.ts";
import type { StatusServer } from "./tasks/status_server.ts";
import { StoreReading } from "./tasks/store_reading.ts";
import { planConfigReads } from "./scheduling/config_reads.ts";
import { computeMaxListAgeMs } from "./vm_beliefs.ts";

/** What an adapter brings. */
export interface PlatformPorts {
  readonly codec: CallCodec;
  readonly directory: DirectoryPorts;
  readonly log: LogPort;
  /** Path at which the platform's balancer asks for readiness. */
  readonly readinessPath: string;
}

/** All parts of a VM: what calls share, and its tasks. */
export interface VmParts extends Serving {
  readonly mesh: FleetMesh;
  readonly roles: RoleKeeper;
  readonly ingress: Ingress;
  readonly status: StatusServer;
  readonly reading: StoreReading;
  readonly quarantineKeeper: QuarantineKeeper;
}

/** What the tasks are built from. */
export interface VmWiring {
  readonly settings: ForwardSettings;
  readonly ports: PlatformPorts;
  readonly incarnation: string;
  /** The parts, of which some are not built yet. */
  readonly getParts: () => VmParts;
  /** Called when the number of VMs that share the fleet's limits has changed. */
  readonly onLiveVms: (count: number) => void;
  /** Called with engines that a peer has ordered to change. */
  readonly onChanging: (targets: readonly string[]) => void;
}

/** Builds the mesh. */
export function buildMesh(wiring: VmWiring): FleetMesh {
  const { settings, ports, incarnation, getParts } = wiring;
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
    ledger: parts.ledger,
    prompts: parts.prompts,
    quarantine: parts.quarantine,
    configs: parts.configs,
    directory: parts.directory,
    getListAgeMs: () => parts.reading.getListAgeMs(),
    maxListAgeMs: computeMaxListAgeMs(settings.store),
    applyTargets: (entries, isFull) =>
      parts.reading.applyTargets(entries, isFull),
    onListLost: (source) => parts.reading.noteHubLost(source),
    getListReadAtMs: () => parts.reading.listReadAtMs,
    onListRead: (atMs) => parts.directory.recordPeerRead(atMs),
    configReads: planConfigReads(settings.store),
    loadConfig: () => parts.reading.loadConfig(),
    onLiveVms: wiring.onLiveVms,
    onChanging: wiring.onChanging,
    listChanging: () => getParts().roles.listChanging(),
    onLate: (lateMs) => parts.metrics.loopLate.observe(lateMs / 1000),
    mayOrder: () => getParts().reading.isListCurrent && getParts().mesh.hasDuty,
  });
}

/** Builds the task that gives orders to engines. */
export function buildRoleKeeper(wiring: VmWiring): RoleKeeper {
  const { settings, ports, incarnation, getParts } = wiring;
  const parts = getParts();
  return new RoleKeeper({
    vmId: settings.vm.id,
    incarnation,
    log: ports.log,
    leaseMs: settings.lease.durationMs,
    clock: parts.clock,
    configs: parts.configs,
    directory: parts.directory,
    health: parts.health,
    connections: parts.connections,
    codec: parts.codec,
    events: parts.log,
    metrics: parts.metrics,
    listOrderers: () => getParts().mesh.listOrderers(),
    isListCurrent: () => getParts().reading.isListCurrent,
    hasDuty: () => getParts().mesh.hasDuty,
  });
}

/** Builds the task that reads the store. */
export function buildReading(wiring: VmWiring): StoreReading {
  const { settings: { store }, ports: { directory }, getParts } = wiring;
  const parts = getParts();
  return new StoreReading({
    configTopic: directory.configs,
    targetTopic: directory.targets,
    configReads: planConfigReads(store),
    targetPollMs: store.targetPollMs,
    getToldAtMs: () => getParts().mesh.listAtMs,
    hasStoodStillSince: (atMs) => parts.listGuard.hasStoodStillSince(atMs),
    clock: parts.clock,
    log: parts.log,
    metrics: parts.metrics,
    configs: parts.configs,
    directory: parts.directory,
    connections: parts.connections,
    losses: parts.losses,
    prompts: parts.prompts,
    health: parts.health,
    rests: parts.rests,
    readModel: parts.readModel,
    spread: parts.spread,
  });
}
