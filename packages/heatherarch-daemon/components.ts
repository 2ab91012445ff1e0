/**
 * Components of the process, and builders of those that depend only on other components.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import type { Clock } from "heatherarch-core";
import {
  type Gateway,
  getTargetId,
  QuarantineWatch,
} from "heatherarch-gateway";
import type { LogPort, VmListPort } from "heatherarch-log";
import { type LinkIdentity, type Membership, MeshNode } from "heatherarch-mesh";
import {
  CrashDetector,
  RequestQuarantine,
  TargetProbe,
} from "heatherarch-quarantine";
import type { DemandMeter, EngineModel, LoadTracker } from "heatherarch-policy";
import type { ProcessSettings } from "heatherarch-settings";
import type { Shutdown } from "heatherarch-shutdown";
import { ClaimService } from "./claim_service.ts";
import { ConfigReader } from "./config_reader.ts";
import { ControlTask } from "./control_task.ts";
import type { HeartbeatBuilder } from "./heartbeat_builder.ts";
import type { Logger } from "./logger.ts";
import type { Metrics } from "./metrics.ts";
import type { OperatorServer } from "./operator_server.ts";
import { OrderExecutor } from "./order_executor.ts";
import { TargetTable } from "./target_table.ts";
import { TargetWatcher } from "./target_watcher.ts";
import { ZoneView } from "./zone_view.ts";

/** Components of the process by their keys in the container. */
export interface Components {
  readonly settings: ProcessSettings;
  readonly logger: Logger;
  readonly clock: Clock;
  readonly identity: LinkIdentity;
  readonly log: LogPort;
  readonly vmList: VmListPort;
  readonly metrics: Metrics;
  readonly membership: Membership;
  readonly tracker: LoadTracker;
  readonly model: EngineModel;
  readonly demand: DemandMeter;
  readonly zones: ZoneView;
  readonly table: TargetTable;
  readonly mesh: MeshNode;
  readonly config: ConfigReader;
  readonly control: ControlTask;
  readonly claims: ClaimService;
  readonly quarantine: RequestQuarantine;
  readonly quarantineWatch: QuarantineWatch;
  readonly executor: OrderExecutor;
  readonly watcher: TargetWatcher;
  readonly heartbeatBuilder: HeartbeatBuilder;
  readonly shutdown: Shutdown;
  readonly gateway: Gateway;
  readonly operatorServer: OperatorServer;
}

/** Reads a certificate and its private key in PEM format. */
export function readCertificate(
  tls: { certificateFile: string; privateKeyFile: string },
) {
  return {
    cert: readFileSync(tls.certificateFile, "utf8"),
    key: readFileSync(tls.privateKeyFile, "utf8"),
  };
}

/** Builds the target table. */
export function buildTargetTable(
  { identity, clock, tracker, settings }: Components,
): TargetTable {
  const { availabilityZone } = identity;
  return new TargetTable({ availabilityZone, clock, tracker, settings });
}

/** Builds the reader of the configuration stream. */
export function buildConfigReader(components: Components): ConfigReader {
  const { identity, log, clock, membership, mesh, logger, settings } =
    components;
  return new ConfigReader({
    vmId: identity.id,
    availabilityZone: identity.availabilityZone,
    log,
    clock,
    membership,
    mesh,
    logger,
    pollWaitMs: settings.platform.pollWaitMs,
    snapshotEveryRecords: settings.platform.snapshotEveryRecords,
  });
}

/** Builds the service that claims idempotency keys. */
export function buildClaimService(components: Components): ClaimService {
  const { identity, log, clock, membership, mesh, settings } = components;
  return new ClaimService({
    vmId: identity.id,
    incarnation: identity.incarnation,
    availabilityZone: identity.availabilityZone,
    log,
    clock,
    membership,
    mesh,
    settings: settings.claims,
    snapshotEveryRecords: settings.platform.snapshotEveryRecords,
  });
}

/** Builds the watcher that reads the state of targets. */
export function buildTargetWatcher(components: Components): TargetWatcher {
  const { identity, clock, membership, table, settings, config } = components;
  return new TargetWatcher({
    vmId: identity.id,
    availabilityZone: identity.availabilityZone,
    clock,
    membership,
    table,
    settings: settings.targets,
    listServices: () => config.state.fleet?.services ?? [],
    readConfigOffset: () => config.state.offset,
  });
}

/** Builds the view of the zone's demand and of the other zones. */
export function buildZoneView(components: Components): ZoneView {
  const { identity, clock, membership, demand } = components;
  const { availabilityZone } = identity;
  return new ZoneView({ availabilityZone, clock, membership, demand });
}

/** Builds the quarantine of requests that crash targets. */
export function buildQuarantine({ settings }: Components): RequestQuarantine {
  const { maxCrashes, holdSeconds } = settings.quarantine;
  return new RequestQuarantine({ maxCrashes, holdMs: holdSeconds * 1000 });
}

/** Other targets that are probed to tell a crash from a lost path of this VM. */
const MAX_PROBED_TARGETS = 3;

/** Builds the quarantine watch, which logs lost attempts, crashes and quarantine changes. */
export function buildQuarantineWatch(components: Components): QuarantineWatch {
  const { quarantine, clock, table, logger } = components;
  const targetProbe = new TargetProbe();
  const crashDetector = new CrashDetector({
    targetProbe,
    isRefusalCredible: async (incarnation) => {
      const id = getTargetId(incarnation);
      const others = table.listTargets().filter((target) => target.id !== id);
      if (others.length === 0) return true;
      const probes = others.slice(0, MAX_PROBED_TARGETS)
        .map(({ address }) => targetProbe.probe(address));
      return (await Promise.all(probes)).includes("accepted");
    },
    quarantine,
    clock,
    isInService: (incarnation) => table.isInService(getTargetId(incarnation)),
    onLoss: (loss, probe) => logger.info("exchange lost", { ...loss, probe }),
    onCrash: (incarnation, evidence, requests) => {
      watch.endIncarnation(incarnation);
      logger.warn("target ended", { target: incarnation, evidence, requests });
    },
  });
  const watch = new QuarantineWatch({
    quarantine,
    crashDetector,
    clock,
  });
  quarantine.registerChangeListener(({ kind, request, isOwn }) =>
    logger.warn(`request ${kind === "held" ? "quarantined" : "cleared"}`, {
      request,
      source: isOwn ? "own" : "peer",
      endedTargets: quarantine.findQuarantined(request, clock.readMonotonicMs())
        ?.incarnations,
    })
  );
  return watch;
}

/** Builds this VM's node of the mesh. */
export function buildMesh(components: Components): MeshNode {
  const { settings, identity, clock, membership, metrics } = components;
  const { mesh, listen, network } = settings;
  const tls = listen.meshTls;
  return new MeshNode({
    self: identity,
    listen: listen.mesh,
    ...mesh,
    clock,
    membership,
    translate: (address) => network.translate[address] ?? address,
    // Resolved on first use, since the heartbeat builder depends on components that need the mesh.
    buildHeartbeat: (link, peer) =>
      components.heartbeatBuilder.build(link, peer),
    onLinkClosed: (reason) => metrics.faults.inc({ kind: `mesh:${reason}` }),
    ...(tls === undefined ? {} : {
      tls: {
        cert: readFileSync(tls.certificateFile, "utf8"),
        key: readFileSync(tls.privateKeyFile, "utf8"),
        ca: readFileSync(tls.authorityFile ?? tls.certificateFile, "utf8"),
      },
    }),
  });
}

/** Builds the task that holds or follows the zone's lease. */
export function buildControlTask(components: Components): ControlTask {
  const { settings, identity, log, clock, membership, logger, table } =
    components;
  return new ControlTask({
    vmId: identity.id,
    incarnation: identity.incarnation,
    availabilityZone: identity.availabilityZone,
    log,
    clock,
    membership,
    settings: settings.lease,
    pollWaitMs: settings.platform.pollWaitMs,
    snapshotEveryRecords: settings.platform.snapshotEveryRecords,
    logger,
    onStateChange: (state) => {
      const { availabilityZone } = identity;
      const before = table.getChanging(availabilityZone).targets;
      const changing = Object.keys(state.open);
      table.applyChanging(availabilityZone, {
        controlOffset: state.offset,
        targets: changing,
      });
      // Peers need no heartbeat for a lease renewal, which changes no targets.
      if (before.join(" ") !== changing.join(" ")) {
        components.mesh.sendHeartbeats();
      }
    },
  });
}

/** Builds the executor that sends orders to engines under the lease. */
export function buildOrderExecutor(components: Components): OrderExecutor {
  const {
    settings,
    identity,
    clock,
    control,
    table,
    membership,
    model,
    logger,
  } = components;
  return new OrderExecutor({
    availabilityZone: identity.availabilityZone,
    clock,
    control,
    table,
    membership,
    model,
    settings: settings.lease,
    logger,
    readFleet: () => components.config.state.fleet,
    readDemand: () => components.zones.readDemand(),
    onOutcome: (result) => components.metrics.roleChanges.inc({ result }),
  });
}
