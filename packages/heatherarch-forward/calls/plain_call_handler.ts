/**
 * Life of a call to a plain service: one target after another, as far as the kind of the call,
 * the allowance for further tries and the time left permit.
 *
 * @module
 */
import {
  type BufferedResponse,
  getResponseFraming,
  readResponse,
  writeResponse,
} from "./response_relay.ts";
import type { CallContext } from "./call_context.ts";
import type { Target } from "../model.ts";
import {
  pickLeastLoaded,
  type TargetCandidate,
} from "../scheduling/least_loaded_target.ts";
import {
  findBackoffMs,
  listAvailableTargets,
} from "../scheduling/target_selection.ts";
import { ExchangeError } from "./target_exchange.ts";
import { awaitAttempt, isSuccessStatus } from "./attempt_result.ts";

/** A further try is of no use with less time left than this, milliseconds. */
const MIN_TRY_MS = 30;
/** Tries that reach no target are cheap, but not without end. */
const MAX_TRIES = 6;
/** A silent target is given up after this many times the aim, where the call may be repeated. */
const SILENCE_AIMS = 1;
/** Wait that a refused caller is told, milliseconds; spread over as much again. */
const RETRY_AFTER_MS = 250;

type TryResult =
  | { readonly kind: "delivered" | "over" | "notSent" | "notRun" }
  | { readonly kind: "lost"; readonly reason: string }
  | { readonly kind: "answer"; readonly answer: BufferedResponse };

/** Serves one call of a plain service. */
export class PlainCallHandler {
  readonly #run: CallContext;
  readonly #tried = new Set<string>();
  /** An answer of failure, passed on when no further try is made. */
  #failure: BufferedResponse | undefined;
  #reason = "";

  constructor(run: CallContext) {
    this.#run = run;
  }

  async serve(): Promise<void> {
    const run = this.#run;
    let isFurther = false;
    for (let tries = 0; tries < MAX_TRIES && !run.hasEnded; tries++) {
      await run.awaitTargetList();
      if (run.hasEnded) return;
      const target = this.#pickTarget();
      if (target === undefined) break;
      if (isFurther && !run.spendRetry()) break;
      const result = await this.#try(target);
      if (run.hasEnded || result.kind === "delivered") return;
      if (result.kind !== "notSent") isFurther = true;
      this.#noteResult(result);
      if (!run.mayRunAgain || run.remainingMs < MIN_TRY_MS) break;
      if (!await run.mayRetry()) break;
    }
    this.#conclude();
  }

  #noteResult(result: TryResult): void {
    if (result.kind === "answer") this.#failure = result.answer;
    else if (result.kind === "lost") this.#reason = result.reason;
  }

  async #try(target: Target): Promise<TryResult> {
    const run = this.#run;
    const { codec, workTracker: ledger } = run.dependencies;
    this.#tried.add(target.id);
    const exchange = run.send(
      target,
      codec.encodeAttempt(run.call, {
        target,
        timeoutMs: run.remainingMs,
        stage: "whole",
      }),
    );
    run.recordRun();
    const endRun = ledger.beginRun(target.id, 0);
    try {
      const end = await awaitAttempt({
        run,
        target,
        exchange,
        stage: "whole",
        timeoutMs: this.#getSilenceMs(),
      });
      if (end.kind === "over") return { kind: "over" };
      if (end.kind === "notSent" || end.kind === "notRun") {
        run.undoRun();
        return { kind: end.kind };
      }
      if (end.kind === "lost") return end;
      if (isSuccessStatus(end.head.status) && !end.facts.signed) {
        exchange.abort("unsigned success");
        return { kind: "lost", reason: "success without a signature" };
      }
      const answer = await readResponse(exchange, end.head);
      if (run.hasEnded) return { kind: "over" };
      if (this.#mayBetter(end.head.status)) return { kind: "answer", answer };
      this.#deliver(answer, target);
      return { kind: "delivered" };
    } catch (error) {
      if (!(error instanceof ExchangeError)) throw error;
      return { kind: "lost", reason: error.message };
    } finally {
      endRun();
    }
  }

  /** Whether a further try may turn a failure of the target into a success. */
  #mayBetter(status: number): boolean {
    return status >= 500 && this.#run.mayRunAgain &&
      this.#run.remainingMs >= MIN_TRY_MS;
  }

  #deliver(answer: BufferedResponse, target?: Target): void {
    const run = this.#run;
    const tookMs = run.nowMs - run.call.arrivedAtMs;
    run.dependencies.metrics.firstByte.observe(
      { kind: run.route.kind },
      tookMs / 1000,
    );
    writeResponse(run.clientResponse, run.call.method, answer);
    run.finish("delivered", {
      status: answer.head.status,
      target: target?.id,
      aimMs: run.route.aimMs,
      framing: getResponseFraming(answer.head),
    });
  }

  #conclude(): void {
    const run = this.#run;
    if (run.hasEnded) return;
    if (this.#failure !== undefined) return this.#deliver(this.#failure);
    if (run.mayHaveRun) return run.fail("targetFailed", this.#reason);
    const restMs = findBackoffMs(run);
    if (restMs !== undefined) return run.refuseForBackoff(restMs);
    const spread = 1 + run.dependencies.drawUnit();
    run.refuse("noTarget", "no target took the call", {
      retryAfterMs: RETRY_AFTER_MS * spread,
      detail: {
        tried: [...this.#tried],
        listed: run.dependencies.directory.listServing(run.service.name).length,
      },
    });
  }

  #getSilenceMs(): number | undefined {
    const { route, mayRunAgain } = this.#run;
    if (route.kind !== "idempotent" || !mayRunAgain) return undefined;
    return route.aimMs * SILENCE_AIMS;
  }

  #pickTarget(): Target | undefined {
    const { workTracker: ledger, drawUnit } = this.#run.dependencies;
    const nowMs = this.#run.nowMs;
    const candidates = listAvailableTargets({
      run: this.#run,
      tried: this.#tried,
    })
      .map((target): TargetCandidate => ({
        target,
        runs: ledger.getRunLoad(target.id, nowMs).runs,
        kvTokens: 0,
        kvCapacityTokens: 0,
      }));
    return pickLeastLoaded(candidates, undefined, drawUnit)?.target;
  }
}
