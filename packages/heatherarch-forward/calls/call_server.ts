/**
 * From a client's request to the life that serves it.
 *
 * @module
 */
import { ServeError } from "heatherarch-core";
import type { ClientResponse } from "./client_response.ts";
import { CallContext } from "./call_context.ts";
import { formatAge } from "../event_log.ts";
import { GenerationHandler } from "./generation_handler.ts";
import type {
  EngineTraits,
  ForwardedCall,
  GenerationParams,
  Route,
  ServiceSpec,
} from "../model.ts";
import { PlainCallHandler } from "./plain_call_handler.ts";
import type { RouteTable } from "../state/route_table.ts";
import type { CallDependencies } from "../call_dependencies.ts";

/** A call that says nothing of its prompt. */
const UNKNOWN_PROMPT: GenerationParams = {
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
  readonly #serving: CallDependencies;

  constructor(serving: CallDependencies) {
    this.#serving = serving;
  }

  /** Serves one call to its end. Never rejects. */
  async serve(call: ForwardedCall, response: ClientResponse): Promise<void> {
    const { metrics, log } = this.#serving;
    metrics.inFlight.inc();
    try {
      await this.#route(call, response);
    } catch (error) {
      log.write("error", "callCrashed", {
        call: call.id,
        error: String((error as Error)?.stack ?? error),
      });
      // What the call did before is not known here.
      if (response.isHeadSent) response.destroy();
      else response.fail(new ServeError("internal", "internal error"), call.id);
    } finally {
      metrics.inFlight.dec();
    }
  }

  async #route(call: ForwardedCall, caller: ClientResponse): Promise<void> {
    const { table } = this.#serving.activeConfig;
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
    const run = new CallContext({
      dependencies: this.#serving,
      call,
      route,
      service,
      configVersion: table.version,
      clientResponse: caller,
    });
    await this.#serveRun(run);
  }

  async #serveRun(run: CallContext): Promise<void> {
    if (!run.admit()) return;
    const isStream = run.route.kind === "stream" ||
      run.route.kind === "resumableStream";
    if (!isStream) return await new PlainCallHandler(run).serve();
    const prompt = run.call.generation ?? UNKNOWN_PROMPT;
    const traits = run.service.engine ?? UNKNOWN_ENGINE;
    await new GenerationHandler(run, prompt, traits).serve();
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
    caller: ClientResponse,
    kind: "notReady" | "notFound" | "noTarget",
    reason: string,
  ): void {
    const { activeConfig: configs, log, clock } = this.#serving;
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
