/**
 * HTTP client that the adapters of all dialects share: connections, JSON calls and streamed
 * responses.
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
  /** Address to which this process connects. */
  readonly address: string;
  /** Maximum number of open connections. */
  readonly maxConnections: number;
  readonly timeouts: AttemptTimeouts;
}

/** HTTP client of one engine. */
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

  /** Reads JSON from `path`. Throws if the response is not status 200 with a JSON body. */
  async readJson(
    path: string,
    options: { timeoutMs: number; fresh?: boolean },
  ): Promise<unknown> {
    const client = options.fresh ? this.#openConnection() : undefined;
    try {
      const response = await dispatchBuffered(client ?? this.#pool, {
        path,
        method: "GET",
        timeoutMs: options.timeoutMs,
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

  /** Sends an order over a new connection, which is destroyed afterwards. */
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
        timeoutMs: options.timeoutMs,
        guard: options.guard,
      });
      return buildOrderResponse(response);
    } finally {
      void client.destroy();
    }
  }

  /** Starts an attempt with a streamed response. */
  startAttempt(
    request: { path: string; method: string; body?: string },
    call: EngineCall,
    sink: EngineSink,
    createParser: ParserFactory,
  ): EngineAttempt {
    const { firstByteMs, gapMs } = this.#options.timeouts;
    const idleTimer = new IdleTimer({ firstByteMs, gapMs }, () => {
      closingSink.onFailure(
        "silent",
        "the engine sent no data within the timeout",
      );
    });
    let parser: ResponseParser | undefined;
    let errorStatus: number | undefined;
    const closingSink = createClosingSink(sink, {
      stopTimer: () => idleTimer.stop(),
      abort: () => inFlight?.abort(),
    });
    const inFlight = dispatch(this.#pool, {
      path: request.path,
      method: request.method,
      headers: request.body === undefined
        ? {}
        : { "content-type": "application/json" },
      body: request.body,
      // Engines send the response head before they do the work, so the idle timer watches the body.
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
        inFlight.abort();
      },
      get isSent() {
        return inFlight.isSent;
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

/** A sink that delivers nothing after its end, and destroys the connection after a failure. */
interface ClosingSink extends EngineSink {
  close(): void;
}

function createClosingSink(
  sink: EngineSink,
  hooks: { stopTimer: () => void; abort: () => void },
): ClosingSink {
  let isOpen = true;
  return {
    close: () => {
      isOpen = false;
      hooks.stopTimer();
    },
    onTokens: (texts) => {
      if (isOpen) sink.onTokens(texts);
    },
    onEnd: (result) => {
      if (!isOpen) return;
      isOpen = false;
      hooks.stopTimer();
      sink.onEnd(result);
    },
    onFailure: (failure, detail) => {
      if (!isOpen) return;
      isOpen = false;
      hooks.stopTimer();
      hooks.abort();
      sink.onFailure(failure, detail);
    },
  };
}

/** Detects a stalled response, with one timeout for the first byte and one for later gaps. */
class IdleTimer {
  readonly #gapMs: number;
  readonly #onTimeout: () => void;
  #timer: NodeJS.Timeout;
  #hasReceived = false;

  constructor(
    limits: { firstByteMs: number; gapMs: number },
    onTimeout: () => void,
  ) {
    this.#gapMs = limits.gapMs;
    this.#onTimeout = onTimeout;
    this.#timer = setTimeout(onTimeout, limits.firstByteMs);
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

/** Maps a response status other than 200 to a failure. */
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

/** Checks a state that was read from an engine. Throws if a field is invalid. */
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
    throw new Error("engine state: a field has an invalid value");
  }
  return state;
}
