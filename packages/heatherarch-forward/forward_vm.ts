/**
 * One entry VM that forwards calls. Builds all components from its settings, starts them, and shuts
 * them down gracefully.
 *
 * @module
 */
import {
  asValue,
  type AwilixContainer,
  createContainer,
  InjectionMode,
} from "awilix";
import {
  type Clock,
  createId,
  registerViolationListener,
  retryListen,
  RuntimeClock,
  sleep,
} from "heatherarch-core";
import { splitAddress } from "heatherarch-mesh";
import type { ForwardSettings } from "heatherarch-settings";
import { UsageMeter } from "heatherarch-usage";
import { CacheSurvey } from "./tasks/cache_survey.ts";
import { CallServer } from "./calls/call_server.ts";
import { type EventLog, formatAge, StdoutEventLog } from "./event_log.ts";
import { Ingress } from "./tasks/ingress.ts";
import type { Target, VmRecord } from "./model.ts";
import { isFleetRunning } from "./fleet/running_fleet.ts";
import { QuarantinePersistence } from "./tasks/quarantine_persistence.ts";
import { buildCallDependencies, SWEEP_INTERVAL_MS } from "./vm_dependencies.ts";
import {
  buildFleetDuties,
  buildHandoverServer,
  buildIdentity,
  buildMesh,
  buildRoleController,
  buildStoreReader,
  buildStreamRecordLog,
  buildVersionPersistence,
  type PlatformPorts,
  type VmComponents,
  type VmStart,
  type VmTaskOptions,
} from "./vm_tasks.ts";
import { reportInternalError, reportUncaught } from "./report_error.ts";
import { StoreEpoch } from "./state/store_epoch.ts";
import { computeStreamLifeMs } from "./state/stream_versions.ts";
import { listLoadStatus } from "./tasks/load_status.ts";
import { countWaitingCalls, listQueueStatus } from "./tasks/queue_status.ts";
import { listShareStatus } from "./tasks/share_status.ts";
import { TaskLog } from "./task_log.ts";
import { type FleetStatus, StatusServer } from "./tasks/status_server.ts";

/** Options of {@linkcode ForwardVm}. */
export interface ForwardVmOptions {
  readonly settings: ForwardSettings;
  readonly ports: PlatformPorts;
  readonly clock?: Clock;
  readonly log?: EventLog;
}

const METRICS_PATH = "/metrics";
/** Interval at which a stopping VM checks for calls in progress, milliseconds. */
const DRAIN_POLL_MS = 50;
/** Time for the last records of streams, milliseconds. */
const MAX_FLUSH_MS = 200;
/** Time for the last responses to be handed to the operating system, milliseconds. */
const MAX_WRITE_MS = 100;
const MIN_WRITE_MS = 20;
const WRITE_POLL_MS = 5;
/** Time for which an engine whose role is changing gets no work; renewed with each heartbeat. */
const ROLE_CHANGE_HOLD_MS = 1500;

const MS_PER_SECOND = 1000;
const BYTES_PER_MB = 1024 * 1024;
/** Share of the bound on revocations after which a VM confirms the configuration by itself. */
const MAX_CONFIRMATION_AGE_SHARE = 0.6;

/** The process of one entry VM. */
export class ForwardVm {
  readonly #settings: ForwardSettings;
  readonly #ports: PlatformPorts;
  readonly #clock: Clock;
  readonly #log: EventLog;
  readonly #usageMeter = new UsageMeter();
  readonly #vmStart: VmStart;
  readonly #container: AwilixContainer<VmComponents>;
  /**
   * All components, once they are registered. The container resolves a component again on each
   * access, and calls and heartbeats access components hundreds of times a second.
   */
  #resolvedComponents: VmComponents | undefined;
  #sweeper: NodeJS.Timeout | undefined;
  #removeViolationListener: (() => void) | undefined;
  #stopped: Promise<void> | undefined;
  /** Ends the tries to listen for the metrics, which go on for as long as their address is in use. */
  readonly #closing = new AbortController();
  #liveVms = 1;

  constructor(options: ForwardVmOptions) {
    const { settings } = options;
    this.#settings = settings;
    this.#ports = options.ports;
    this.#clock = options.clock ?? new RuntimeClock();
    this.#vmStart = {
      incarnation: createId("vm"),
      startedAtMs: this.#clock.readWallMs(),
    };
    this.#log = options.log ??
      new StdoutEventLog({ vm: settings.vm.id, level: settings.logs.level });
    this.#container = createContainer<VmComponents>({
      injectionMode: InjectionMode.PROXY,
    });
    this.#registerCallDependencies();
    this.#registerTasks();
    this.#resolvedComponents = { ...this.#container.cradle };
  }

  /** Whether this VM can serve calls: it has a configuration and targets, and is not stopping. */
  get isReady(): boolean {
    const { activeConfig, directory, shutdown } = this.#components;
    return !shutdown.isStopping && activeConfig.table !== undefined &&
      directory.size > 0;
  }

  /** Starts the listeners and the tasks. Resolves when this VM accepts calls. */
  async start(): Promise<void> {
    const { ingress, mesh, roleController, storeReader } = this.#components;
    const {
      quarantinePersistence,
      partQuarantinePersistence,
      targetListGuard,
    } = this.#components;
    const { listen } = this.#settings;
    this.#taskLog.write("info", "starting", {
      pid: process.pid,
      node: process.version,
      listen,
    });
    this.#removeViolationListener = registerViolationListener((error) =>
      this.#taskLog.write("error", "invariantViolated", {
        invariant: error.invariant,
        detail: error.message,
      })
    );
    this.#watchConfig();
    this.#watchQuarantine();
    this.#surveyCachesOnceListed();
    await Promise.all([
      ingress.start(),
      this.#listenStatus(listen.readiness),
      this.#listenMetrics(),
    ]);
    await mesh.start();
    storeReader.start();
    quarantinePersistence.start();
    partQuarantinePersistence.start();
    this.#components.streamRecordLog.start();
    roleController.start();
    this.#components.duties?.start();
    targetListGuard.recordTick();
    this.#sweeper = setInterval(() => this.#sweep(), SWEEP_INTERVAL_MS);
    this.#taskLog.write("info", "started", { address: listen.callers });
  }

  /** Applies the settings that may change while the process runs. */
  applySettings(settings: ForwardSettings): void {
    if (this.#log instanceof StdoutEventLog) {
      this.#log.setLevel(settings.logs.level);
    }
    const { weights = {} } = settings.accounts;
    this.#components.accountWeights.apply(weights);
    this.#taskLog.write("info", "settingsReloaded", {
      level: settings.logs.level,
      accountWeights: Object.keys(weights).length,
    });
  }

  /** Logs that reloaded settings are invalid; the current settings stay in effect. */
  rejectSettings(faults: string): void {
    this.#taskLog.write("error", "settingsRefused", { faults });
  }

  /** Logs and counts an uncaught error; the process continues. */
  reportUncaughtError(error: unknown): void {
    reportUncaught(this.#log, this.#resolvedComponents?.metrics, error);
  }

  /**
   * Completes the calls in progress within the grace period of the platform, and stops. Further
   * calls return the promise of the first one.
   */
  stop(): Promise<void> {
    this.#stopped ??= this.#shutDown();
    return this.#stopped;
  }

  get #taskLog(): TaskLog {
    return this.#components.taskLog;
  }

  get #components(): VmComponents {
    return this.#resolvedComponents ?? this.#container.cradle;
  }

  #registerCallDependencies(): void {
    const dependencies = buildCallDependencies({
      settings: this.#settings,
      codec: this.#ports.codec,
      clock: this.#clock,
      log: this.#log,
      usageMeter: this.#usageMeter,
      countVms: () => this.#liveVms,
      getListAgeMs: () => this.#components.storeReader.getEffectiveListAgeMs(),
      refreshTargetList: () => this.#components.storeReader.refreshList(),
      self: buildIdentity(this.#settings, this.#vmStart),
      findStreamVersion: async (key) =>
        await this.#components.mesh.findStreamVersion(key) ??
          await this.#components.streamRecordLog.findVersion(key),
      findOnlyVersion: (service) =>
        this.#components.versionPersistence.findOnlyVersion(service),
      awaitVersionListed: (service, softwareVersion) =>
        this.#components.versionPersistence.awaitVersionListed(
          service,
          softwareVersion,
        ),
      listPeers: () => this.#components.mesh.listPeers(),
    });
    for (const [name, component] of Object.entries(dependencies)) {
      this.#container.register(name, asValue(component));
    }
  }

  #registerTasks(): void {
    const components = this.#components;
    const settings = this.#settings;
    const ports = this.#ports;
    const options: VmTaskOptions = {
      settings,
      ports,
      ...this.#vmStart,
      usageMeter: this.#usageMeter,
      getComponents: () => this.#components,
      onFirstVmList: (listed) => this.#handleFirstVmList(listed),
      onLiveVms: (count) => this.#applyVmCount(count),
      onChangingRole: (targets) => this.#markChangingRole(targets),
    };
    const callServer = new CallServer({ ...components });
    const listenAddress = splitAddress(settings.listen.callers);
    this.#container.register({ taskLog: asValue(new TaskLog(components)) });
    this.#container.register({
      storeEpoch: asValue(this.#buildStoreEpoch()),
    });
    this.#container.register({
      ingress: asValue(
        new Ingress({
          ...listenAddress,
          codec: components.codec,
          server: callServer,
          clock: components.clock,
          log: components.log,
          metrics: components.metrics,
          bounds: {
            ...settings.clients,
            maxBodyBytes: settings.clients.maxBodyMemoryMb * BYTES_PER_MB,
          },
          shutdown: components.shutdown,
        }),
      ),
      handoverServer: asValue(buildHandoverServer(options, callServer)),
      statusServer: asValue(
        new StatusServer({
          metrics: components.metrics,
          readinessPath: ports.readinessPath,
          metricsPath: METRICS_PATH,
          quarantine: components.quarantine,
          partQuarantine: components.partQuarantine,
          clock: components.clock,
          isReady: () => this.isReady,
          onLimitExceeded: () =>
            components.metrics.limitsExceeded.inc({ limit: "status" }),
          getFleetStatus: () => this.#getFleetStatus(),
        }),
      ),
      storeReader: asValue(buildStoreReader(options)),
      versionPersistence: asValue(buildVersionPersistence(options)),
      streamRecordLog: asValue(buildStreamRecordLog(options)),
      quarantinePersistence: asValue(
        new QuarantinePersistence({
          topic: ports.directory.quarantine,
          quarantine: components.quarantine,
          clock: components.clock,
          log: components.taskLog,
        }),
      ),
      partQuarantinePersistence: asValue(
        new QuarantinePersistence({
          topic: ports.directory.quarantine,
          quarantine: components.partQuarantine.evidence,
          isOfParts: true,
          clock: components.clock,
          log: components.taskLog,
        }),
      ),
      roleController: asValue(buildRoleController(options)),
      duties: asValue(buildFleetDuties(options)),
      mesh: asValue(buildMesh(options)),
    });
  }

  #buildStoreEpoch(): StoreEpoch {
    const storeEpoch = new StoreEpoch();
    this.#ports.storeEpoch.registerEpochListener((epoch) =>
      storeEpoch.record(epoch, "store")
    );
    storeEpoch.registerListener(({ epoch, before, source }) => {
      this.#components.metrics.storeEpoch.set(epoch);
      this.#taskLog.write("warn", "storeRestored", { epoch, before, source });
      this.#components.storeReader.handleRestoration();
      this.#components.versionHistory.handleRestoration(
        this.#clock.readMonotonicMs(),
      );
      this.#components.versionPersistence.handleRestoration(epoch);
      this.#components.streamRecordLog.handleRestoration();
      this.#components.quarantinePersistence.handleRestoration();
      this.#components.partQuarantinePersistence.handleRestoration();
      this.#components.mesh.handleRestoration();
    });
    return storeEpoch;
  }

  #watchConfig(): void {
    const { activeConfig, ingress, metrics } = this.#components;
    activeConfig.registerListener(({ table, before, source }) => {
      ingress.applyLimits(table.config.limits);
      metrics.configVersion.set(table.version);
      this.#taskLog.write("info", "configApplied", {
        version: table.version,
        before,
        routes: table.config.routes.length,
        source,
        // Age of the configuration before this update.
        ageMs: formatAge(activeConfig.getAgeMs()),
      });
    });
  }

  #watchQuarantine(): void {
    const { quarantine, partQuarantine, clock } = this.#components;
    partQuarantine.evidence.registerChangeListener(
      ({ kind, request: part, isOwn }) => {
        const source = isOwn ? "own" : "peer";
        const quarantined = partQuarantine.findQuarantined(
          [part],
          clock.readMonotonicMs(),
        );
        if (kind === "cleared") {
          this.#taskLog.write("info", "partCleared", { part, source });
        } else if (quarantined !== undefined) {
          const { account, incarnations, sinceMs, untilMs } = quarantined;
          this.#taskLog.write("warn", "partQuarantined", {
            part,
            source,
            account,
            endedTargets: incarnations,
            holdMs: Math.round(untilMs - sinceMs),
          });
        }
      },
    );
    quarantine.registerChangeListener(({ kind, request, isOwn }) => {
      const source = isOwn ? "own" : "peer";
      const quarantined = quarantine.findQuarantined(
        request,
        clock.readMonotonicMs(),
      );
      if (kind === "cleared") {
        this.#taskLog.write("info", "quarantineLifted", { request, source });
      } else if (quarantined !== undefined) {
        this.#taskLog.write("warn", "requestQuarantined", {
          request,
          source,
          account: quarantined.account,
          endedTargets: quarantined.incarnations,
          holdMs: Math.round(quarantined.untilMs - quarantined.sinceMs),
        });
      }
    });
  }

  /** Surveys the KV caches of the engines once the engines and the VMs are listed. */
  #surveyCachesOnceListed(): void {
    const components = this.#components;
    const listEngines = (): Target[] =>
      components.directory.listAll().filter((target) =>
        target.role === "prefill"
      );
    const timer = setInterval(() => {
      if (components.shutdown.isStopping) return clearInterval(timer);
      if (listEngines().length === 0 || !components.mesh.hasVmList) return;
      clearInterval(timer);
      const survey = new CacheSurvey({
        vmId: this.#settings.vm.id,
        clock: components.clock,
        codec: components.codec,
        prefixIndex: components.prefixIndex,
        connections: components.connections,
        events: components.taskLog,
        listPrefillEngines: listEngines,
        listParticipants: () => components.mesh.listCoordinators(),
        onError: (error) => reportInternalError(components, "process", error),
      });
      void survey.run(() => components.mesh.isCoordinator);
    }, SWEEP_INTERVAL_MS);
  }

  /** A VM that joins a fleet may be the restart of one that has just spent its retries. */
  #handleFirstVmList(listed: readonly VmRecord[]): void {
    const { retryBudget } = this.#components;
    const nowMs = this.#clock.readMonotonicMs();
    retryBudget.setLiveVms(listed.length, nowMs);
    // From here on the VM may use its part of the fixed number of retries.
    this.#taskLog.write("info", "vmListLoaded", { listed: listed.length });
    const windowMs = this.#settings.retries.windowSeconds * MS_PER_SECOND;
    const runsBeforeMs = this.#vmStart.startedAtMs - windowMs;
    if (!isFleetRunning(listed, this.#settings.vm.id, runsBeforeMs)) return;
    retryBudget.withholdFixedPart(nowMs);
    this.#taskLog.write("info", "retriesWithheld", { forMs: windowMs });
  }

  #applyVmCount(liveVms: number): void {
    const { retryBudget, connections, fleetDemand, metrics } = this.#components;
    this.#liveVms = liveVms;
    // Without the list, peers that are not connected yet would be missing.
    if (this.#components.mesh.hasVmList) {
      retryBudget.setLiveVms(liveVms, this.#clock.readMonotonicMs());
    }
    connections.setLiveVms(liveVms);
    fleetDemand.setVmCount(liveVms);
    metrics.liveVms.set(liveVms);
  }

  #markChangingRole(targets: readonly string[]): void {
    const nowMs = this.#clock.readMonotonicMs();
    for (const id of targets) {
      this.#components.directory.markChangingRole(
        id,
        nowMs + ROLE_CHANGE_HOLD_MS,
        nowMs,
      );
    }
  }

  #sweep(): void {
    const { directory, roleController, targetListGuard } = this.#components;
    const {
      mesh,
      storeReader,
      metrics,
      prefillQueue,
      plainCallQueues,
      workTracker,
      activeConfig,
    } = this.#components;
    targetListGuard.recordTick();
    metrics.promptsWaiting.set(prefillQueue.size);
    const services = activeConfig.table?.config.services ?? [];
    const waiting = countWaitingCalls({
      prefillQueue,
      plainCallQueues,
      services,
    });
    // A service that is no longer configured would keep its last value.
    metrics.callsWaiting.reset();
    for (const [service, count] of waiting) {
      metrics.callsWaiting.set({ service }, count);
    }
    metrics.prefillOverdue.set(
      workTracker.sumOwnOverdueMs(this.#clock.readMonotonicMs()) / 1000,
    );
    storeReader.setActive({
      isActive: mesh.mustReadStore(),
      isConfigUnconfirmed: this.#isConfigUnconfirmed(),
      isCoordinator: mesh.isCoordinator,
    });
    mesh.tick();
    metrics.listAge.set(storeReader.getEffectiveListAgeMs() / 1000);
    metrics.configAge.set(
      activeConfig.getAgeMs() / 1000,
    );
    this.#sweepTargetFailures();
    this.#sweepQuarantine();
    this.#sweepStreamVersions();
    storeReader.purgeDroppedTargets("otherIncarnation");
    const gone = directory.dropExpired(this.#clock.readMonotonicMs());
    metrics.targets.set(directory.size);
    storeReader.purgeDroppedTargets("grace");
    for (const id of gone) {
      this.#taskLog.write("info", "targetGone", {
        target: id,
        reason: "not listed again after an outage of the store",
      });
    }
    this.#markChangingRole(roleController.listChangingRole());
  }

  /** Whether API keys are about to become unusable, as no hub has confirmed the configuration. */
  #isConfigUnconfirmed(): boolean {
    const { mesh } = this.#components;
    const { revokeBoundMs } = this.#settings.accounts;
    if (revokeBoundMs === undefined) return false;
    return mesh.getConfigConfirmationAgeMs() >
      revokeBoundMs * MAX_CONFIRMATION_AGE_SHARE;
  }

  #getFleetStatus(): FleetStatus {
    const {
      activeConfig,
      duties,
      returnTimes,
      accountShares,
      prefillQueue,
      plainCallQueues,
    } = this.#components;
    const services = activeConfig.table?.config.services ?? [];
    const serviceNames = services.map(({ name }) => name);
    const nowMs = this.#clock.readMonotonicMs();
    const accounts = activeConfig.table?.config.accounts ?? null;
    return {
      vm: this.#settings.vm.id,
      config: {
        version: activeConfig.version,
        ageMs: formatAge(activeConfig.getAgeMs()),
      },
      accounts: accounts?.map(({ name, keyDigests }) => ({
        name,
        keys: keyDigests.length,
      })) ?? null,
      shares: listShareStatus(accountShares, nowMs),
      returns: returnTimes.listStatus(serviceNames, nowMs),
      queues: listQueueStatus({ prefillQueue, plainCallQueues, services }),
      loads: listLoadStatus(this.#components, serviceNames, nowMs),
      unreadable: [
        ...this.#components.storeReader.listUnreadable(),
        ...this.#components.mesh.listUnreadable(),
      ],
      duties: duties?.getStatus() ?? null,
    };
  }

  #sweepTargetFailures(): void {
    const { targetFailures, directory, activeConfig, metrics } =
      this.#components;
    const nowMs = this.#clock.readMonotonicMs();
    targetFailures.sweep(nowMs);
    const services = activeConfig.table?.config.services ?? [];
    const failing = services.map(({ name }) => {
      const ids = directory.listServing(name).map(({ id }) => id);
      return targetFailures.findFailing(ids, nowMs).size;
    });
    metrics.failingTargets.set(failing.reduce((sum, count) => sum + count, 0));
  }

  #sweepStreamVersions(): void {
    const { streamVersions, versionHistory, versionPersistence, activeConfig } =
      this.#components;
    const nowMs = this.#clock.readMonotonicMs();
    const streamLifeMs = computeStreamLifeMs(activeConfig.table?.config);
    streamVersions.expire(nowMs, streamLifeMs);
    versionHistory.observe(nowMs);
    versionHistory.expire(nowMs, streamLifeMs);
    versionPersistence.tick();
  }

  #sweepQuarantine(): void {
    const { quarantine, partQuarantine, metrics } = this.#components;
    const nowMs = this.#clock.readMonotonicMs();
    if (!quarantine.isEmpty) {
      quarantine.expire(nowMs);
      metrics.requestsQuarantined.set(quarantine.listQuarantined(nowMs).length);
    }
    if (partQuarantine.isEmpty) return;
    partQuarantine.expire(nowMs);
    metrics.partsQuarantined.set(partQuarantine.listQuarantined(nowMs).length);
  }

  async #listenStatus(address: string): Promise<void> {
    const { host, port } = splitAddress(address);
    const { statusServer } = this.#components;
    await retryListen(() => statusServer.listen(host, port), {
      onRetry: (reason) => this.#logListenRetry(reason),
    });
  }

  /** Calls are served without the metrics, so a start doesn't wait for their address. */
  async #listenMetrics(): Promise<void> {
    const { host, port } = splitAddress(this.#settings.listen.metrics);
    const { statusServer } = this.#components;
    const firstTry = new Promise<void>((resolve) => {
      const listening = retryListen(
        () => statusServer.listen(host, port, true),
        {
          maxWaitMs: Infinity,
          signal: this.#closing.signal,
          onRetry: (reason) => {
            this.#logListenRetry(reason);
            resolve();
          },
        },
      );
      listening.catch((error) => {
        if (this.#closing.signal.aborted) return;
        reportInternalError(this.#components, "process", error);
      }).then(resolve);
    });
    await firstTry;
  }

  #logListenRetry(reason: string): void {
    this.#taskLog.write("warn", "listenRetried", { reason });
  }

  async #shutDown(): Promise<void> {
    const { shutdown, ingress } = this.#components;
    this.#taskLog.write("info", "stopping", { openCalls: ingress.openCalls });
    shutdown.begin();
    const left = this.#leaveFleet();
    await shutdown.awaitPhase("draining");
    await ingress.closeListener();
    await Promise.all([left, this.#drain()]);
    this.#taskLog.write("info", "stopped", {
      openCalls: ingress.openCalls,
      ...shutdown.summarize(),
      tookMs: Math.round(shutdown.tookMs),
    });
    await this.#closeAll();
    shutdown.conclude();
  }

  /** Leaves the fleet. Resolves when the VM ends at the latest, whether or not the store responds. */
  async #leaveFleet(): Promise<void> {
    const { shutdown, mesh, roleController, duties } = this.#components;
    const leave = Promise.all([
      roleController.stop(),
      duties?.stop(),
      mesh.leave(),
    ]).catch((error) =>
      reportInternalError(this.#components, "process", error)
    );
    await Promise.race([leave, shutdown.awaitPhase("ending")]);
  }

  /** Completes the open calls, ends those that are left when the grace period is over, and writes the rest. */
  async #drain(): Promise<void> {
    const { shutdown, ingress, handoverServer, streamRecordLog, readBarrier } =
      this.#components;
    const ending = shutdown.awaitPhase("ending");
    let isFlushed = false;
    const hasOpenWork = (): boolean =>
      ingress.openCalls + ingress.openConnections + handoverServer.openCalls >
        0 || !handoverServer.isWritten;
    while (shutdown.phase === "draining" && hasOpenWork()) {
      // After a standstill, this runs before the requests that have arrived meanwhile are read.
      await readBarrier.awaitRead();
      ingress.closeIdle();
      if (!isFlushed && shutdown.remainingMs <= MAX_FLUSH_MS) {
        isFlushed = true;
        void streamRecordLog.flush(MAX_FLUSH_MS);
      }
      await Promise.race([sleep(DRAIN_POLL_MS), ending]);
    }
    shutdown.end();
    await shutdown.awaitCallEnd();
    // Streams may have begun since the flush before the end.
    await Promise.all([
      streamRecordLog.flush(MAX_FLUSH_MS),
      this.#awaitWritten(),
    ]);
  }

  /** Waits until the last responses to clients and peers are written. */
  async #awaitWritten(): Promise<void> {
    const { clock, ingress, handoverServer } = this.#components;
    const untilMs = clock.readMonotonicMs() + MAX_WRITE_MS;
    // Calls that the end of the VM has ended write their last response some steps later.
    await sleep(MIN_WRITE_MS);
    const isWritten = () => ingress.isWritten && handoverServer.isWritten;
    do await sleep(WRITE_POLL_MS); while (
      !isWritten() && clock.readMonotonicMs() < untilMs
    );
  }

  async #closeAll(): Promise<void> {
    const { ingress, statusServer, mesh, connections } = this.#components;
    clearInterval(this.#sweeper);
    this.#closing.abort();
    this.#removeViolationListener?.();
    this.#components.storeReader.stop();
    this.#components.versionPersistence.stop();
    this.#components.streamRecordLog.stop();
    this.#components.quarantinePersistence.stop();
    this.#components.partQuarantinePersistence.stop();
    ingress.closeAll();
    this.#components.pathMonitor.stop();
    this.#components.loadProber.stop();
    this.#components.handoverClient.close();
    statusServer.close();
    mesh.stop();
    await connections.close();
  }
}
