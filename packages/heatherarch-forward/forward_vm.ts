/**
 * One entry VM that forwards calls: builds all parts from its settings, starts them, and shuts
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
  RuntimeClock,
  sleep,
} from "heatherarch-core";
import { splitAddress } from "heatherarch-mesh";
import type { ForwardSettings } from "heatherarch-settings";
import { CacheSurvey } from "./tasks/cache_survey.ts";
import { CallServer } from "./calls/call_server.ts";
import { type EventLog, formatAge, StdoutEventLog } from "./event_log.ts";
import { Ingress } from "./tasks/ingress.ts";
import type { Target } from "./model.ts";
import { QuarantineKeeper } from "./tasks/quarantine_keeper.ts";
import { buildCallDependencies, SWEEP_INTERVAL_MS } from "./vm_dependencies.ts";
import {
  buildMesh,
  buildRoleController,
  buildStoreReader,
  type PlatformPorts,
  type VmComponents,
  type VmTaskOptions,
} from "./vm_tasks.ts";
import { StatusServer } from "./tasks/status_server.ts";

/** Options of {@linkcode ForwardVm}. */
export interface ForwardVmOptions {
  readonly settings: ForwardSettings;
  readonly ports: PlatformPorts;
  readonly clock?: Clock;
  readonly log?: EventLog;
}

const METRICS_PATH = "/metrics";
/** How often the end of the calls in progress is looked for while stopping, milliseconds. */
const DRAIN_LOOK_MS = 50;
/** Time to write the last lines and records before the platform ends the process. */
const EXIT_MARGIN_MS = 400;
/** Time for which an engine that another VM ordered to change gets no work; told again each heartbeat. */
const CHANGING_MS = 1500;

/** The process of one entry VM. */
export class ForwardVm {
  readonly #settings: ForwardSettings;
  readonly #ports: PlatformPorts;
  readonly #clock: Clock;
  readonly #log: EventLog;
  readonly #container: AwilixContainer<VmComponents>;
  /**
   * All parts once they are registered: the container looks a part up anew each time that it is
   * asked for, which calls and heartbeats do hundreds of times a second.
   */
  #resolved: VmComponents | undefined;
  #sweeper: NodeJS.Timeout | undefined;
  #undoViolations: (() => void) | undefined;
  #stopping = false;
  #stopped: Promise<void> | undefined;
  #liveVms = 1;

  constructor(options: ForwardVmOptions) {
    const { settings } = options;
    this.#settings = settings;
    this.#ports = options.ports;
    this.#clock = options.clock ?? new RuntimeClock();
    this.#log = options.log ??
      new StdoutEventLog({ vm: settings.vm.id, level: settings.logs.level });
    this.#container = createContainer<VmComponents>({
      injectionMode: InjectionMode.PROXY,
    });
    this.#registerBeliefs();
    this.#registerTasks();
    this.#resolved = { ...this.#container.cradle };
  }

  /** Whether this VM can serve: it knows a configuration and targets, and is not stopping. */
  get isReady(): boolean {
    const { activeConfig: configs, directory } = this.#parts;
    return !this.#stopping && configs.table !== undefined && directory.size > 0;
  }

  async start(): Promise<void> {
    const {
      ingress,
      statusServer: status,
      mesh,
      roleController: roles,
      storeReader: reading,
    } = this.#parts;
    const {
      quarantinePersistence: quarantineKeeper,
      targetListGuard: listGuard,
    } = this.#parts;
    const { listen } = this.#settings;
    this.#log.write("info", "starting", {
      pid: process.pid,
      node: process.version,
      listen,
    });
    this.#undoViolations = registerViolationListener((error) =>
      this.#log.write("error", "invariantViolated", {
        invariant: error.invariant,
        detail: error.message,
      })
    );
    this.#watchConfig();
    this.#watchQuarantine();
    this.#surveyOnceListed();
    await Promise.all([
      ingress.start(),
      this.#listenStatus(status, listen.readiness),
      this.#listenStatus(status, listen.metrics, true),
    ]);
    await mesh.start();
    reading.start();
    quarantineKeeper.start();
    roles.start();
    listGuard.recordTick();
    this.#sweeper = setInterval(() => this.#sweep(), SWEEP_INTERVAL_MS);
    this.#log.write("info", "started", { address: listen.callers });
  }

  /** Takes over settings that may change while the process runs. */
  applySettings(settings: ForwardSettings): void {
    if (this.#log instanceof StdoutEventLog) {
      this.#log.setLevel(settings.logs.level);
    }
    this.#log.write("info", "settingsReloaded", { level: settings.logs.level });
  }

  /** Settings were read anew and can't be used: those in force stay. */
  rejectSettings(faults: string): void {
    this.#log.write("error", "settingsRefused", { faults });
  }

  /** Something threw where nothing catches; the process goes on. */
  reportUncaughtError(error: unknown): void {
    this.#log.write("error", "uncaught", {
      error: String((error as Error)?.stack ?? error),
    });
  }

  /**
   * Finishes what is in progress, within the time that the platform gives, and ends. Asked again
   * meanwhile, it settles when the first request does.
   */
  stop(): Promise<void> {
    this.#stopped ??= this.#shutDown();
    return this.#stopped;
  }

  get #parts(): VmComponents {
    return this.#resolved ?? this.#container.cradle;
  }

  #registerBeliefs(): void {
    const serving = buildCallDependencies({
      settings: this.#settings,
      codec: this.#ports.codec,
      clock: this.#clock,
      log: this.#log,
      countVms: () => this.#liveVms,
      getListAgeMs: () => this.#parts.storeReader.getKnownAgeMs(),
      refreshTargetList: () => this.#parts.storeReader.refreshList(),
    });
    for (const [name, part] of Object.entries(serving)) {
      this.#container.register(name, asValue(part));
    }
  }

  #registerTasks(): void {
    const parts = this.#parts;
    const settings = this.#settings;
    const ports = this.#ports;
    const wiring: VmTaskOptions = {
      settings,
      ports,
      incarnation: createId("vm"),
      getComponents: () => this.#parts,
      onLiveVms: (count) => this.#shareLimits(count),
      onChanging: (targets) => this.#noteChanging(targets),
    };
    const callServer = new CallServer({ ...parts });
    const callers = splitAddress(settings.listen.callers);
    this.#container.register({
      ingress: asValue(
        new Ingress({
          ...callers,
          codec: parts.codec,
          server: callServer,
          clock: parts.clock,
          log: parts.log,
        }),
      ),
      statusServer: asValue(
        new StatusServer({
          metrics: parts.metrics,
          readinessPath: ports.readinessPath,
          metricsPath: METRICS_PATH,
          quarantine: parts.quarantine,
          clock: parts.clock,
          isReady: () => this.isReady,
        }),
      ),
      storeReader: asValue(buildStoreReader(wiring)),
      quarantinePersistence: asValue(
        new QuarantineKeeper({
          topic: ports.directory.quarantine,
          quarantine: parts.quarantine,
          clock: parts.clock,
          log: parts.log,
        }),
      ),
      roleController: asValue(buildRoleController(wiring)),
      mesh: asValue(buildMesh(wiring)),
    });
  }

  #watchConfig(): void {
    const { activeConfig: configs, ingress, metrics, clock } = this.#parts;
    configs.registerListener(({ table, before, source }) => {
      ingress.applyLimits(table.config.limits);
      metrics.configVersion.set(table.version);
      this.#log.write("info", "configApplied", {
        version: table.version,
        before,
        routes: table.config.routes.length,
        source,
        // Of what was known of the store before this word.
        ageMs: formatAge(configs.getAgeMs(clock.readMonotonicMs())),
      });
    });
  }

  #watchQuarantine(): void {
    const { quarantine, clock } = this.#parts;
    quarantine.registerChangeListener(({ kind, request, isOwn }) => {
      const source = isOwn ? "own" : "peer";
      const held = quarantine.findQuarantined(request, clock.readMonotonicMs());
      if (kind === "cleared") {
        this.#log.write("info", "quarantineLifted", { request, source });
      } else if (held !== undefined) {
        this.#log.write("warn", "requestQuarantined", {
          request,
          source,
          account: held.account,
          endedTargets: held.lives,
          holdMs: Math.round(held.untilMs - held.sinceMs),
        });
      }
    });
  }

  /** Surveys the engines' caches as soon as they are listed. */
  #surveyOnceListed(): void {
    const parts = this.#parts;
    const listReaders = (): Target[] =>
      parts.directory.listAll().filter((target) => target.role === "prefill");
    const timer = setInterval(() => {
      if (this.#stopping) return clearInterval(timer);
      if (listReaders().length === 0 || !parts.mesh.hasList) return;
      clearInterval(timer);
      const survey = new CacheSurvey({
        vmId: this.#settings.vm.id,
        clock: parts.clock,
        codec: parts.codec,
        prompts: parts.prefixIndex,
        connections: parts.connections,
        events: parts.log,
        listReaders,
        listLiveVms: () => parts.mesh.listDutyVms(),
      });
      void survey.run(() => parts.mesh.hasDuty);
    }, SWEEP_INTERVAL_MS);
  }

  #shareLimits(liveVms: number): void {
    const { retryBudget: allowance, connections, metrics } = this.#parts;
    this.#liveVms = liveVms;
    allowance.setLiveVms(liveVms);
    connections.setLiveVms(liveVms);
    metrics.liveVms.set(liveVms);
  }

  #noteChanging(targets: readonly string[]): void {
    const nowMs = this.#clock.readMonotonicMs();
    for (const id of targets) {
      this.#parts.directory.markChangingRole(id, nowMs + CHANGING_MS, nowMs);
    }
  }

  #sweep(): void {
    const { directory, roleController: roles, targetListGuard: listGuard } =
      this.#parts;
    const {
      mesh,
      storeReader: reading,
      metrics,
      prefillQueue: readQueue,
      activeConfig: configs,
      clock,
    } = this.#parts;
    listGuard.recordTick();
    metrics.promptsWaiting.set(readQueue.size);
    reading.share(mesh.hasToRead(), mesh.hasDuty);
    mesh.tend();
    metrics.listAge.set(reading.getKnownAgeMs() / 1000);
    metrics.configAge.set(configs.getAgeMs(clock.readMonotonicMs()) / 1000);
    this.#sweepQuarantine();
    reading.forgetDropped("otherIncarnation");
    const gone = directory.dropExpired(this.#clock.readMonotonicMs());
    metrics.targets.set(directory.size);
    reading.forgetDropped("grace");
    for (const id of gone) {
      this.#log.write("info", "targetGone", {
        target: id,
        reason: "not listed again after an outage of the store",
      });
    }
    this.#noteChanging(roles.listChanging());
  }

  #sweepQuarantine(): void {
    const { quarantine, metrics } = this.#parts;
    if (quarantine.isEmpty) return;
    const nowMs = this.#clock.readMonotonicMs();
    quarantine.expire(nowMs);
    metrics.requestsQuarantined.set(quarantine.listQuarantined(nowMs).length);
  }

  async #listenStatus(
    status: StatusServer,
    address: string,
    isForOperators = false,
  ): Promise<void> {
    const { host, port } = splitAddress(address);
    await status.listen(host, port, isForOperators);
  }

  async #shutDown(): Promise<void> {
    this.#stopping = true;
    const { ingress, mesh, roleController: roles } = this.#parts;
    const { graceSeconds, noticeMs } = this.#settings.shutdown;
    const startedAtMs = this.#clock.readMonotonicMs();
    const untilMs = startedAtMs + graceSeconds * 1000 - EXIT_MARGIN_MS;
    this.#log.write("info", "stopping", { openCalls: ingress.openCalls });
    ingress.beginDrain();
    await Promise.all([roles.stop(), mesh.leave(), sleep(noticeMs)]);
    ingress.closeListener();
    while (
      ingress.openCalls > 0 && this.#clock.readMonotonicMs() < untilMs
    ) await sleep(DRAIN_LOOK_MS);
    this.#log.write("info", "stopped", {
      openCalls: ingress.openCalls,
      tookMs: Math.round(this.#clock.readMonotonicMs() - startedAtMs),
    });
    await this.#closeAll();
  }

  async #closeAll(): Promise<void> {
    const { ingress, statusServer: status, mesh, connections } = this.#parts;
    clearInterval(this.#sweeper);
    this.#undoViolations?.();
    this.#parts.storeReader.stop();
    this.#parts.quarantinePersistence.stop();
    ingress.closeAll();
    status.close();
    mesh.stop();
    await connections.close();
  }
}
