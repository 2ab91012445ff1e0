/**
 * From a client's request to the life that serves it.
 *
 * @module
 */
import { ServeError } from "heatherarch-core";
import type { CallerPort } from "./caller_port.ts";
import { CallRun } from "./call_run.ts";
import { formatAge } from "../event_log.ts";
import { GenerationLife } from "./generation_life.ts";
import type {
  EngineTraits,
  ForwardedCall,
  GenerationFacts,
  Route,
  ServiceSpec,
} from "../model.ts";
import { PlainLife } from "./plain_life.ts";
import type { RouteTable } from "../state/route_table.ts";
import type { Serving } from "../serving.ts";

/** A call that says nothing of its prompt. */
const UNKNOWN_PROMPT: GenerationFacts = {
  model: "",
  promptTokens: 0,
  maxOutputTokens: 0,
  parts: [],
};
/** A service that says nothing of its engines. */
const UNKNOWN_ENGINE: EngineTraits = {
  slots: 1,
  kvTokens: 0,
  kvBytesPerToken: 0,
  linkMbps: 1,
  roleChangeMs: 0,
};

/** Serves calls by the configuration in force. */
export class CallServer {
  readonly #serving: Serving;

  constructor(serving: Serving) {
    this.#serving = serving;
  }

  /** Serves one call to its end. Never rejects. */
  async serve(call: ForwardedCall, caller: CallerPort): Promise<void> {
    const { metrics, log } = this.#serving;
    metrics.inFlight.inc();
    try {
      await this.#route(call, caller);
    } catch (error) {
      log.write("error", "callCrashed", {
        call: call.id,
        error: String((error as Error)?.stack ?? error),
      });
      // What the call did before is not known here.
      if (caller.isAnswered) caller.breakOff();
      else caller.fail(new ServeError("internal", "internal error"), call.id);
    } finally {
      metrics.inFlight.dec();
    }
  }

  async #route(call: ForwardedCall, caller: CallerPort): Promise<void> {
    const { table } = this.#serving.configs;
    if (table === undefined) {
      return this.#reject(call, caller, "notReady", "no configuration yet");
    }
    const route = table.findRoute(call.host, call.path);
    if (route === undefined) {
      return this.#reject(call, caller, "notFound", "no route takes the path");
    }
    const service = this.#pickService(table, route, call);
    if (service === undefined) {
      return this.#reject(call, caller, "noTarget", "route without a service");
    }
    const run = new CallRun({
      serving: this.#serving,
      call,
      route,
      service,
      configVersion: table.version,
      caller,
    });
    await this.#serveRun(run);
  }

  async #serveRun(run: CallRun): Promise<void> {
    if (!run.admit()) return;
    const isStream = run.route.kind === "stream" ||
      run.route.kind === "resumableStream";
    if (!isStream) return await new PlainLife(run).serve();
    const prompt = run.call.generation ?? UNKNOWN_PROMPT;
    const traits = run.service.engine ?? UNKNOWN_ENGINE;
    await new GenerationLife(run, prompt, traits).serve();
  }

  /** The service that the weights draw; another of the route where that one has no target. */
  #pickService(
    table: RouteTable,
    route: Route,
    call: ForwardedCall,
  ): ServiceSpec | undefined {
    const names = table.listServices(route, call.id);
    const { directory } = this.#serving;
    const served = names.find((name) => directory.listServing(name).length > 0);
    const name = served ?? names[0];
    return name === undefined ? undefined : table.findService(name);
  }

  #reject(
    call: ForwardedCall,
    caller: CallerPort,
    kind: "notReady" | "notFound" | "noTarget",
    reason: string,
  ): void {
    const { configs, log, clock } = this.#serving;
    caller.fail(new ServeError(kind, reason), call.id);
    log.write("warn", "callRejected", {
      call: call.id,
      kind,
      reason,
      host: call.host,
      path: call.path,
      configVersion: configs.version,
      configAgeMs: formatAge(configs.getAgeMs(clock.readMonotonicMs())),
    });
  }
}
