/**
 * One entry VM: builds all components from the settings, starts them, and shuts them down
 * gracefully.
 *
 * @module
 */
import {
  asFunction,
  asValue,
  type AwilixContainer,
  createContainer,
  InjectionMode,
} from "awilix";
import {
  createId,
  registerViolationListener,
  RuntimeClock,
  ServeError,
  sleep,
} from "heatherarch-core";
import { HttpLog, HttpVmList } from "heatherarch-log";
import {
  type Heartbeat,
  type LinkIdentity,
  Membership,
  splitAddress,
} from "heatherarch-mesh";
import { DemandMeter, EngineModel, LoadTracker } from "heatherarch-policy";
import type { ProcessSettings } from "heatherarch-settings";
import { Shutdown } from "heatherarch-shutdown";
import { buildGateway, REMOTE_READ_TIMEOUT_MS } from "./gateway_builder.ts";
import { HeartbeatBuilder } from "./heartbeat_builder.ts";
import { INVARIANT_VIOLATED, type Logger } from "./logger.ts";
import { Metrics } from "./metrics.ts";
import { OperatorServer } from "./operator_server.ts";
import {
  buildClaimService,
  buildConfigReader,
  buildControlTask,
  buildMesh,
  buildOrderExecutor,
  buildQuarantine,
  buildQuarantineWatch,
  buildTargetTable,
  buildTargetWatcher,
  buildZoneView,
  type Components,
  readCertificate,
} from "./components.ts";
import { publishChange } from "./publisher.ts";
import { buildStatus } from "./status_report.ts";

/** Options of {@linkcode EntryVm}. */
export interface EntryVmOptions {
  readonly settings: ProcessSettings;
  readonly logger: Logger;
}

const DEMAND_WINDOW_MS = 3000;
const REPORT_LAG_MS = 300;
const METRICS_INTERVAL_MS = 1000;
const FLUSH_TIMEOUT_MS = 5000;
const BUSY_POLL_MS = 20;
/** Time after which a VM reports itself ready even if a service has no usable target. */
const DISCOVERY_GRACE_MS = 5000;

/** The process of one entry VM. */
export class EntryVm {
  readonly #container: AwilixContainer<Components>;
  readonly #timers: NodeJS.Timeout[] = [];
  #unregisterViolationListener: (() => void) | undefined;
  #stopping: Promise<void> | undefined;
  /** Monotonic time of the first readiness check with a usable configuration. */
  #servingFromMs: number | undefined;

  constructor(options: EntryVmOptions) {
    this.#container = createContainer<Components>({
      injectionMode: InjectionMode.PROXY,
    });
    this.#registerComponents(options);
  }

  get #components(): Components {
    return this.#container.cradle;
  }

  /** Starts all components. */
  async start(): Promise<void> {
    const {
      settings,
      config,
      table,
      mesh,
      control,
      executor,
      watcher,
      metrics,
    } = this.#components;
    const { logger, gateway, operatorServer } = this.#components;
    this.#unregisterViolationListener = registerViolationListener((error) =>
      logger.error(INVARIANT_VIOLATED, {
        invariant: error.invariant,
        detail: error.message,
        stack: error.stack,
      })
    );
    config.registerListener((state) => {
      table.applyConfig(state);
      this.#applySpeeds();
    });
    mesh.registerHeartbeatListener((heartbeat, from) =>
      this.#handleHeartbeat(heartbeat, from)
    );
    mesh.registerCall("stream.read", async (body) => {
      const { requestId, from } = body as { requestId: string; from: number };
      return await gateway.store.readNext(
        requestId,
        from,
        REMOTE_READ_TIMEOUT_MS / 3,
      );
    });
    this.#components.membership.recordListing(settings.mesh.peers);
    await mesh.start();
    void this.#superviseComponent("config", config.run());
    void this.#superviseComponent("control", control.run());
    void this.#superviseComponent("executor", executor.run());
    watcher.start();
    void this.#pollVmList();
    const { operators: operatorsAddress, callers } = settings.listen;
    await operatorServer.listen(
      splitAddress(operatorsAddress).host,
      splitAddress(operatorsAddress).port,
    );
    await gateway.listen(
      splitAddress(callers).host,
      splitAddress(callers).port,
    );
    this.#timers.push(
      setInterval(() => this.#updateMetrics(), METRICS_INTERVAL_MS),
    );
    metrics.members.set(1);
    logger.info("started", {
      callers,
      operators: operatorsAddress,
      mesh: settings.listen.mesh,
    });
  }

  /** Shuts down gracefully. Further calls return the promise of the first one. */
  stop(): Promise<void> {
    this.#stopping ??= this.#stop();
    return this.#stopping;
  }

  async #stop(): Promise<void> {
    const {
      gateway,
      mesh,
      executor,
      claims,
      logger,
      config,
      shutdown,
    } = this.#components;
    logger.info("shutting down", { inFlight: gateway.inFlight });
    shutdown.begin();
    mesh.sendHeartbeats();
    executor.stop();
    await shutdown.awaitPhase("draining");
    const resigned = this.#resign();
    await gateway.drain();
    shutdown.end();
    await gateway.awaitWritten();
    gateway.close();
    await resigned;
    await claims.flush(FLUSH_TIMEOUT_MS);
    for (const timer of this.#timers) clearInterval(timer);
    this.#components.watcher.stop();
    config.stop();
    this.#unregisterViolationListener?.();
    this.#components.operatorServer.close();
    mesh.stop();
    await this.#components.table.close();
    shutdown.conclude();
    logger.info("stopped", {
      ...shutdown.summarize(),
      tookMs: Math.round(shutdown.tookMs),
    });
  }

  /** Gives the lease up once the last order has ended. */
  async #resign(): Promise<void> {
    const { executor, control } = this.#components;
    const deadlineMs = performance.now() + FLUSH_TIMEOUT_MS;
    while (executor.isBusy && performance.now() < deadlineMs) {
      await sleep(BUSY_POLL_MS);
    }
    await control.resign();
  }

  #registerComponents({ settings, logger }: EntryVmOptions): void {
    const clock = new RuntimeClock();
    const { vm, platform } = settings;
    const identity: LinkIdentity = {
      id: vm.id,
      incarnation: createId("run"),
      availabilityZone: vm.availabilityZone,
      mesh: settings.listen.mesh,
    };
    const timeoutMs = platform.requestTimeoutMs;
    this.#container.register({
      settings: asValue(settings),
      logger: asValue(logger),
      clock: asValue(clock),
      identity: asValue(identity),
      shutdown: asValue(buildShutdown(settings, clock, logger)),
      log: asValue(new HttpLog({ url: platform.log, timeoutMs })),
      vmList: asValue(new HttpVmList({ url: platform.vmList, timeoutMs })),
      metrics: asValue(new Metrics()),
      membership: asValue(
        new Membership({ self: identity, silenceMs: settings.mesh.silenceMs }),
      ),
      tracker: asValue(new LoadTracker({ reportLagMs: REPORT_LAG_MS })),
      model: asValue(new EngineModel()),
      demand: asValue(new DemandMeter(DEMAND_WINDOW_MS)),
      zones: asFunction(buildZoneView).singleton(),
      table: asFunction(buildTargetTable).singleton(),
      mesh: asFunction(buildMesh).singleton(),
      config: asFunction(buildConfigReader).singleton(),
      control: asFunction(buildControlTask).singleton(),
      claims: asFunction(buildClaimService).singleton(),
      quarantine: asFunction(buildQuarantine).singleton(),
      quarantineWatch: asFunction(buildQuarantineWatch).singleton(),
      executor: asFunction(buildOrderExecutor).singleton(),
      watcher: asFunction(buildTargetWatcher).singleton(),
      heartbeatBuilder: asFunction((components: Components) =>
        this.#buildHeartbeatBuilder(components)
      )
        .singleton(),
      gateway: asFunction((components: Components) =>
        buildGateway(components, () => this.#readRefusal())
      ).singleton(),
      operatorServer: asFunction((components: Components) =>
        this.#buildOperatorServer(components)
      )
        .singleton(),
    });
  }

  #buildHeartbeatBuilder(components: Components): HeartbeatBuilder {
    const { identity, membership, table, config, control, demand, clock } =
      components;
    return new HeartbeatBuilder({
      vmId: identity.id,
      availabilityZone: identity.availabilityZone,
      membership,
      table,
      subsetSize: components.settings.targets.subsetSize,
      isPlanner: (vmId) => control.isCandidate(vmId),
      readIntervalMs: () => this.#components.mesh.intervalMs,
      readProgress: () => ({
        configOffset: config.state.offset,
        controlOffset:
          table.getChanging(identity.availabilityZone).controlOffset,
        leaving: components.shutdown.isStopping,
      }),
      readDemand: () => demand.read(clock.readMonotonicMs()),
      listCrashReports: (cursor) =>
        components.quarantine.listReports(cursor, clock.readMonotonicMs()),
    });
  }

  #buildOperatorServer(components: Components): OperatorServer {
    const { settings, config, table, metrics } = components;
    const tls = settings.listen.operatorsTls;
    return new OperatorServer({
      settings,
      readConfig: () => config.state,
      readStatus: () =>
        buildStatus(this.#components, components.shutdown.isStopping),
      readMetrics: () => {
        this.#updateMetrics();
        return metrics.registry.metrics();
      },
      readUnreadyReason: () => this.#readUnreadyReason(),
      publish: (request) => publishChange(this.#components, request),
      markLeaving: (target) => {
        table.leaving.mark(target, config.state.offset);
        this.#components.mesh.sendHeartbeats();
      },
    }, tls === undefined ? {} : { tls: readCertificate(tls) });
  }

  #readRefusal(): ServeError | undefined {
    const { config } = this.#components;
    if (!config.isLoaded) {
      return new ServeError(
        "notReady",
        "no configuration has been loaded from platform or peers",
      );
    }
    if (config.state.fleet === null) {
      return new ServeError(
        "notReady",
        "no fleet configuration has been published",
      );
    }
    return undefined;
  }

  /** Returns why the load balancer should send no requests here; undefined if it should. */
  #readUnreadyReason(): string | undefined {
    if (this.#components.shutdown.isStopping) return "shutting down";
    const refusal = this.#readRefusal();
    if (refusal !== undefined) return refusal.message;
    const { table, clock } = this.#components;
    const nowMs = clock.readMonotonicMs();
    this.#servingFromMs ??= nowMs;
    // If no target can be reached, this VM is no worse than the others after the grace period.
    if (nowMs - this.#servingFromMs > DISCOVERY_GRACE_MS) return undefined;
    const unseenService = this.#components.config.state.fleet?.services.find((
      service,
    ) => table.listCandidates(service.name).length === 0);
    return unseenService &&
      `no target of ${unseenService.name} has been seen yet`;
  }

  /**
   * Sets the initial speeds of the engine model to those of the first model service. All model
   * services share the model.
   */
  #applySpeeds(): void {
    const { config, model } = this.#components;
    const services = config.state.fleet?.services ?? [];
    const modelService = services.find((service) => service.kind === "model");
    if (modelService?.kind === "model") model.setSpeeds(modelService.speeds);
  }

  #handleHeartbeat(heartbeat: Heartbeat, from: LinkIdentity): void {
    const { table, zones, quarantine, clock } = this.#components;
    for (const mark of heartbeat.leavingTargets ?? []) {
      table.leaving.mark(mark.target, mark.sinceOffset);
    }
    for (const row of heartbeat.reports ?? []) table.recordReport(row, from.id);
    table.refreshReports(from.id);
    if (heartbeat.crashes !== undefined) {
      quarantine.mergePeerReports(heartbeat.crashes, clock.readMonotonicMs());
    }
    zones.recordHeartbeat(heartbeat, from);
    if (heartbeat.changing !== undefined) {
      const [controlOffset, targets] = heartbeat.changing;
      table.applyChanging(from.availabilityZone, { controlOffset, targets });
    }
  }

  async #pollVmList(): Promise<void> {
    const { settings, vmList, membership, watcher } = this.#components;
    while (this.#stopping === undefined) {
      try {
        const vms = await vmList.readVms();
        const entries = vms.flatMap((vm) =>
          vm.kind === "entry" && vm.address !== undefined
            ? [{
              id: vm.id,
              availabilityZone: vm.availabilityZone,
              mesh: vm.address,
            }]
            : []
        );
        membership.recordListing([...settings.mesh.peers, ...entries]);
        watcher.recordListing(vms);
      } catch {
        // The list is only a hint. Without it, membership relies on the peers that respond.
      }
      await sleep(settings.platform.vmListIntervalMs);
    }
  }

  #updateMetrics(): void {
    const { metrics, config, control, gateway, membership, mesh, clock } =
      this.#components;
    const nowMs = clock.readMonotonicMs();
    metrics.configOffset.set(config.state.offset);
    if (Number.isFinite(config.currentAtMs)) {
      metrics.configStaleness.set((nowMs - config.currentAtMs) / 1000);
    }
    metrics.leaseHeld.set(control.hasAuthority() ? 1 : 0);
    metrics.inFlight.set(gateway.inFlight);
    metrics.members.set(membership.listLive().length);
    const traffic = mesh.readTraffic();
    metrics.meshBytes.set({ direction: "sent" }, traffic.bytesSent);
    metrics.meshBytes.set({ direction: "received" }, traffic.bytesReceived);
    gateway.removeIdleAccounts();
  }

  /** Shuts the process down if a component's task fails. The platform then starts a new process. */
  async #superviseComponent(
    component: string,
    task: Promise<void>,
  ): Promise<void> {
    try {
      await task;
    } catch (error) {
      this.#components.logger.error("component failed", {
        part: component,
        error: String(error),
      });
      process.exitCode = 1;
      await this.stop();
      process.exit(1);
    }
  }
}

/** Builds the shutdown. The grace period is that of the notice and of the requests in flight. */
function buildShutdown(
  { shutdown: { noticeMs, drainTimeoutMs } }: ProcessSettings,
  clock: RuntimeClock,
  logger: Logger,
): Shutdown {
  return new Shutdown({
    clock,
    noticeMs,
    graceMs: noticeMs + drainTimeoutMs,
    onError: (error) =>
      logger.error("a request failed to end", { error: String(error) }),
  });
}
