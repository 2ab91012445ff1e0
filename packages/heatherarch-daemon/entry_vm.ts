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
import { buildGateway, REMOTE_READ_MS } from "./gateway_parts.ts";
import { HeartbeatBuilder } from "./heartbeat_builder.ts";
import { INVARIANT_VIOLATED, type Logger } from "./logger.ts";
import { Metrics } from "./metrics.ts";
import { OperatorServer } from "./operator_server.ts";
import {
  buildClaims,
  buildConfigReader,
  buildControl,
  buildExecutor,
  buildMesh,
  buildQuarantine,
  buildRequestWatch,
  buildTable,
  buildWatcher,
  buildZoneView,
  type Parts,
  readCertificate,
} from "./parts.ts";
import { publishChange } from "./publisher.ts";
import { buildStatus } from "./status_report.ts";

/** Options of {@linkcode EntryVm}. */
export interface EntryVmOptions {
  readonly settings: ProcessSettings;
  readonly logger: Logger;
}

const DEMAND_WINDOW_MS = 3000;
const REPORT_LAG_MS = 300;
const METRICS_MS = 1000;
const FLUSH_MS = 5000;
/** How long a VM waits for a first sight of targets before it calls itself ready. */
const TARGETS_GRACE_MS = 5000;

/** The process. */
export class EntryVm {
  readonly #container: AwilixContainer<Parts>;
  readonly #timers: NodeJS.Timeout[] = [];
  #undoViolations: (() => void) | undefined;
  #leaving = false;
  #closedToCallers = false;
  #stopping: Promise<void> | undefined;
  /** Monotonic time from which there was a configuration to serve by. */
  #servingFromMs: number | undefined;

  constructor(options: EntryVmOptions) {
    this.#container = createContainer<Parts>({
      injectionMode: InjectionMode.PROXY,
    });
    this.#register(options);
  }

  get #parts(): Parts {
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
    } = this.#parts;
    const { logger, gateway, operators } = this.#parts;
    this.#undoViolations = registerViolationListener((error) =>
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
      this.#takeHeartbeat(heartbeat, from)
    );
    mesh.registerCall("stream.read", async (body) => {
      const { requestId, from } = body as { requestId: string; from: number };
      return await gateway.store.readNext(requestId, from, REMOTE_READ_MS / 3);
    });
    this.#parts.membership.noteListed(settings.mesh.peers);
    await mesh.start();
    void this.#guard("config", config.run());
    void this.#guard("control", control.run());
    void this.#guard("executor", executor.run());
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
    this.#timers.push(setInterval(() => this.#updateMetrics(), METRICS_MS));
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
    } = this.#parts;
    logger.info("shutting down", { inFlight: gateway.inFlight });
    this.#leaving = true;
    mesh.sendHeartbeats();
    executor.stop();
    await sleep(settings.shutdown.noticeMs);
    this.#closedToCallers = true;
    const drained = await gateway.drain(settings.shutdown.drainTimeoutMs);
    const until = performance.now() + FLUSH_MS;
    while (executor.isBusy && performance.now() < until) await sleep(20);
    await control.resign();
    await claims.flush(FLUSH_MS);
    for (const timer of this.#timers) clearInterval(timer);
    this.#parts.watcher.stop();
    config.stop();
    this.#undoViolations?.();
    gateway.close();
    this.#parts.operators.close();
    mesh.stop();
    await this.#parts.table.close();
    logger.info("stopped", { drained, inFlight: gateway.inFlight });
  }

  #register({ settings, logger }: EntryVmOptions): void {
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
      table: asFunction(buildTable).singleton(),
      mesh: asFunction(buildMesh).singleton(),
      config: asFunction(buildConfigReader).singleton(),
      control: asFunction(buildControl).singleton(),
      claims: asFunction(buildClaims).singleton(),
      quarantine: asFunction(buildQuarantine).singleton(),
      requests: asFunction(buildRequestWatch).singleton(),
      executor: asFunction(buildExecutor).singleton(),
      watcher: asFunction(buildWatcher).singleton(),
      heartbeats: asFunction((parts: Parts) => this.#buildHeartbeats(parts))
        .singleton(),
      gateway: asFunction((parts: Parts) =>
        buildGateway(parts, () => this.#readRefusal())
      ).singleton(),
      operators: asFunction((parts: Parts) => this.#buildOperators(parts))
        .singleton(),
    });
  }

  #buildHeartbeats(parts: Parts): HeartbeatBuilder {
    const { identity, membership, table, config, control, demand, clock } =
      parts;
    return new HeartbeatBuilder({
      vmId: identity.id,
      availabilityZone: identity.availabilityZone,
      membership,
      table,
      subsetSize: parts.settings.targets.subsetSize,
      isPlanner: (vmId) => control.isCandidate(vmId),
      readIntervalMs: () => this.#parts.mesh.intervalMs,
      readProgress: () => ({
        configOffset: config.state.offset,
        controlOffset:
          table.getChanging(identity.availabilityZone).controlOffset,
        leaving: this.#leaving,
      }),
      readDemand: () => demand.read(clock.readMonotonicMs()),
      listCrashes: (cursor) =>
        parts.quarantine.listReports(cursor, clock.readMonotonicMs()),
    });
  }

  #buildOperators(parts: Parts): OperatorServer {
    const { settings, config, table, metrics } = parts;
    const tls = settings.listen.operatorsTls;
    return new OperatorServer({
      settings,
      readConfig: () => config.state,
      readStatus: () => buildStatus(this.#parts, this.#leaving),
      readMetrics: () => {
        this.#updateMetrics();
        return metrics.registry.metrics();
      },
      readUnready: () => this.#readUnready(),
      publish: (request) => publishChange(this.#parts, request),
      markLeaving: (target) => {
        table.leaving.mark(target, config.state.offset);
        this.#parts.mesh.sendHeartbeats();
      },
    }, tls === undefined ? {} : { tls: readCertificate(tls) });
  }

  #readRefusal(): ServeError | undefined {
    if (this.#closedToCallers) {
      return new ServeError("shuttingDown", "this VM is shutting down");
    }
    const { config } = this.#parts;
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
  #readUnready(): string | undefined {
    if (this.#leaving) return "shutting down";
    const refusal = this.#readRefusal();
    if (refusal !== undefined) return refusal.message;
    const { table, clock } = this.#parts;
    const nowMs = clock.readMonotonicMs();
    this.#servingFromMs ??= nowMs;
    // With every target out of reach the VM is as good as any other after a while.
    if (nowMs - this.#servingFromMs > TARGETS_GRACE_MS) return undefined;
    const unseen = this.#parts.config.state.fleet?.services.find((service) =>
      table.listCandidates(service.name).length === 0
    );
    return unseen && `no target of ${unseen.name} has been seen yet`;
  }

  /** One model serves all model services: the first one's speeds are its start. */
  #applySpeeds(): void {
    const { config, model } = this.#parts;
    const services = config.state.fleet?.services ?? [];
    const first = services.find((service) => service.kind === "model");
    if (first?.kind === "model") model.setSpeeds(first.speeds);
  }

  #takeHeartbeat(heartbeat: Heartbeat, from: LinkIdentity): void {
    const { table, zones, quarantine, clock } = this.#parts;
    for (const mark of heartbeat.leavingTargets ?? []) {
      table.leaving.mark(mark.target, mark.sinceOffset);
    }
    for (const row of heartbeat.reports ?? []) table.noteReport(row, from.id);
    table.refreshReports(from.id);
    if (heartbeat.crashes !== undefined) {
      quarantine.mergePeerReports(heartbeat.crashes, clock.readMonotonicMs());
    }
    zones.noteHeartbeat(heartbeat, from);
    if (heartbeat.changing !== undefined) {
      const [controlOffset, targets] = heartbeat.changing;
      table.applyChanging(from.availabilityZone, { controlOffset, targets });
    }
  }

  async #pollVmList(): Promise<void> {
    const { settings, vmList, membership, watcher } = this.#parts;
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
        watcher.noteListed(vms);
      } catch {
        // The list is a hint; membership goes on by what peers answer.
      }
      await sleep(settings.platform.vmListIntervalMs);
    }
  }

  #updateMetrics(): void {
    const { metrics, config, control, gateway, membership, mesh, clock } =
      this.#parts;
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
    gateway.sweep();
  }

  /** A part that ends with an error takes the process down; the platform starts a new one. */
  async #guard(part: string, running: Promise<void>): Promise<void> {
    try {
      await running;
    } catch (error) {
      this.#parts.logger.error("part failed", { part, error: String(error) });
      process.exitCode = 1;
      await this.stop();
      process.exit(1);
    }
  }
}
