/**
 * Runs all stand-ins of a deployment in one process, with an HTTP interface to control them.
 *
 * @module
 */
import type Koa from "koa";
import type { ListedVm } from "heatherarch-log";
import type { Fleet, Target } from "heatherarch-settings";
import { EngineServer } from "./engine_server.ts";
import { DEFAULT_SPEEDS, type EngineSpeeds } from "./engine_simulation.ts";
import { readJsonBody, StandinServer } from "./http_server.ts";
import type { LogFaults, MemoryLogOptions } from "./memory_log.ts";
import { PlatformServer } from "./platform_server.ts";
import { ServiceServer } from "./service_server.ts";

/** Options of {@linkcode StandinSet}. */
export interface StandinSetOptions {
  readonly fleet: Fleet;
  readonly speeds?: Partial<EngineSpeeds>;
  readonly reportLagMs?: number;
  /** Duration of a booking, milliseconds. */
  readonly bookingMs?: number;
  readonly log?: MemoryLogOptions;
}

/** A command to the control interface, sent as JSON. */
export type StandinCommand =
  | { readonly kind: "log"; readonly faults: Partial<LogFaults> }
  | {
    readonly kind: "vms";
    readonly vms: readonly ListedVm[];
    readonly lagMs?: number;
  }
  | { readonly kind: "crash"; readonly target: string; readonly downMs: number }
  | { readonly kind: "freeze"; readonly target: string; readonly ms: number }
  | {
    readonly kind: "leaving";
    readonly target: string;
    readonly leaving: boolean;
  }
  | {
    readonly kind: "crashInOrder";
    readonly target: string;
    readonly afterMs: number;
  }
  | {
    readonly kind: "crossAnswers";
    readonly target: string;
    readonly on: boolean;
  }
  | {
    readonly kind: "crashesOn";
    readonly target: string;
    readonly text: string;
  }
  | {
    readonly kind: "truncate";
    readonly target: string;
    readonly after: number;
  }
  | {
    readonly kind: "loseAnswers";
    readonly target: string;
    readonly on: boolean;
  };

/** What the stand-ins recorded, as the control interface returns it. */
export interface StandinLedger {
  readonly engines: Record<
    string,
    EngineServer["ledger"] & { checksFencing: boolean; role: string }
  >;
  readonly runs: readonly { key: string; requestId: string; tryId: string }[];
  readonly lastWorkAtMs: Record<string, number>;
  readonly appends: number;
}

/** The stand-ins of a deployment: its platform, engines and service targets. */
export class StandinSet {
  readonly platform: PlatformServer;
  readonly engines = new Map<string, EngineServer>();
  readonly services = new Map<string, ServiceServer>();
  readonly #options: StandinSetOptions;
  readonly #controlServer = new StandinServer((ctx) =>
    this.#handleRequest(ctx)
  );

  constructor(options: StandinSetOptions) {
    this.#options = options;
    this.platform = new PlatformServer(options.log);
  }

  /** Starts the platform, each target on its port in the fleet, and the control interface. */
  async start(ports: { platform: number; control: number }): Promise<void> {
    await this.platform.listen(ports.platform);
    for (const target of this.#options.fleet.targets) {
      await this.#startTarget(target);
    }
    await this.#controlServer.listen(ports.control);
  }

  /** Applies a command to the platform or to the target that it names. */
  runCommand(command: StandinCommand): void {
    switch (command.kind) {
      case "log":
        Object.assign(this.platform.log.faults, command.faults);
        break;
      case "vms":
        this.platform.vmListLagMs = command.lagMs ?? this.platform.vmListLagMs;
        this.platform.setVms(command.vms);
        break;
      case "crash":
        this.#getTarget(command.target).crash(command.downMs);
        break;
      case "freeze":
        this.engines.get(command.target)?.freeze(command.ms);
        break;
      case "leaving":
        this.#getTarget(command.target).setLeaving(command.leaving);
        break;
      case "crashInOrder": {
        const engine = this.engines.get(command.target);
        if (engine) engine.faults.crashDuringOrderMs = command.afterMs;
        break;
      }
      case "crossAnswers":
        this.#getTarget(command.target).faults.crossResponses = command.on;
        break;
      case "crashesOn":
        this.#getTarget(command.target).faults.crashesOn = command.text;
        break;
      case "truncate": {
        const engine = this.engines.get(command.target);
        if (engine) engine.faults.truncateAfterTokens = command.after;
        break;
      }
      case "loseAnswers": {
        const service = this.services.get(command.target);
        if (service) service.faults.loseResponses = command.on;
        break;
      }
    }
  }

  readLedger(): StandinLedger {
    const engines: StandinLedger["engines"] = {};
    const lastWorkAtMs: Record<string, number> = {};
    for (const [id, engine] of this.engines) {
      const { checksFencing } = engine.options;
      engines[id] = { ...engine.ledger, checksFencing, role: engine.role };
      lastWorkAtMs[id] = engine.ledger.lastWorkAtMs;
    }
    const runs = [];
    for (const [id, service] of this.services) {
      runs.push(...service.runs);
      lastWorkAtMs[id] = service.lastWorkAtMs;
    }
    return {
      engines,
      runs,
      lastWorkAtMs,
      appends: this.platform.log.appendCount,
    };
  }

  async close(): Promise<void> {
    await this.platform.close();
    await this.#controlServer.close();
    for (const engine of this.engines.values()) await engine.close();
    for (const service of this.services.values()) await service.close();
  }

  #getTarget(id: string): EngineServer | ServiceServer {
    const target = this.engines.get(id) ?? this.services.get(id);
    if (target === undefined) throw new Error(`no stand-in is named ${id}`);
    return target;
  }

  async #startTarget(target: Target): Promise<void> {
    const service = this.#options.fleet.services.find((entry) =>
      entry.name === target.service
    );
    const port = Number(target.address.split(":")[1]);
    if (service?.kind === "plain") {
      const server = new ServiceServer({
        id: target.id,
        bookingMs: this.#options.bookingMs,
      });
      this.services.set(target.id, server);
      await server.listen(port);
      return;
    }
    const engine = new EngineServer({
      id: target.id,
      dialect: target.dialect,
      checksFencing: target.checksFencing,
      role: target.role,
      model: service?.models[0] ?? "model",
      version: service?.version ?? "1",
      speeds: { ...DEFAULT_SPEEDS, ...this.#options.speeds },
      reportLagMs: this.#options.reportLagMs,
    });
    this.engines.set(target.id, engine);
    await engine.listen(port);
  }

  async #handleRequest(ctx: Koa.Context): Promise<void> {
    if (ctx.method === "GET") {
      ctx.body = this.readLedger();
      return;
    }
    this.runCommand(await readJsonBody<StandinCommand>(ctx));
    ctx.body = { done: true };
  }
}
