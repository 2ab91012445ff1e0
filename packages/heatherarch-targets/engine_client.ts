/**
 * What the adapters of all dialects share: connections, JSON calls and the reading of a
 * streamed answer.
 *
 * @module
 */
import { Client, Pool } from "undici";
import type { EngineState } from "heatherarch-core";
import type { ParserFactory, ResponseParser } from "./response_parser.ts";
import {
  type BufferedResponse,
  dispatch,
  dispatchBuffered,
} from "./dispatch.ts";
import type {
  AttemptTimeouts,
  EngineAttempt,
  EngineCall,
  EngineFailure,
  EngineSink,
  OrderResponse,
} from "./engine_port.ts";

const STATUS_CONFLICT = 409;
const STATUS_FAILED_DEPENDENCY = 424;
const STATUS_UNAVAILABLE = 503;
const STATUS_TOO_MANY_REQUESTS = 429;

/** Options of an engine adapter. */
export interface EngineOptions {
  /** Address as this process must dial it. */
  readonly address: string;
  /** Most connections open at once. */
  readonly maxConnections: number;
  readonly timeouts: AttemptTimeouts;
}

/** Connections to one engine. */
export class EngineClient {
  readonly #options: EngineOptions;
  readonly #pool: Pool;

  constructor(options: EngineOptions) {
    this.#options = options;
    this.#pool = new Pool(`http://${options.address}`, {
      connections: options.maxConnections,
      pipelining: 1,
      connect: { timeout: options.timeouts.connectMs },
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Reads JSON from `path`; throws where the answer is not a 200 with JSON. */
  async readJson(
    path: string,
    options: { timeoutMs: number; fresh?: boolean },
  ): Promise<unknown> {
    const client = options.fresh ? this.#openConnection() : undefined;
    try {
      const response = await dispatchBuffered(client ?? this.#pool, {
        path,
        method: "GET",
        firstByteMs: options.timeoutMs,
        gapMs: options.timeoutMs,
      });
      if (response.kind !== "answer") {
        throw new Error(`engine state: ${response.detail}`);
      }
      if (response.status !== 200) {
        throw new Error(`engine state: status ${response.status}`);
      }
      return JSON.parse(response.body.toString("utf8"));
    } finally {
      void client?.destroy();
    }
  }

  /** Sends an order over a fresh connection that is destroyed after it. */
  async sendOrder(
    path: string,
    body: unknown,
    options: { guard: () => boolean; timeoutMs: number },
  ): Promise<OrderResponse> {
    const client = this.#openConnection();
    try {
      const response = await dispatchBuffered(client, {
        path,
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
        firstByteMs: options.timeoutMs,
        gapMs: options.timeoutMs,
        guard: options.guard,
      });
      return buildOrderResponse(response);
    } finally {
      void client.destroy();
    }
  }

  /** Starts a streamed try. */
  startAttempt(
    request: { path: string; method: string; body?: string },
    call: EngineCall,
    sink: EngineSink,
    createParser: ParserFactory,
  ): EngineAttempt {
    const { firstByteMs, gapMs } = this.#options.timeouts;
    const idleTimer = new IdleTimer({ firstByteMs, gapMs }, () => {
      closingSink.onFailure("silent", "no byte came for too long");
    });
    let parser: ResponseParser | undefined;
    let errorStatus: number | undefined;
    const closingSink = createClosingSink(sink, {
      stopTimer: () => idleTimer.stop(),
      abort: () => sent?.abort(),
    });
    const sent = dispatch(this.#pool, {
      path: request.path,
      method: request.method,
      headers: request.body === undefined
        ? {}
        : { "content-type": "application/json" },
      body: request.body,
      // The head comes before the work is done; silence is judged by the tokens.
      firstByteMs: 0,
      gapMs: 0,
    }, {
      onHead: (status) => {
        if (status === 200) parser = createParser(call, closingSink);
        else errorStatus = status;
      },
      onData: (bytes) => {
        idleTimer.recordBytes();
        parser?.push(bytes);
      },
      onDone: () => {
        if (errorStatus !== undefined) {
          closingSink.onFailure(
            classifyStatus(errorStatus),
            `status ${errorStatus}`,
          );
        } else parser?.finish();
      },
      onFailure: (failure, detail) => {
        closingSink.onFailure(
          failure === "withheld" ? "notSent" : failure,
          detail,
        );
      },
    });
    return {
      abort: () => {
        closingSink.close();
        sent.abort();
      },
      get isSent() {
        return sent.isSent;
      },
    };
  }

  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  #openConnection(): Client {
    return new Client(`http://${this.#options.address}`, {
      connect: { timeout: this.#options.timeouts.connectMs },
    });
  }
}

/** A sink that delivers nothing after its end, and destroys the connection on a failure. */
interface ClosingSink extends EngineSink {
  close(): void;
}

function createClosingSink(
  sink: EngineSink,
  hooks: { stopTimer: () => void; abort: () => void },
): ClosingSink {
  let open = true;
  return {
    close: () => {
      open = false;
      hooks.stopTimer();
    },
    onTokens: (texts) => {
      if (open) sink.onTokens(texts);
    },
    onEnd: (end) => {
      if (!open) return;
      open = false;
      hooks.stopTimer();
      sink.onEnd(end);
    },
    onFailure: (failure, detail) => {
      if (!open) return;
      open = false;
      hooks.stopTimer();
      hooks.abort();
      sink.onFailure(failure, detail);
    },
  };
}

/** Judges an answer silent: by one limit up to its first byte, by another after it. */
class IdleTimer {
  readonly #gapMs: number;
  readonly #onTimeout: () => void;
  #timer: NodeJS.Timeout;
  #hasReceived = false;

  constructor(
    limits: { firstByteMs: number; gapMs: number },
    onSilent: () => void,
  ) {
    this.#gapMs = limits.gapMs;
    this.#onTimeout = onSilent;
    this.#timer = setTimeout(onSilent, limits.firstByteMs);
  }

  recordBytes(): void {
    if (this.#hasReceived) {
      this.#timer.refresh();
      return;
    }
    this.#hasReceived = true;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(this.#onTimeout, this.#gapMs);
  }

  stop(): void {
    clearTimeout(this.#timer);
  }
}

/** What a status other than 200 means for a try. */
function classifyStatus(status: number): EngineFailure {
  if (status === STATUS_UNAVAILABLE || status === STATUS_TOO_MANY_REQUESTS) {
    return "refused";
  }
  if (status === STATUS_FAILED_DEPENDENCY) return "kvGone";
  return status >= 500 ? "broken" : "invalid";
}

function buildOrderResponse(response: BufferedResponse): OrderResponse {
  switch (response.kind) {
    case "answer":
      if (response.status === 200) return { kind: "accepted" };
      if (response.status === STATUS_CONFLICT) return { kind: "fenced" };
      return { kind: "refused", detail: `status ${response.status}` };
    case "withheld":
      return { kind: "withheld" };
    case "notSent":
      return { kind: "refused", detail: response.detail };
    default:
      return { kind: "unknown", detail: response.detail };
  }
}

/** Checks a state as read; throws where a field is not what it should be. */
export function checkEngineState(state: EngineState): EngineState {
  const counts = [
    state.running,
    state.waiting,
    state.pendingPrefillTokens,
    state.fencing,
  ];
  const areCountsValid = counts.every((count) =>
    Number.isFinite(count) && count >= 0
  );
  const roles = ["prefill", "decode", "mixed"];
  if (
    !areCountsValid || !roles.includes(state.role) ||
    typeof state.model !== "string"
  ) {
    throw new Error("engine state: a field is not what it should be");
  }
  return state;
}
