/**
 * What the end of a try means: whether the target ran it, and what that says of the target.
 *
 * @module
 */
import type { CallContext } from "./call_context.ts";
import type { Target } from "../model.ts";
import type { ResponseMetadata } from "../ports.ts";
import {
  ExchangeError,
  type ResponseHead,
  type TargetExchange,
} from "./target_exchange.ts";
import type { AttemptOutcome } from "../state/target_health.ts";

/** How a try ended, up to the head of its answer. */
export type AttemptResult =
  /** An answer to this call; the body follows. */
  | {
    readonly kind: "answer";
    readonly head: ResponseHead;
    readonly facts: ResponseMetadata;
  }
  /** Nothing reached the target; with `isWithheld` it was not tried. */
  | {
    readonly kind: "notSent";
    readonly reason: string;
    readonly isWithheld: boolean;
  }
  /** The target refused and will not run it. */
  | {
    readonly kind: "notRun";
    readonly reason: string;
    readonly refusal: RefusalReason;
  }
  /** The target may have run it, and there is no answer to pass on. */
  | { readonly kind: "lost"; readonly reason: string }
  /** The call ended meanwhile. */
  | { readonly kind: "over" };

/** Why a target did not run a request: it is full, or not the one that was meant, or in another role. */
export type RefusalReason = "declined" | "otherIncarnation" | "otherRole";

/** Options of {@linkcode awaitAttempt}. */
export interface AwaitAttemptOptions {
  readonly run: CallContext;
  readonly target: Target;
  readonly exchange: TargetExchange;
  readonly stage: string;
  /** Longest wait for the head, milliseconds; undefined waits as long as the call. */
  readonly timeoutMs?: number;
  /** Past the time limit, wait on as long as the target answers other calls. */
  readonly extendsWhileAlive?: boolean;
}

/** A target that has answered another call within this time is alive, milliseconds. */
const ALIVE_MS = 500;
/**
 * An engine that refused a request for its role gets no work for this long, milliseconds; by
 * then its entry in the list has told the role (entries are written every 1.2 s).
 */
const OTHER_ROLE_REST_MS = 1500;
const SUCCESS = { least: 200, most: 299 };

/** Whether a status says that all went well. */
export function isSuccessStatus(status: number): boolean {
  return status >= SUCCESS.least && status <= SUCCESS.most;
}

/** Waits for the head of an answer, judges it, and notes what it says of the target. */
export async function awaitAttempt(
  options: AwaitAttemptOptions,
): Promise<AttemptResult> {
  const { run, target, exchange, stage } = options;
  const stopTimer = startTimer(options);
  let end: AttemptResult;
  try {
    end = judgeHead(run, target, exchange, await exchange.head);
  } catch (error) {
    if (!(error instanceof ExchangeError)) throw error;
    end = judgeError(error);
  } finally {
    stopTimer();
  }
  if (run.hasEnded) return { kind: "over" };
  noteEnd(run, target, stage, end);
  return end;
}

/** Gives the exchange up when its target stays silent; returns what ends the watch. */
function startTimer(options: AwaitAttemptOptions): () => void {
  const {
    run,
    target,
    exchange,
    timeoutMs,
    extendsWhileAlive: isPatient = false,
  } = options;
  if (timeoutMs === undefined) return () => undefined;
  const sentAtMs = run.nowMs;
  let timer: NodeJS.Timeout;
  const look = (): void => {
    const heardAtMs = run.dependencies.health.getLastResponseAtMs(target.id);
    if (isPatient && run.nowMs - heardAtMs < ALIVE_MS) {
      timer = setTimeout(look, ALIVE_MS);
      return;
    }
    exchange.abort(`silent for ${Math.round(run.nowMs - sentAtMs)} ms`);
  };
  timer = setTimeout(look, timeoutMs);
  return () => clearTimeout(timer);
}

function judgeError({ fault, message: reason }: ExchangeError): AttemptResult {
  const isWithheld = fault === "withheld";
  if (fault === "notSent" || isWithheld) {
    return { kind: "notSent", reason, isWithheld };
  }
  return { kind: "lost", reason };
}

function judgeHead(
  run: CallContext,
  target: Target,
  exchange: TargetExchange,
  head: ResponseHead,
): AttemptResult {
  const facts = run.dependencies.codec.decodeResponse(
    head.status,
    head.headers,
  );
  if (facts.callId !== undefined && facts.callId !== run.call.id) {
    exchange.abort("answer to another call");
    return { kind: "lost", reason: `answer to call ${facts.callId}` };
  }
  if (facts.misdirected) {
    exchange.abort("misdirected");
    const { answeredBy } = facts;
    const isOther = answeredBy !== undefined &&
      answeredBy !== (target.instance ?? target.id);
    return {
      kind: "notRun",
      reason: `misdirected, answered by ${answeredBy ?? "nobody named"}`,
      refusal: isOther ? "otherIncarnation" : "otherRole",
    };
  }
  if (facts.notRun) {
    // The body is of no interest; reading it keeps the connection.
    exchange.setBodyListener({
      onData: ignore,
      onEnd: ignore,
      onFault: ignore,
    });
    return {
      kind: "notRun",
      reason: `refused with ${head.status}`,
      refusal: "declined",
    };
  }
  if (head.headers["content-encoding"] !== undefined) {
    exchange.abort("encoded body");
    return { kind: "lost", reason: "answer in an encoding nobody asked for" };
  }
  return { kind: "answer", head, facts };
}

function ignore(): void {
  // Nothing is done with the rest of a refusal.
}

/** Tells the beliefs and the log how a try went. */
function noteEnd(
  run: CallContext,
  target: Target,
  stage: string,
  end: AttemptResult,
): void {
  const { health, directory, crashDetector: losses, log, metrics } =
    run.dependencies;
  const outcome = end.kind === "answer" ? String(end.head.status) : end.kind;
  metrics.tries.inc({ stage, outcome });
  const nowMs = run.nowMs;
  if (end.kind === "notRun" && end.refusal === "otherIncarnation") {
    directory.markReplaced(target.id);
    health.forget(target.id);
    losses.recordCrash(target.id, "replaced");
  }
  if (end.kind === "notRun" && end.refusal === "otherRole") {
    health.avoidUntil(target.id, nowMs + OTHER_ROLE_REST_MS);
  }
  const isWithheld = end.kind === "notSent" && end.isWithheld;
  const isNowAvoided = !isWithheld &&
    health.recordOutcome(target.id, rateEnd(end), nowMs);
  if (isNowAvoided) {
    log.write("warn", "targetAvoided", {
      call: run.call.id,
      target: target.id,
      address: target.address,
      stage,
      reason: "reason" in end ? end.reason : outcome,
    });
  }
  if (end.kind === "answer") return;
  log.write("info", "tryEnded", {
    call: run.call.id,
    target: target.id,
    stage,
    outcome: end.kind,
    reason: "reason" in end ? end.reason : undefined,
    atMs: Math.round(nowMs - run.call.arrivedAtMs),
  });
}

function rateEnd(end: AttemptResult): AttemptOutcome {
  switch (end.kind) {
    case "answer":
      return end.head.status >= 500 ? "failed" : "answered";
    case "notSent":
      return "unreachable";
    case "notRun":
    case "lost":
      return "failed";
    case "over":
      return "answered";
  }
}
