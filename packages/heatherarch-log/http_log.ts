/**
 * Client of the platform's log over HTTP.
 *
 * @module
 */
import { Agent, request } from "undici";
import { readBytes } from "heatherarch-core";
import { z } from "zod";
import {
  type LogPort,
  type LogSlice,
  LogUnavailableError,
  type ReadOptions,
} from "./log_port.ts";

/** A read asks for a thousand records, and a record holds a change of the configuration. */
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;
const APPEND_RESPONSE = z.object({ offset: z.int().min(0) });
const READ_RESPONSE = z.object({
  records: z.array(
    z.object({ offset: z.int(), appendedAtMs: z.number(), data: z.unknown() }),
  ),
  first: z.int().min(0),
  next: z.int().min(0),
});

/** Options of {@linkcode HttpLog}. */
export interface HttpLogOptions {
  /** Base URL. A trailing slash is removed. */
  readonly url: string;
  /** Timeout of a call, milliseconds. The wait that a read requests is added to it. */
  readonly timeoutMs?: number;
}

/** Client of the platform's log: `POST /streams/NAME` and `GET /streams/NAME?from=N`. */
export class HttpLog implements LogPort {
  readonly #url: string;
  readonly #timeoutMs: number;
  #agent = createAgent();

  constructor(options: HttpLogOptions) {
    this.#url = options.url.replace(/\/$/, "");
    this.#timeoutMs = options.timeoutMs ?? 2000;
  }

  async append(stream: string, data: unknown): Promise<number> {
    const body = JSON.stringify({ data });
    const response = await this.#call(
      `/streams/${stream}`,
      "POST",
      this.#timeoutMs,
      { body },
    );
    const parsed = APPEND_RESPONSE.safeParse(response);
    if (!parsed.success) {
      throw new LogUnavailableError("invalid response to an append");
    }
    return parsed.data.offset;
  }

  async read(
    stream: string,
    from: number,
    options: ReadOptions = {},
  ): Promise<LogSlice> {
    const { maxRecords = 1000, waitMs = 0, signal } = options;
    const path =
      `/streams/${stream}?from=${from}&max=${maxRecords}&waitMs=${waitMs}`;
    const response = await this.#call(path, "GET", this.#timeoutMs + waitMs, {
      signal,
    });
    const parsed = READ_RESPONSE.safeParse(response);
    if (!parsed.success) {
      throw new LogUnavailableError("invalid response to a read");
    }
    return parsed.data as LogSlice;
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #call(
    path: string,
    method: "GET" | "POST",
    timeoutMs: number,
    options: { body?: string; signal?: AbortSignal },
  ): Promise<unknown> {
    const timeout = AbortSignal.timeout(timeoutMs);
    const signal = options.signal
      ? AbortSignal.any([timeout, options.signal])
      : timeout;
    const agent = this.#agent;
    try {
      const response = await request(this.#url + path, {
        method,
        body: options.body,
        headers: options.body ? { "content-type": "application/json" } : {},
        dispatcher: agent,
        signal,
      });
      const bytes = await readBytes(response.body, {
        maxBytes: MAX_RESPONSE_BYTES,
      });
      if (response.statusCode === 200) {
        return JSON.parse(bytes.toString("utf8"));
      }
      throw new LogUnavailableError(`status ${response.statusCode}`);
    } catch (error) {
      if (error instanceof LogUnavailableError) throw error;
      if (timeout.aborted) this.#replaceAgent(agent);
      throw new LogUnavailableError((error as Error).message, error);
    }
  }

  /** Replaces all connections after a timeout, since idle ones may be unresponsive as well. */
  #replaceAgent(agent: Agent): void {
    if (agent !== this.#agent) return;
    this.#agent = createAgent();
    void agent.close();
  }
}

function createAgent(): Agent {
  return new Agent({ connections: 16, keepAliveTimeout: 4000 });
}
