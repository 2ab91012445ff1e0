/**
 * One entry VM: builds all parts from its settings, starts them, and shuts them down
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
/** How long a VM waits for a first sight of targets before it calls itself ready. */
const DISCOVERY_GRACE_MS = 5000;

/** The process. */
export class EntryVm {
  readonly #container: AwilixContainer<Components>;
  readonly #timers: NodeJS.Timeout[] = [];
  #unregisterViolationListener: (() => void) | undefined;
  #leaving = false;
  #rejectsRequests = false;
  #stopping: Promise<void> | undefined;
  /** Monotonic time from which there was a configuration to serve by. */
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

  /** Starts all parts. */
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
    const { logger, gateway, operatorServer: operators } = this.#components;
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
    this.#components.membership.noteListed(settings.mesh.peers);
    await mesh.start();
    void this.#superviseComponent("config", config.run());
    void this.#superviseComponent("control", control.run());
    void this.#superviseComponent("executor", executor.run());
    watcher.start();
    void this.#pollVmList();
    const { operators: operatorsAt, callers } = settings.listen;
    await operators.listen(
      splitAddress(operatorsAt).host,
      splitAddress(operatorsAt).port,
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
      operators: operatorsAt,
      mesh: settings.listen.mesh,
    });
  }

  /** Shuts down gracefully. A second call changes nothing. */
  stop(): Promise<void> {
    this.#stopping ??= this.#stop();
    return this.#stopping;
  }

  async #stop(): Promise<void> {
    const {
      settings,
      gateway,
      mesh,
      executor,
      control,
      claims,
      logger,
      config,
    } = this.#components;
    logger.info("shutting down", { inFlight: gateway.inFlight });
    this.#leaving = true;
    mesh.sendHeartbeats();
    executor.stop();
    await sleep(settings.shutdown.noticeMs);
    this.#rejectsRequests = true;
    const drained = await gateway.drain(settings.shutdown.drainTimeoutMs);
    const until = performance.now() + FLUSH_TIMEOUT_MS;
    while (executor.isBusy && performance.now() < until) await sleep(20);
    await control.resign();
    await claims.flush(FLUSH_TIMEOUT_MS);
    for (const timer of this.#timers) clearInterval(timer);
    this.#components.watcher.stop();
    config.stop();
    this.#unregisterViolationListener?.();
    gateway.close();
    this.#components.operatorServer.close();
    mesh.stop();
    await this.#components.table.close();
    logger.info("stopped", { drained, inFlight: gateway.inFlight });
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
      heartbeatBuilder: asFunction((parts: Components) =>
        this.#buildHeartbeatBuilder(parts)
      )
        .singleton(),
      gateway: asFunction((parts: Components) =>
        buildGateway(parts, () => this.#readRefusal())
      ).singleton(),
      operatorServer: asFunction((parts: Components) =>
        this.#buildOperatorServer(parts)
      )
        .singleton(),
    });
  }

  #buildHeartbeatBuilder(parts: Components): HeartbeatBuilder {
    const { identity, membership, table, config, control, demand, clock } =
      parts;
    return new HeartbeatBuilder({
      vmId: identity.id,
      availabilityZone: identity.availabilityZone,
      membership,
      table,
      subsetSize: parts.settings.targets.subsetSize,
      isPlanner: (vmId) => control.isCandidate(vmId),
      readIntervalMs: () => this.#components.mesh.intervalMs,
      readProgress: () => ({
        configOffset: config.state.offset,
        controlOffset:
          table.getChanging(identity.availabilityZone).controlOffset,
        leaving: this.#leaving,
      }),
      readDemand: () => demand.read(clock.readMonotonicMs()),
      listCrashReports: (cursor) =>
        parts.quarantine.listReports(cursor, clock.readMonotonicMs()),
    });
  }

  #buildOperatorServer(parts: Components): OperatorServer {
    const { settings, config, table, metrics } = parts;
    const tls = settings.listen.operatorsTls;
    return new OperatorServer({
      settings,
      readConfig: () => config.state,
      readStatus: () => buildStatus(this.#components, this.#leaving),
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
    if (this.#rejectsRequests) {
      return new ServeError("shuttingDown", "this VM is shutting down");
    }
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

  /** Why the balancer should send nothing here. */
  #readUnreadyReason(): string | undefined {
    if (this.#leaving) return "shutting down";
    const refusal = this.#readRefusal();
    if (refusal !== undefined) return refusal.message;
    const { table, clock } = this.#components;
    const nowMs = clock.readMonotonicMs();
    this.#servingFromMs ??= nowMs;
    // With every target out of reach the VM is as good as any other after a while.
    if (nowMs - this.#servingFromMs > DISCOVERY_GRACE_MS) return undefined;
    const unseen = this.#components.config.state.fleet?.services.find((
      service,
    ) => table.listCandidates(service.name).length === 0);
    return unseen && `no target of ${unseen.name} has been seen yet`;
  }

  /** One model serves all model services: the first one's speeds are its start. */
  #applySpeeds(): void {
    const { config, model } = this.#components;
    const services = config.state.fleet?.services ?? [];
    const first = services.find((service) => service.kind === "model");
    if (first?.kind === "model") model.setSpeeds(first.speeds);
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
        membership.noteListed([...settings.mesh.peers, ...entries]);
        watcher.recordListing(vms);
      } catch {
        // The list is a hint; membership goes on by what peers answer.
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

  /** A part that ends with an error takes the process down; the platform starts a new one. */
  async #superviseComponent(
    part: string,
    running: Promise<void>,
  ): Promise<void> {
    try {
      await running;
    } catch (error) {
      this.#components.logger.error("part failed", {
        part,
        error: String(error),
      });
      process.exitCode = 1;
      await this.stop();
      process.exit(1);
    }
  }
}
