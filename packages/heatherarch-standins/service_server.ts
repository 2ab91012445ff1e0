/**
 * A booking service stand-in: quick slot lookups, and bookings that must run at most once.
 * Its ledger keeps every run.
 *
 * @module
 */
import type Koa from "koa";
import { sleep } from "heatherarch-core";
import { readBody, StandinServer } from "./http_server.ts";

/** One booking that ran. */
export interface BookingRun {
  readonly key: string;
  readonly requestId: string;
  readonly tryId: string;
  readonly atMs: number;
}

/** Options of {@linkcode ServiceServer}. */
export interface ServiceServerOptions {
  readonly id: string;
  readonly lookupMs?: number;
  readonly bookingMs?: number;
}

/** Failures that can be switched on. */
export interface ServiceFaults {
  /** Bookings run and their connection is cut before the answer. */
  loseResponses: boolean;
  /** Answers carry another call's try id. */
  crossResponses: boolean;
  /** Running a call whose body has this text ends the process for a while; empty for none. */
  crashesOn: string;
}

/** Time for which a process that a call ended is away, milliseconds. */
const RESTART_DELAY_MS = 600;

/** One target of the booking service. */
export class ServiceServer {
  readonly options: ServiceServerOptions;
  readonly runs: BookingRun[] = [];
  readonly faults: ServiceFaults = {
    loseResponses: false,
    crossResponses: false,
    crashesOn: "",
  };
  readonly #server = new StandinServer((ctx) => this.#handleRequest(ctx));
  #runningCount = 0;
  #isDown = false;
  #isLeaving = false;
  lastWorkAtMs = 0;

  constructor(options: ServiceServerOptions) {
    this.options = options;
  }

  listen(port = 0): Promise<string> {
    return this.#server.listen(port);
  }

  close(): Promise<void> {
    return this.#server.close();
  }

  /** Cuts all connections and refuses new ones for `downMs`. */
  crash(downMs: number): void {
    this.#isDown = true;
    this.#server.destroyConnections();
    setTimeout(() => (this.#isDown = false), downMs);
  }

  setLeaving(leaving: boolean): void {
    this.#isLeaving = leaving;
  }

  async #handleRequest(ctx: Koa.Context): Promise<void> {
    if (this.#isDown) {
      ctx.req.socket.destroy();
      ctx.respond = false;
      return;
    }
    if (ctx.path === "/-/load") {
      ctx.body = { running: this.#runningCount, leaving: this.#isLeaving };
      return;
    }
    this.#runningCount++;
    this.lastWorkAtMs = Date.now();
    try {
      if (ctx.method === "GET") await this.#lookUp(ctx);
      else await this.#book(ctx);
    } finally {
      this.#runningCount--;
    }
  }

  async #lookUp(ctx: Koa.Context): Promise<void> {
    await sleep(this.options.lookupMs ?? 4);
    this.#respond(ctx, {
      path: ctx.path,
      slots: [ctx.path.length, ctx.path.length + 1],
    });
  }

  async #book(ctx: Koa.Context): Promise<void> {
    const body = await readBody(ctx);
    this.runs.push({
      key: ctx.get("idempotency-key"),
      requestId: ctx.get("x-request-id"),
      tryId: ctx.get("x-try-id"),
      atMs: Date.now(),
    });
    await sleep(this.options.bookingMs ?? 12);
    const { crashesOn } = this.faults;
    if (crashesOn !== "" && body.includes(crashesOn)) {
      ctx.respond = false;
      this.#server.simulateExit(RESTART_DELAY_MS);
      return;
    }
    if (this.faults.loseResponses) {
      ctx.req.socket.destroy();
      ctx.respond = false;
      return;
    }
    this.#respond(ctx, {
      booked: true,
      run: this.runs.length,
      at: this.options.id,
      echo: body,
    });
  }

  #respond(ctx: Koa.Context, body: unknown): void {
    const attemptId = ctx.get("x-try-id");
    ctx.set(
      "x-try-id",
      this.faults.crossResponses ? `${attemptId}-other` : attemptId,
    );
    ctx.body = body;
  }
}
