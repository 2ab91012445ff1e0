/**
 * Interface to a target of a plain service, and its HTTP adapter.
 *
 * @module
 */
import { buildConnector, Pool } from "undici";
import { z } from "zod";
import { reportResets, type ServiceState } from "heatherarch-core";
import { type BufferedResponse, dispatchBuffered } from "./dispatch.ts";
import type { EngineOptions } from "./engine_client.ts";

/** One attempt at a call to a plain service. */
export interface ServiceCall {
  readonly tryId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body?: Buffer;
  readonly timeoutMs: number;
  /** Called in the synchronous turn that writes the request. */
  readonly guard?: () => boolean;
}

/** Interface to one target of a plain service. */
export interface ServicePort {
  readState(options: { timeoutMs: number }): Promise<ServiceState>;
  send(call: ServiceCall): Promise<BufferedResponse>;
  close(): Promise<void>;
}

const STATE_SCHEMA = z.object({
  running: z.number().min(0),
  leaving: z.boolean().default(false),
});
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;
/** Path at which a service reports its load. */
const LOAD_PATH = "/-/load";

/** HTTP adapter for a target of a plain service. */
export class HttpService implements ServicePort {
  readonly #pool: Pool;

  constructor(options: EngineOptions) {
    const connector = buildConnector({ timeout: options.timeouts.connectMs });
    this.#pool = new Pool(`http://${options.address}`, {
      connections: options.maxConnections,
      pipelining: 1,
      connect: reportResets(connector, {
        isInUse: () => this.#pool.stats.running > 0,
      }),
    });
  }

  async readState(options: { timeoutMs: number }): Promise<ServiceState> {
    const response = await dispatchBuffered(this.#pool, {
      path: LOAD_PATH,
      method: "GET",
      timeoutMs: options.timeoutMs,
    });
    if (response.kind !== "answer") {
      throw new Error(`service load: ${response.detail}`);
    }
    return STATE_SCHEMA.parse(JSON.parse(response.body.toString("utf8")));
  }

  send(call: ServiceCall): Promise<BufferedResponse> {
    return dispatchBuffered(this.#pool, {
      path: call.path,
      method: call.method,
      headers: { ...call.headers, "x-try-id": call.tryId },
      body: call.body,
      timeoutMs: call.timeoutMs,
      guard: call.guard,
      maxResponseBytes: MAX_RESPONSE_BYTES,
    });
  }

  async close(): Promise<void> {
    await this.#pool.destroy();
  }
}
