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
import type { TryOutcome } from "../state/target_health.ts";

/** How a try ended, up to the head of its answer. */
export type AttemptResult =
  /** An answer to this call; the body follows. */
  | {
    readonly kind: "answer";
    readonly head: ResponseHead;
    readonly metadata: ResponseMetadata;
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
  readonly context: CallContext;
  readonly target: Target;
  readonly exchange: TargetExchange;
  readonly stage: string;
  /** Longest wait for the head, milliseconds; undefined waits as long as the call. */
  readonly timeoutMs?: number;
  /** Past the time limit, wait on as long as the target answers other calls. */
  readonly extendsWhileAlive?: boolean;
}

/** A target that has answered another call within this time is alive, milliseconds. */
const ALIVE_WINDOW_MS = 500;
/**
 * An engine that refused a request for its role gets no work for this long, milliseconds; by
 * then its entry in the list has told the role (entries are written every 1.2 s).
 */
const OTHER_ROLE_AVOID_MS = 1500;
const SUCCESS_STATUS = { least: 200, most: 299 };

/** Whether a status says that all went well. */
export function isSuccessStatus(status: number): boolean {
  return status >= SUCCESS_STATUS.least && status <= SUCCESS_STATUS.most;
}

/** Waits for the head of an answer, judges it, and notes what it says of the target. */
export async function awaitAttempt(
  options: AwaitAttemptOptions,
): Promise<AttemptResult> {
  const { context, target, exchange, stage } = options;
  const stopTimer = startSilenceTimer(options);
  let result: AttemptResult;
  try {
    result = classifyHead(context, target, exchange, await exchange.head);
  } catch (error) {
    if (!(error instanceof ExchangeError)) throw error;
    result = classifyError(error);
  } finally {
    stopTimer();
  }
  if (context.hasEnded) return { kind: "over" };
  recordResult(context, target, stage, result);
  return result;
}

/** Gives the exchange up when its target stays silent; returns what ends the watch. */
function startSilenceTimer(options: AwaitAttemptOptions): () => void {
  const {
    context,
    target,
    exchange,
    timeoutMs,
    extendsWhileAlive = false,
  } = options;
  if (timeoutMs === undefined) return () => undefined;
  const sentAtMs = context.nowMs;
  let timer: NodeJS.Timeout;
  const checkSilence = (): void => {
    const heardAtMs = context.dependencies.health.getLastAnswerAtMs(target.id);
    if (extendsWhileAlive && context.nowMs - heardAtMs < ALIVE_WINDOW_MS) {
      timer = setTimeout(checkSilence, ALIVE_WINDOW_MS);
      return;
    }
    exchange.abort(`silent for ${Math.round(context.nowMs - sentAtMs)} ms`);
  };
  timer = setTimeout(checkSilence, timeoutMs);
  return () => clearTimeout(timer);
}

function classifyError(
  { fault, message: reason }: ExchangeError,
): AttemptResult {
  const isWithheld = fault === "withheld";
  if (fault === "notSent" || isWithheld) {
    return { kind: "notSent", reason, isWithheld };
  }
  return { kind: "lost", reason };
}

function classifyHead(
  context: CallContext,
  target: Target,
  exchange: TargetExchange,
  head: ResponseHead,
): AttemptResult {
  const metadata = context.dependencies.codec.decodeResponse(
    head.status,
    head.headers,
  );
  if (metadata.callId !== undefined && metadata.callId !== context.call.id) {
    exchange.abort("answer to another call");
    return { kind: "lost", reason: `answer to call ${metadata.callId}` };
  }
  if (metadata.misdirected) {
    exchange.abort("misdirected");
    const { answeredBy } = metadata;
    const isOther = answeredBy !== undefined &&
      answeredBy !== (target.instance ?? target.id);
    return {
      kind: "notRun",
      reason: `misdirected, answered by ${answeredBy ?? "nobody named"}`,
      refusal: isOther ? "otherIncarnation" : "otherRole",
    };
  }
  if (metadata.notRun) {
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
  return { kind: "answer", head, metadata };
}

function ignore(): void {
  // Nothing is done with the rest of a refusal.
}

/** Tells the beliefs and the log how a try went. */
function recordResult(
  context: CallContext,
  target: Target,
  stage: string,
  result: AttemptResult,
): void {
  const { health, directory, crashDetector, log, metrics } =
    context.dependencies;
  const outcome = result.kind === "answer"
    ? String(result.head.status)
    : result.kind;
  metrics.tries.inc({ stage, outcome });
  const nowMs = context.nowMs;
  if (result.kind === "notRun" && result.refusal === "otherIncarnation") {
    directory.markReplaced(target.id);
    health.forget(target.id);
    crashDetector.recordCrash(target.id, "replaced");
  }
  if (result.kind === "notRun" && result.refusal === "otherRole") {
    health.avoidUntil(target.id, nowMs + OTHER_ROLE_AVOID_MS);
  }
  const isWithheld = result.kind === "notSent" && result.isWithheld;
  const isNowAvoided = !isWithheld &&
    health.recordOutcome(target.id, rateResult(result), nowMs);
  if (isNowAvoided) {
    log.write("warn", "targetAvoided", {
      call: context.call.id,
      target: target.id,
      address: target.address,
      stage,
      reason: "reason" in result ? result.reason : outcome,
    });
  }
  if (result.kind === "answer") return;
  log.write("info", "tryEnded", {
    call: context.call.id,
    target: target.id,
    stage,
    outcome: result.kind,
    reason: "reason" in result ? result.reason : undefined,
    atMs: Math.round(nowMs - context.call.arrivedAtMs),
  });
}

function rateResult(result: AttemptResult): TryOutcome {
  switch (result.kind) {
    case "answer":
      return result.head.status >= 500 ? "failed" : "answered";
    case "notSent":
      return "unreachable";
    case "notRun":
    case "lost":
      return "failed";
    case "over":
      return "answered";
  }
}
