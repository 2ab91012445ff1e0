/**
 * Classifies the result of an attempt: whether the target ran the request, and what the result tells
 * about the target.
 *
 * @module
 */
import type { CallContext, RequestPlan } from "./call_context.ts";
import type { Target } from "../model.ts";
import type { ResponseMetadata } from "../ports.ts";
import { isNotRunStatus } from "./http_status.ts";
import {
  ExchangeError,
  type ResponseHead,
  type TargetExchange,
} from "./target_exchange.ts";
import { runAll, runReported } from "../report_error.ts";
import { watchPathLoss } from "./path_loss_watch.ts";
import type { AttemptOutcome } from "../state/target_health.ts";

/** Result of an attempt, up to the head of its response. */
export type AttemptResult =
  /** The head of a response to this call has arrived; the body follows. */
  | {
    readonly kind: "answer";
    readonly head: ResponseHead;
    readonly metadata: ResponseMetadata;
  }
  /** Nothing reached the target; with `isWithheld` no connection was attempted. */
  | {
    readonly kind: "notSent";
    readonly reason: string;
    readonly isWithheld: boolean;
    /** No process listens at the target's address. */
    readonly isRefused?: boolean;
    /** The request itself can't be sent, which tells nothing about the target. */
    readonly isRequestInvalid?: boolean;
  }
  /** The target refused the request and will not run it. */
  | {
    readonly kind: "notRun";
    readonly reason: string;
    readonly refusal: RefusalReason;
  }
  /** The target may have run the request, and there is no response to relay. */
  | { readonly kind: "lost"; readonly reason: string }
  /** The call ended in the meantime. */
  | { readonly kind: "over" };

/** Why a target did not run a request: it declined, is another incarnation, or has another role. */
export type RefusalReason = "declined" | "otherIncarnation" | "otherRole";

/** Options of {@linkcode awaitAttempt}. */
export interface AwaitAttemptOptions {
  readonly context: CallContext;
  readonly target: Target;
  readonly exchange: TargetExchange;
  readonly stage: string;
  /** Longest wait for the head, milliseconds; if undefined, until the call ends. */
  readonly timeoutMs?: number;
  /**
   * Whether to keep waiting after the timeout while the target responds to other calls; asked again
   * each time.
   */
  readonly extendsWhileAlive?: () => boolean;
  /**
   * Resolves with whether the call has another target to go to, so that one that stays silent may be
   * given up; by default it may. Takes nothing, as the response may arrive meanwhile.
   */
  readonly mayGiveUp?: () => Promise<boolean>;
  /** Requests that replace this one, whose retries are taken when a silent target is given up. */
  readonly replacement?: RequestPlan;
  /** Whether the attempt is a prefill, which is no run; by default it is not. */
  readonly isPrefill?: boolean;
  /**
   * Time after which the absence of any response raises the question whether this VM still reaches
   * targets, milliseconds; by default a part of the latency objective.
   */
  readonly expectedMs?: number;
}

/** Share of the latency objective after which an attempt without a response is suspicious. */
const SUSPICION_AIM_SHARE = 0.5;
/** Bounds of the time after which an attempt without a response is suspicious, milliseconds. */
const MIN_SUSPICION_MS = 75;
const MAX_SUSPICION_MS = 200;

/** A target that responded to any call within this time is considered alive, milliseconds. */
const ALIVE_WINDOW_MS = 500;
/** Interval at which a silent target that can't be replaced is checked again, milliseconds. */
const RECHECK_INTERVAL_MS = 200;
/**
 * An engine that refused a request because of its role gets no work for this long, milliseconds. By
 * then its entry in the target list shows the role (entries are written every 1.2 s).
 */
const OTHER_ROLE_AVOID_MS = 1500;

/**
 * Waits for the head of a response, classifies it, and records what it tells about the target. Never
 * rejects: an error that no code expects is a result of the attempt as well.
 */
export async function awaitAttempt(
  options: AwaitAttemptOptions,
): Promise<AttemptResult> {
  const { context, target, exchange, stage } = options;
  let result: AttemptResult;
  try {
    result = await awaitHead(options);
  } catch (error) {
    result = classifyThrown(options, error);
  }
  if (context.hasEnded) {
    exchange.abandon();
    return { kind: "over" };
  }
  try {
    recordResult(context, target, stage, result);
  } catch (error) {
    context.reportError("attempt", error, { target: target.id });
  }
  return result;
}

async function awaitHead(options: AwaitAttemptOptions): Promise<AttemptResult> {
  const { context, target, exchange } = options;
  const stops: (() => void)[] = [];
  try {
    stops.push(startSilenceTimer(options));
    stops.push(watchPath(options));
    return classifyHead(context, target, exchange, await exchange.head);
  } finally {
    runAll(stops);
  }
}

/** The attempt in which an error came up. */
export interface FailedAttempt {
  readonly context: CallContext;
  readonly target: Target;
  readonly exchange: TargetExchange;
}

/**
 * Classifies what was thrown in an attempt, and ends its exchange. An error that no code expects is
 * reported; the attempt then counts as lost, or as not sent if nothing was written.
 */
export function classifyThrown(
  { context, target, exchange }: FailedAttempt,
  thrown: unknown,
): Extract<AttemptResult, { kind: "lost" | "notSent" }> {
  if (thrown instanceof ExchangeError) {
    if (thrown.fault === "lost") context.recordLoss("connection");
    return classifyError(thrown);
  }
  context.reportError("attempt", thrown, { target: target.id });
  const reason = `internal error: ${(thrown as Error)?.message ?? thrown}`;
  const fault = exchange.isSent ? "aborted" : "notSent";
  exchange.abort(reason);
  return classifyError(new ExchangeError(fault, reason, thrown));
}

/** Aborts the exchange if its target stays silent. Returns a function that stops the timer. */
function startSilenceTimer(options: AwaitAttemptOptions): () => void {
  const {
    context,
    target,
    exchange,
    timeoutMs,
    extendsWhileAlive = () => false,
    mayGiveUp = () => Promise.resolve(true),
    replacement,
  } = options;
  if (timeoutMs === undefined) return () => undefined;
  const sentAtMs = context.nowMs;
  const { readBarrier } = context.dependencies;
  let timer: NodeJS.Timeout;
  let isStopped = false;
  /** Resolves with the time until the next check; undefined if there is none. */
  const checkSilence = async (): Promise<number | undefined> => {
    // A response that has arrived is no silence, although the timer runs before it is read.
    await readBarrier.awaitRead();
    if (isStopped) return undefined;
    const lastResponseAtMs = context.dependencies.health.getLastResponseAtMs(
      target.id,
    );
    if (
      extendsWhileAlive() &&
      context.nowMs - lastResponseAtMs < ALIVE_WINDOW_MS
    ) return ALIVE_WINDOW_MS;
    const isReplaceable = await mayGiveUp();
    if (isStopped) return undefined;
    if (!isReplaceable || !takeReplacement(context, replacement)) {
      return RECHECK_INTERVAL_MS;
    }
    context.recordLoss("silence");
    exchange.abort(
      `no response for ${Math.round(context.nowMs - sentAtMs)} ms`,
    );
    return undefined;
  };
  const checkAgain = async (): Promise<void> => {
    let nextMs: number | undefined = RECHECK_INTERVAL_MS;
    try {
      nextMs = await checkSilence();
    } finally {
      if (nextMs !== undefined && !isStopped) startTimer(nextMs);
    }
  };
  const startTimer = (ms: number): void => {
    timer = setTimeout(
      () => runReported(context.dependencies, "watch", checkAgain),
      ms,
    );
  };
  startTimer(timeoutMs);
  return () => {
    isStopped = true;
    clearTimeout(timer);
  };
}

/** Takes the retries of a replacement. Asks first, since a denial is logged and this is repeated. */
export function takeReplacement(
  context: CallContext,
  replacement: RequestPlan | undefined,
): boolean {
  if (replacement === undefined) return true;
  return context.mayReserve(replacement) && context.reserve(replacement);
}

/**
 * Has the path to targets checked while there is no response. If the path is lost, aborts an attempt
 * that is not sent, or may be repeated and goes on at a peer. Returns a function that stops this.
 */
function watchPath(options: AwaitAttemptOptions): () => void {
  const { context, target, exchange, timeoutMs, isPrefill } = options;
  const { expectedMs = computeSuspicionMs(context.route.aimMs) } = options;
  const { pathMonitor } = context.dependencies;
  const removeListener = pathMonitor.registerLossListener(
    target.service,
    () => {
      if (!exchange.isSent && !pathMonitor.hasPathTo(target)) {
        exchange.abort("path lost");
      }
    },
  );
  const isRepeatable = timeoutMs !== undefined;
  const stopWatch = isRepeatable
    ? watchPathLoss({ context, target, exchange, isPrefill })
    : () => undefined;
  const checkPath = (): void => {
    const silentMs = context.nowMs - pathMonitor.getLastContactAtMs(target);
    if (silentMs >= expectedMs) pathMonitor.recordTrouble(target);
  };
  const timer = setInterval(
    () => runReported(context.dependencies, "watch", checkPath),
    expectedMs,
  );
  return () => {
    clearInterval(timer);
    removeListener();
    stopWatch();
  };
}

function computeSuspicionMs(aimMs: number): number {
  const byAimMs = aimMs * SUSPICION_AIM_SHARE;
  return Math.min(MAX_SUSPICION_MS, Math.max(MIN_SUSPICION_MS, byAimMs));
}

function classifyError(
  error: ExchangeError,
): Extract<AttemptResult, { kind: "lost" | "notSent" }> {
  const { fault, message: reason, isConnectionRefused: isRefused } = error;
  const isWithheld = fault === "withheld";
  if (fault === "notSent" || isWithheld) {
    const { isRequestInvalid } = error;
    return { kind: "notSent", reason, isWithheld, isRefused, isRequestInvalid };
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
  // Other bytes belong to no request or to an earlier one, and what they promise is not about this attempt.
  if (metadata.callId !== context.call.id) {
    const owner = metadata.callId === undefined
      ? "names no call"
      : `belongs to call ${metadata.callId}`;
    exchange.abort(`response ${owner}`);
    return { kind: "lost", reason: `response ${owner}` };
  }
  if (metadata.misdirected) {
    exchange.abort("misdirected");
    const { answeredBy } = metadata;
    const isOther = answeredBy !== undefined &&
      answeredBy !== (target.instance ?? target.id);
    return {
      kind: "notRun",
      reason: `misdirected, answered by ${answeredBy ?? "an unnamed target"}`,
      refusal: isOther ? "otherIncarnation" : "otherRole",
    };
  }
  if (metadata.notRun) {
    exchange.discardBody();
    return {
      kind: "notRun",
      reason: `refused with ${head.status}`,
      refusal: "declined",
    };
  }
  // Passed on, the status would promise what the target has not stated.
  if (isNotRunStatus(head.status)) {
    exchange.discardBody();
    const reason = `status ${head.status}, and the call may have run`;
    return { kind: "lost", reason };
  }
  if (head.headers["content-encoding"] !== undefined) {
    exchange.abort("unexpected content encoding");
    return { kind: "lost", reason: "unexpected content encoding" };
  }
  return { kind: "answer", head, metadata };
}

/** Records the result of an attempt in this VM's state, the metrics and the log. */
function recordResult(
  context: CallContext,
  target: Target,
  stage: string,
  result: AttemptResult,
): void {
  const { health, directory, crashDetector, pathMonitor, log, metrics } =
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
  const isUntested = result.kind === "notSent" &&
    (result.isWithheld || result.isRequestInvalid === true);
  if (result.kind === "notSent" && !isUntested) {
    context.recordUnreachable(result.isRefused);
  }
  if (result.kind === "lost" || (result.kind === "notSent" && !isUntested)) {
    pathMonitor.recordTrouble(target);
  }
  const isNowAvoided = !isUntested &&
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

function rateResult(result: AttemptResult): AttemptOutcome {
  switch (result.kind) {
    case "answer":
      return result.head.status >= 500 ? "failed" : "answered";
    case "notSent":
      return "unreachable";
    case "notRun":
      return result.refusal === "declined" ? "declined" : "failed";
    case "lost":
      return "failed";
    case "over":
      return "answered";
  }
}
