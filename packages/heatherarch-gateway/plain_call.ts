/**
 * Handles a call to a plain service. The call is retried if its method is idempotent or if it
 * provably did not run. A call with an idempotency key claims the key first. Any other call is sent
 * to a target at most once.
 *
 * @module
 */
import { createId, ServeError, sleep } from "heatherarch-core";
import type { Candidate } from "heatherarch-policy";
import type { PlainService, Profile } from "heatherarch-settings";
import type { BufferedResponse } from "heatherarch-targets";
import type {
  ClaimResult,
  GatewayHost,
  HeldClaim,
  StoredResponse,
} from "./gateway_host.ts";
import { type AttemptWatch, buildShutdownRefusal } from "./request_ending.ts";
import type { AdmittedRequest } from "./request_watch.ts";

/** A call as the client made it. */
export interface PlainRequest {
  readonly service: PlainService;
  readonly profile: Profile;
  readonly method: string;
  /** Path and query on the target. */
  readonly path: string;
  /** Headers that are forwarded to the target. */
  readonly headers: Record<string, string>;
  readonly body: Buffer | undefined;
  /** Monotonic time by which the response must have arrived. */
  readonly deadlineAtMs: number;
  readonly admitted: AdmittedRequest;
  readonly attemptWatch: AttemptWatch;
  /** Idempotency key, scoped to client account and service, if the client sent one. */
  readonly key:
    | { text: string; madeAtMs: number; fingerprint: string }
    | undefined;
}

/** A response to the client. */
export interface PlainResponse {
  readonly status: number;
  readonly headers: Record<string, string>;
  readonly body: Buffer;
  /** Whether the response is that of an earlier call with the same key. */
  readonly replayed: boolean;
}

/**
 * First and longest delay between claims of a key whose first call is still in progress. A booking
 * takes about 60 ms, and each claim adds an entry to the log.
 */
const INITIAL_CLAIM_DELAY_MS = 100;
const MAX_CLAIM_DELAY_MS = 800;
const MAX_STORED_BODY_BYTES = 64 * 1024;
const DROPPED_HEADERS = new Set([
  "connection",
  "keep-alive",
  "transfer-encoding",
  "content-length",
  "date",
  "x-try-id",
]);

/** Classified result of one attempt at one target. */
type AttemptResult =
  | { readonly kind: "answer"; readonly response: PlainResponse }
  /** No byte that could start the work was sent. */
  | { readonly kind: "notRun"; readonly withheld: boolean }
  | { readonly kind: "unknown"; readonly error: ServeError };

/** Makes the call. Throws {@linkcode ServeError} if it fails. */
export async function callPlainService(
  host: GatewayHost,
  request: PlainRequest,
): Promise<PlainResponse> {
  const { service, method, key } = request;
  if (service.idempotentMethods.includes(method)) {
    return await callIdempotent(host, request);
  }
  if (key === undefined) {
    if (service.keyRequired) {
      const message =
        `${method} on ${service.name} requires an Idempotency-Key header`;
      throw new ServeError("keyRequired", message);
    }
    return await callOnce(host, request, undefined);
  }
  const claimResult = await claimBeforeDeadline(host, request, key);
  return await callWithClaimResult(host, request, claimResult);
}

/** Claims the key. If another call with the key is in progress, waits for that call's response. */
async function claimBeforeDeadline(
  host: GatewayHost,
  request: PlainRequest,
  key: NonNullable<PlainRequest["key"]>,
): Promise<ClaimResult> {
  let delayMs = INITIAL_CLAIM_DELAY_MS;
  while (true) {
    const claimResult = await host.claims.claim({
      key: key.text,
      madeAtMs: key.madeAtMs,
      fingerprint: key.fingerprint,
    });
    const isInProgress = claimResult.kind === "refused" &&
      claimResult.error.kind === "keyInProgress";
    const remainingMs = request.deadlineAtMs - host.clock.readMonotonicMs();
    if (!isInProgress || remainingMs <= delayMs) return claimResult;
    await sleep(delayMs);
    delayMs = Math.min(MAX_CLAIM_DELAY_MS, delayMs * 2);
  }
}

async function callWithClaimResult(
  host: GatewayHost,
  request: PlainRequest,
  claimResult: ClaimResult,
): Promise<PlainResponse> {
  switch (claimResult.kind) {
    case "granted":
      return await callOnce(host, request, claimResult.claim);
    case "answered":
      return restoreResponse(claimResult.response);
    case "refused": {
      const mayForward = claimResult.error.kind === "platformUnavailable" &&
        request.service.honoursKey;
      if (mayForward) return await callOnce(host, request, undefined);
      throw claimResult.error;
    }
  }
}

/** Sends the call at most once. Tries another target only if nothing was sent. */
async function callOnce(
  host: GatewayHost,
  request: PlainRequest,
  initialClaim: HeldClaim | undefined,
): Promise<PlainResponse> {
  const failedTargets = new Set<string>();
  let claim = initialClaim;
  let hasRenewed = false;
  while (true) {
    const candidate = pickTarget(host, request, failedTargets);
    if (candidate === undefined) {
      claim?.release();
      throw new ServeError("noTarget", "no target accepted the call", {
        run: "no",
      });
    }
    const currentClaim = claim;
    const guard = currentClaim && (() => currentClaim.isValid());
    const attempt = await sendAttempt(host, request, candidate, guard);
    if (attempt.kind === "answer") {
      claim?.conclude(buildStoredResponse(attempt.response));
      return attempt.response;
    }
    if (attempt.kind === "unknown") throw attempt.error;
    if (request.attemptWatch.hasEnded) {
      claim?.release();
      throw buildShutdownRefusal();
    }
    if (attempt.withheld && claim !== undefined && !hasRenewed) {
      // The shard has a new owner or the permission expired, and nothing was sent.
      hasRenewed = true;
      const renewal = await claim.renew();
      if (renewal.kind === "refused") throw renewal.error;
      if (renewal.kind === "answered") return restoreResponse(renewal.response);
      claim = renewal.claim;
      continue;
    }
    if (attempt.withheld) {
      claim?.release();
      const message =
        "the permission to run the call expired before the call was sent";
      throw new ServeError("platformUnavailable", message, { run: "no" });
    }
    failedTargets.add(candidate.id);
    host.events.recordRetry("notSent");
  }
}

/** Retries within the retry budget, and hedges if the profile sets a hedge delay. */
async function callIdempotent(
  host: GatewayHost,
  request: PlainRequest,
): Promise<PlainResponse> {
  const failedTargets = new Set<string>();
  let lastError: ServeError | undefined;
  for (let attempts = 0; attempts < host.limits.maxTries; attempts++) {
    const candidate = pickTarget(host, request, failedTargets) ??
      pickTarget(host, request, new Set());
    if (candidate === undefined) break;
    if (attempts > 0) {
      if (!host.retries.spendRetry()) break;
      host.events.recordRetry(lastError?.kind ?? "notSent");
    }
    const attempt = await sendHedged(host, request, candidate, failedTargets);
    if (attempt.kind === "answer") return attempt.response;
    if (request.attemptWatch.hasEnded) break;
    failedTargets.add(candidate.id);
    if (attempt.kind === "unknown") lastError = attempt.error;
    if (!request.admitted.mayRetry()) break;
    if (host.clock.readMonotonicMs() >= request.deadlineAtMs) break;
  }
  throw lastError ??
    new ServeError("noTarget", "no target accepted the call", { run: "no" });
}

async function sendHedged(
  host: GatewayHost,
  request: PlainRequest,
  candidate: Candidate,
  failedTargets: ReadonlySet<string>,
): Promise<AttemptResult> {
  const first = sendAttempt(host, request, candidate);
  const { hedgeAfterMs } = request.profile;
  if (hedgeAfterMs === 0) return await first;
  const earlyResult = await Promise.race([first, sleep(hedgeAfterMs)]);
  if (earlyResult !== undefined) return earlyResult;
  const other = pickTarget(
    host,
    request,
    new Set([...failedTargets, candidate.id]),
  );
  if (other === undefined || !host.retries.spendRetry()) return await first;
  host.events.recordHedge();
  const second = sendAttempt(host, request, other);
  const winner = await Promise.race([first, second]);
  if (winner.kind === "answer") return winner;
  const results = await Promise.all([first, second]);
  return results.find((result) => result.kind === "answer") ?? winner;
}

function pickTarget(
  host: GatewayHost,
  request: PlainRequest,
  failedTargets: ReadonlySet<string>,
): Candidate | undefined {
  const available = host.targets.listCandidates(request.service.name)
    .filter((candidate) => !failedTargets.has(candidate.id));
  const local = available.filter((candidate) => candidate.sameZone);
  const pool = local.length > 0 ? local : available;
  if (pool.length === 0) return undefined;
  return pool.reduce((best, next) =>
    next.load.running < best.load.running ? next : best
  );
}

async function sendAttempt(
  host: GatewayHost,
  request: PlainRequest,
  candidate: Candidate,
  guard?: () => boolean,
): Promise<AttemptResult> {
  const target = host.targets.findTarget(candidate.id);
  const nowMs = host.clock.readMonotonicMs();
  const timeoutMs = Math.ceil(request.deadlineAtMs - nowMs);
  if (target === undefined || timeoutMs <= 0) {
    return { kind: "notRun", withheld: false };
  }
  const tryId = createId("try");
  const work = host.loadTracker.begin(target.id, 0, nowMs);
  const { attemptWatch } = request;
  let forgetSend = (): void => undefined;
  const response = await host.targets.getService(target).send({
    tryId,
    method: request.method,
    path: request.path,
    headers: request.headers,
    body: request.body,
    timeoutMs,
    guard: () => {
      const mayRun = !attemptWatch.hasEnded &&
        host.clock.readMonotonicMs() < request.deadlineAtMs &&
        (guard?.() ?? true);
      if (mayRun) forgetSend = attemptWatch.recordSend();
      return mayRun;
    },
  });
  work.end(host.clock.readMonotonicMs());
  if (response.kind === "notSent" || response.kind === "withheld") forgetSend();
  // The connections to the targets are closed behind the last request; that says nothing of the targets.
  if (attemptWatch.hasEnded) {
    return classifyResponse(response, tryId, request.service);
  }
  if (response.kind === "answer") host.targets.recordSuccess(target.id);
  else if (response.kind !== "withheld") host.targets.recordFailure(target.id);
  if (response.kind === "broken") {
    request.admitted.recordLoss(target, response.detail);
  }
  return classifyResponse(response, tryId, request.service);
}

function classifyResponse(
  response: BufferedResponse,
  tryId: string,
  service: PlainService,
): AttemptResult {
  switch (response.kind) {
    case "notSent":
      return { kind: "notRun", withheld: false };
    case "withheld":
      return { kind: "notRun", withheld: true };
    case "broken":
      return {
        kind: "unknown",
        error: new ServeError("targetFailed", response.detail),
      };
    case "silent":
      return {
        kind: "unknown",
        error: new ServeError("deadlineExceeded", response.detail),
      };
    case "answer":
      break;
  }
  const echoedTryId = response.headers["x-try-id"];
  const isMismatched = echoedTryId === undefined
    ? service.echoesTryId
    : echoedTryId !== tryId;
  if (isMismatched) {
    const message = "the response belongs to another call";
    return {
      kind: "unknown",
      error: new ServeError("answerIncomplete", message),
    };
  }
  const headers = copyHeaders(response.headers);
  const { status, body } = response;
  return {
    kind: "answer",
    response: { status, headers, body, replayed: false },
  };
}

function copyHeaders(
  fields: Record<string, string | string[] | undefined>,
): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(fields)) {
    if (value === undefined || DROPPED_HEADERS.has(name)) continue;
    headers[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return headers;
}

function buildStoredResponse(response: PlainResponse): StoredResponse {
  const { status, headers, body } = response;
  if (body.length > MAX_STORED_BODY_BYTES) return { status, headers };
  return { status, headers, body: body.toString("base64") };
}

function restoreResponse(stored: StoredResponse): PlainResponse {
  if (stored.body === undefined) {
    const message = "the call ran, but its response was too large to store";
    throw new ServeError("outcomeUnknown", message);
  }
  const body = Buffer.from(stored.body, "base64");
  return {
    status: stored.status,
    headers: { ...stored.headers },
    body,
    replayed: true,
  };
}
