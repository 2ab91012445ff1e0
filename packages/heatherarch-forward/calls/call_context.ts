/**
 * State of one call: its deadline, the client's disconnect, the exchange in progress, and its
 * single end. The call handlers choose the targets and make the attempts.
 *
 * @module
 */
import {
  assertInvariant,
  ServeError,
  type ServeErrorOptions,
} from "heatherarch-core";
import { AttemptLedger, type PlannedRequests } from "./attempt_ledger.ts";
import type { ClientResponse } from "./client_response.ts";
import { findShutdownPhase, type LogLevel } from "../event_log.ts";
import type {
  AttemptCounts,
  ClientAccount,
  ForwardedCall,
  HandoverState,
  Route,
  ServiceSpec,
} from "../model.ts";
import type { EncodedRequest } from "../ports.ts";
import type { CallDependencies } from "../call_dependencies.ts";
import { PeerOffer } from "./peer_offer.ts";
import {
  type ErrorPlace,
  reportInternalError,
  runAll,
  runReported,
} from "../report_error.ts";
import { SHUTDOWN_RETRY_AFTER_MS } from "../scheduling/retry_after.ts";
import type { ReturnKind } from "../scheduling/return_times.ts";
import type { ShutdownOutcome, ShutdownPhase } from "heatherarch-shutdown";
import type { Target } from "../model.ts";
import {
  type CallAdmission,
  type Quarantined,
  QuarantineGuard,
} from "./quarantine_guard.ts";
import {
  buildFailedExchange,
  buildWithheldExchange,
  type TargetExchange,
} from "./target_exchange.ts";

/** How a call ended, for logs and metrics. */
export type CallOutcome =
  | "delivered"
  | "refused"
  | "failed"
  | "expired"
  | "clientGone"
  | "broken";

/**
 * What ended the last attempt of a call without a response: this VM lost its path or gave up a silent
 * target, the connection broke, the peer that served the call was lost, the call's time was over, or this
 * VM shut down.
 */
export type LossCause =
  | "pathLost"
  | "silence"
  | "connection"
  | "peer"
  | "timeout"
  | "shutdown"
  | "other";

/** What a retry is taken for: a prefill and the run that follows it, or a run. */
export type RetryPurpose = "prefill" | "run";

/** Requests that a call is about to send, and what the first of them is for. */
export interface RequestPlan extends PlannedRequests {
  readonly purpose: RetryPurpose;
}

/** Where the stream of a call is, for what goes on with it elsewhere. */
export interface StreamPosition {
  /** Id of the last event that the client has received; undefined if it has none. */
  readonly lastEventId: string | undefined;
  /** Software version at which the stream has to run; undefined if any may begin it. */
  readonly softwareVersion: string | undefined;
  setSoftwareVersion(softwareVersion: string): void;
}

/** Options of {@linkcode CallContext}. */
export interface CallContextOptions {
  readonly dependencies: CallDependencies;
  readonly call: ForwardedCall;
  /** The call as it was received, with its API key; by default `call`. */
  readonly receivedCall?: ForwardedCall;
  /** Client account of the call, if it has one. */
  readonly account?: ClientAccount;
  readonly route: Route;
  /** Service that the call is sent to. */
  readonly service: ServiceSpec;
  readonly configVersion: number;
  readonly clientResponse: ClientResponse;
}

/** A trial takes one run of the request, and the time until all VMs know its result. */
const TRIAL_RETRY_AFTER_MS = 1000;
/** Share of a backoff by which `Retry-After` is jittered. */
const BACKOFF_JITTER_SHARE = 0.25;
/** With less time left, no response can reach the client before the deadline, milliseconds. */
const MIN_HANDOVER_MS = 30;
/** A call that this many targets could not be reached for is handed over to a peer. */
const MAX_UNREACHABLE = 2;
const SHUTDOWN_REASON = "the VM shut down before the call had ended";
const INTERNAL_ERROR_REASON = "an internal error ended the call";
const QUARANTINED_REASON =
  "the request or a part of its prompt is quarantined: it crashed the targets that ran it";
/** `Retry-After` that is logged for a refused call without one, milliseconds. */
const MIN_RETRY_AFTER_MS = 100;

/** One call in progress. */
export class CallContext {
  readonly dependencies: CallDependencies;
  readonly call: ForwardedCall;
  /** The call as it was received, with its API key. */
  readonly receivedCall: ForwardedCall;
  readonly route: Route;
  readonly service: ServiceSpec;
  readonly clientResponse: ClientResponse;
  /** Priority of the call; 0 is served first. That of its account precedes that of its route. */
  readonly priority: number;
  /**
   * Monotonic time at which the timeout of the client or of the route expires, whichever is first.
   */
  readonly deadlineAtMs: number;
  /** Whether the call counts as the retry of a rejected call. */
  readonly returnKind: ReturnKind;
  /** Offers the call to peers. */
  readonly peerOffer: PeerOffer;
  readonly #configVersion: number;
  readonly #account: ClientAccount | undefined;
  readonly #quarantineGuard: QuarantineGuard;
  readonly #timer: NodeJS.Timeout;
  readonly #removeDisconnectListener: () => void;
  readonly #ended: Promise<void>;
  #resolveEnded!: () => void;
  #exchange: TargetExchange | undefined;
  #streamPosition: StreamPosition | undefined;
  #outcome: CallOutcome | undefined;
  readonly #ledger: AttemptLedger;
  #attempts = 0;
  /** Targets that have been sent an attempt. */
  readonly #sentTo = new Set<string>();
  #lastTarget: string | undefined;
  /** Monotonic time of the last attempt; undefined before the first one. */
  #sentAtMs: number | undefined;
  /** Takes the recorded usage of this call back; undefined before it is recorded. */
  #undoUsage: (() => void) | undefined;
  /** Number of targets on which the call runs or may have run. */
  #runs: number;
  /** Number of attempts that reached no target. */
  #unreachable = 0;
  #hasRefusedConnection = false;
  #hasFoundUnreachable = false;
  /** Whether the latest attempt counts as a run, which {@linkcode undoRun} takes back. */
  #isRunCounted = false;
  /** Whether a peer serves the call, or has done so. */
  #isHandedOver = false;
  #lossCause: LossCause = "other";
  /** Phase of the VM's shutdown in which the call arrived; undefined without a shutdown. */
  readonly #arrivalPhase: ShutdownPhase | undefined;
  readonly #untrack: () => void;
  /** Whether the VM's shutdown ended the call. */
  #isEndedByShutdown = false;

  constructor(options: CallContextOptions) {
    this.dependencies = options.dependencies;
    this.call = options.call;
    this.receivedCall = options.receivedCall ?? options.call;
    this.#runs = options.call.handover?.runs ?? 0;
    this.#ledger = new AttemptLedger({
      counts: options.call.handover?.attempts,
      takeRetries: (count) =>
        this.dependencies.retryBudget.takeRetries(
          this.service.name,
          count,
          this.nowMs,
        ),
      readMonotonicMs: () => this.nowMs,
    });
    if (options.call.handover?.isUsageRecorded) {
      this.#undoUsage = () => undefined;
    }
    this.route = options.route;
    this.#account = options.account;
    this.priority = options.account?.priority ?? options.route.priority;
    this.service = options.service;
    this.clientResponse = options.clientResponse;
    this.#configVersion = options.configVersion;
    const { arrivedAtMs, clientTimeoutMs = Infinity } = options.call;
    this.deadlineAtMs = arrivedAtMs +
      Math.min(clientTimeoutMs, options.route.timeoutMs);
    this.#ended = new Promise((resolve) => {
      this.#resolveEnded = resolve;
    });
    this.#arrivalPhase = findShutdownPhase(this.dependencies.shutdown);
    this.peerOffer = new PeerOffer({
      offerCall: async (offer, asked) => {
        try {
          return await this.dependencies.handoverClient.offerCall(offer, asked);
        } catch (error) {
          this.reportError("offer", error);
          return undefined;
        }
      },
      service: options.service.name,
      configVersion: options.configVersion,
      mayOffer: () => !this.hasEnded && this.remainingMs >= MIN_HANDOVER_MS,
    });
    this.#timer = setTimeout(
      () => this.#runGuarded(() => this.#expireOnceRead()),
      Math.max(0, this.remainingMs),
    );
    this.#quarantineGuard = new QuarantineGuard({
      dependencies: options.dependencies,
      call: options.call,
      service: options.service.name,
      onQuarantined: (quarantined) =>
        this.#runGuarded(() => this.#handleQuarantine(quarantined)),
    });
    this.#removeDisconnectListener = this.clientResponse
      .registerDisconnectListener(() =>
        this.#runGuarded(() => this.#handleDisconnect())
      );
    this.#untrack = this.dependencies.shutdown.trackCall({
      endForShutdown: () => this.#runGuarded(() => this.#endForShutdown()),
    });
    try {
      this.#recordCall();
      this.returnKind = this.#classifyArrival();
    } catch (error) {
      this.#releaseHoldings();
      throw error;
    }
    if (this.clientResponse.isDisconnected) this.#handleDisconnect();
  }

  /** Current monotonic time, milliseconds. */
  get nowMs(): number {
    return this.dependencies.clock.readMonotonicMs();
  }

  /** Time until the deadline, milliseconds; negative after it. */
  get remainingMs(): number {
    return this.deadlineAtMs - this.nowMs;
  }

  /** Time until the latency objective of the route is missed, milliseconds. */
  get timeToAimMs(): number {
    return this.call.arrivedAtMs + this.route.aimMs - this.nowMs;
  }

  /** Whether the call takes the place of a return that is due, and so goes before new calls. */
  get isReturn(): boolean {
    return this.returnKind === "claimed";
  }

  /** Whether the call has ended; no further attempt is sent then. */
  get hasEnded(): boolean {
    return this.#outcome !== undefined;
  }

  /** How the call has ended; undefined before. */
  get outcome(): CallOutcome | undefined {
    return this.#outcome;
  }

  /** Resolves when the call has ended. */
  get ended(): Promise<void> {
    return this.#ended;
  }

  /** Whether another VM should serve the call: this one does not reach the targets, or a peer has it. */
  get mustHandOver(): boolean {
    const isCutOff = !this.hasPath || this.#unreachable >= MAX_UNREACHABLE;
    return this.mayHandOver && (isCutOff || this.peerOffer.hasHedge);
  }

  /** Whether the call may be offered to peers before it is refused, or a peer has it already. */
  get mayHandOver(): boolean {
    if (this.peerOffer.hasHedge) return !this.hasEnded;
    const isTried = this.#unreachable > 0 || !this.hasPath;
    return isTried && this.call.handover === undefined && !this.hasEnded &&
      this.mayRunAgain;
  }

  /** Whether this VM may reach the targets of the service. */
  get hasPath(): boolean {
    return this.dependencies.pathMonitor.hasPath(this.service.name);
  }

  /** Where the stream of the call is; undefined for other calls. */
  get streamPosition(): StreamPosition | undefined {
    return this.#streamPosition;
  }

  /** Lets the handler of a stream tell where it is. */
  setStreamPosition(position: StreamPosition): void {
    this.#streamPosition = position;
  }

  /** What a peer has to know of the call so far. */
  get handoverState(): HandoverState {
    const isUsageRecorded = this.#undoUsage !== undefined;
    return {
      runs: this.#runs,
      isUsageRecorded,
      attempts: this.#ledger.counts,
      softwareVersion: this.#streamPosition?.softwareVersion,
    };
  }

  /** Name of the call's client account, if it has one. */
  get accountName(): string | undefined {
    return this.#account?.name;
  }

  /** Version of the configuration by which the call is routed. */
  get configVersion(): number {
    return this.#configVersion;
  }

  /** Whether the call runs, or may have run, on a target. */
  get mayHaveRun(): boolean {
    return this.#runs > 0;
  }

  /** Whether the call may run on one more target. */
  get mayRunAgain(): boolean {
    return this.#runs === 0 || this.#runs < this.maxRuns;
  }

  /** Number of targets on which the call may run. */
  get maxRuns(): number {
    const { kind, maxTargets } = this.route;
    return kind === "once" || kind === "stream" ? 1 : maxTargets;
  }

  /** Refuses the call if its request may not be sent. Returns whether the call continues. */
  admit(): boolean {
    return this.#applyAdmission(this.#quarantineGuard.admit());
  }

  /**
   * Refuses the call if no engine may begin to write a response on its prompt now. Returns whether the
   * call continues.
   */
  admitRun(): boolean {
    if (!this.admitSend()) return false;
    return this.#applyAdmission(this.#quarantineGuard.admitRun());
  }

  /**
   * Refuses a call that has waited for so long that it is not expected to end before the VM does. One that
   * may have run goes on. Returns whether the call continues.
   */
  admitSend(): boolean {
    if (this.hasEnded || this.mayHaveRun) return !this.hasEnded;
    const call = { route: this.route.name, timeoutMs: this.remainingMs };
    if (this.dependencies.shutdown.canStillEnd(call)) return true;
    this.#refuseForShutdown();
    return false;
  }

  /** Records that an engine wrote a response on the prompt. */
  recordGenerated(): void {
    this.#quarantineGuard.recordPartSuccess();
  }

  /** The timeout of a call that a peer handed over is that of the peer, so it shows no return. */
  #classifyArrival(): ReturnKind {
    if (this.call.handover !== undefined) return "new";
    return this.dependencies.returnTimes.classifyArrival({
      service: this.service.name,
      route: this.route.name,
      account: this.#account?.name,
      clientTimeoutMs: this.call.clientTimeoutMs,
    }, this.nowMs);
  }

  #applyAdmission(result: CallAdmission): boolean {
    if (result.kind === "free") return true;
    // A call that a peer handed over may have run there.
    if (this.mayHaveRun) this.fail("targetFailed", QUARANTINED_REASON);
    else if (result.kind === "quarantined") {
      this.#refuseQuarantined(result.entry);
    } else {
      this.refuse("overloaded", "the request or a part is on trial elsewhere", {
        retryAfterMs: TRIAL_RETRY_AFTER_MS,
        detail: { request: this.#quarantineGuard.digest },
      });
    }
    return !this.hasEnded;
  }

  /**
   * Returns whether the call may be retried. Waits for the probes of targets that may have crashed,
   * and ends the call if its request is quarantined.
   */
  async mayRetry(): Promise<boolean> {
    const mayRetry = await this.#quarantineGuard.mayRetry();
    if (this.hasEnded) return false;
    const quarantined = this.#quarantineGuard.findQuarantined();
    if (quarantined === undefined) return mayRetry;
    if (this.mayHaveRun) this.fail("targetFailed", QUARANTINED_REASON);
    else this.#refuseQuarantined(quarantined);
    return false;
  }

  /**
   * Resolves when this VM knows what it has to know before it sends the call: the list of targets is
   * fresh enough, and a disconnect of the client that has arrived would have been read. Resolves early
   * if the call ends.
   */
  async awaitSendable(): Promise<void> {
    const { targetListGuard, readBarrier } = this.dependencies;
    while (!this.hasEnded) {
      if (targetListGuard.isHoldingCalls()) {
        await Promise.race([targetListGuard.awaitFreshList(), this.#ended]);
      } else if (readBarrier.isCurrent) return;
      else await readBarrier.awaitTurn({ isInProgress: true });
    }
  }

  /** Whether an attempt of the call could not reach its target. */
  get hasFoundUnreachable(): boolean {
    return this.#hasFoundUnreachable;
  }

  /** Records that an attempt could not reach its target, which may have refused the connection. */
  recordUnreachable(isRefused = false): void {
    this.#unreachable++;
    this.#hasFoundUnreachable = true;
    this.#hasRefusedConnection ||= isRefused;
  }

  /**
   * Resolves with whether peers may be able to serve the call. They are not if the targets refuse
   * connections because they have crashed.
   */
  async mayPeersServe(): Promise<boolean> {
    if (!this.mayHandOver) return false;
    if (this.peerOffer.hasHedge) return true;
    if (!this.#hasRefusedConnection || !this.hasPath) return true;
    const { pathMonitor } = this.dependencies;
    const isOpen = await pathMonitor.confirmPath(this.service.name);
    return this.mayHandOver && (isOpen || !this.hasPath);
  }

  /** Forgets which targets could not be reached: no peer takes the call. */
  forgetUnreachable(): void {
    this.#unreachable = -Infinity;
  }

  /**
   * Records that the call is sent to a peer, which counts the call and its usage. It may run there as
   * often as it may run at all. Returns a function that takes that back if it has not run there, and
   * records the requests that the peer has counted.
   */
  beginHandover(exchange: TargetExchange): (counts: AttemptCounts) => void {
    const runs = this.#runs;
    this.#exchange = exchange;
    this.#attempts++;
    this.#runs = Math.max(runs + 1, this.route.maxTargets);
    this.#isHandedOver = true;
    this.#forgetCall();
    return (counts) => {
      this.#recordCall();
      this.#runs = runs;
      this.#ledger.recordPeerCounts(counts);
    };
  }

  /**
   * Records that the call is sent to a peer, beside an exchange of this VM, and may run there once.
   * Returns a function that takes the run back.
   */
  beginHedge(): () => void {
    assertInvariant(this.mayRunAgain, "runs-within-kind", this.call.id);
    this.#attempts++;
    this.#runs++;
    return () => {
      this.#runs--;
    };
  }

  /**
   * Returns the software version at which a stream has to run, and chooses that of a target if there is
   * none yet: a stream that runs at two engines may be begun by either.
   */
  chooseSoftwareVersion({ softwareVersion }: Target): string | undefined {
    const position = this.#streamPosition;
    if (position === undefined) return undefined;
    const isChosen = position.softwareVersion !== undefined;
    if (!isChosen && softwareVersion !== undefined) {
      position.setSoftwareVersion(softwareVersion);
    }
    return position.softwareVersion;
  }

  /** Records that an exchange with a peer is the one in progress, which an early end of the call aborts. */
  setExchange(exchange: TargetExchange): void {
    this.#exchange = exchange;
  }

  /** Whether the VM that handed the call over goes on with it, and counts it. */
  get #isHedge(): boolean {
    return this.call.handover?.isHedge === true;
  }

  /** Counts the call at this VM, which has it now. Only one VM counts a call at a time. */
  #recordCall(): void {
    if (this.#isHedge) return;
    const { retryBudget, fleetDemand } = this.dependencies;
    retryBudget.recordCall(this.service.name, this.nowMs);
    fleetDemand.recordCall(this.nowMs);
  }

  #forgetCall(): void {
    if (this.#isHedge) return;
    const { retryBudget, fleetDemand } = this.dependencies;
    retryBudget.forgetCall(this.service.name, this.nowMs);
    fleetDemand.forgetCall(this.nowMs);
  }

  /** Ends the call with the error of the peer that it was handed over to. */
  endWithPeerFailure(error: ServeError): void {
    if (this.hasEnded) return;
    const hasPromise = error.run === "no";
    // The peer promises for itself only; the call may have run before.
    if (this.clientResponse.isHeadSent || (hasPromise && this.mayHaveRun)) {
      return this.fail("targetFailed", error.message);
    }
    this.#respondWithError(error);
    this.finish(hasPromise ? "refused" : "failed", { reason: error.message });
  }

  /**
   * Sends an attempt. An early end of the call aborts the latest attempt. Without `isRun` the target
   * only reads the prompt. An attempt that the retry budget does not cover is withheld. An error before
   * the request is sent, also of `encode`, ends the attempt like that at an unreachable target.
   */
  send(
    target: Target,
    encode: () => EncodedRequest,
    { isRun = true }: { isRun?: boolean } = {},
  ): TargetExchange {
    assertInvariant(!this.hasEnded, "call-open", this.call.id);
    if (isRun) this.#countRun();
    this.#attempts++;
    this.#lastTarget = target.id;
    this.#sentAtMs = this.nowMs;
    const exchange = this.#openExchange(target, encode, isRun);
    this.#exchange = exchange;
    this.#quarantineGuard.trackExchange(target, exchange, isRun);
    return exchange;
  }

  #openExchange(
    target: Target,
    encode: () => EncodedRequest,
    isRun: boolean,
  ): TargetExchange {
    try {
      // The call goes on here, and a peer must not run it beside this attempt.
      this.peerOffer.release();
      if (isRun && !this.#isStream) this.recordUsage();
      if (this.#quarantineGuard.findQuarantined() !== undefined) {
        return buildWithheldExchange("the request is quarantined");
      }
      const purpose = isRun ? "run" : "prefill";
      if (!this.reserve({ purpose, requests: 1 })) {
        return buildWithheldExchange("the retry budget is spent");
      }
      const request = encode();
      return this.#sendTo(target, request, isRun);
    } catch (error) {
      this.reportError("attempt", error, { target: target.id });
      return buildFailedExchange(error);
    }
  }

  /**
   * Records that a response has ended whose end is not confirmed. The request may have crashed the target;
   * its parts are not accused, as the response may have been whole.
   */
  recordUnconfirmedEnd(target: Target, reason: string): void {
    if (!this.hasEnded) this.#quarantineGuard.recordLoss(target, reason, false);
  }

  /**
   * Sends a request. A target that has had one of this call gets it on a connection of its own: a late
   * copy of the earlier response bears the id of this call as well.
   */
  #sendTo(
    target: Target,
    request: EncodedRequest,
    isRun: boolean,
  ): TargetExchange {
    const needsOwnConnection = this.#sentTo.has(target.id);
    this.#sentTo.add(target.id);
    const undo = this.#ledger.recordSent({ isPrefill: !isRun });
    const { connections } = this.dependencies;
    const exchange = connections.send(target, request, {
      needsOwnConnection,
      callId: this.call.id,
    });
    runReported(this.dependencies, "attempt", async () => {
      const end = await exchange.ended;
      if (end === "ended") return;
      if (end.fault === "notSent" || end.fault === "withheld") undo();
    });
    return exchange;
  }

  /** Records that an engine has prefilled the prompt. */
  recordPrefilled(): void {
    this.#ledger.recordPrefilled();
  }

  /** Counts the attempt in progress as a run, until the target reports that it did not run it. */
  #countRun(): void {
    assertInvariant(this.mayRunAgain, "runs-within-kind", this.call.id);
    this.#runs++;
    this.#isRunCounted = true;
  }

  /**
   * Records once that the call has begun to run, for the usage of its account. A stream begins with
   * its first token, any other call when it is sent.
   */
  recordUsage(): void {
    if (this.#account === undefined || this.#isHandedOver) return;
    this.#undoUsage ??= this.dependencies.usage.recordRun(this.#account.name);
  }

  /**
   * Takes back the run of the latest attempt, once: the target reported that it did not run it, or nothing
   * was sent.
   */
  undoRun(): void {
    if (!this.#isRunCounted) return;
    this.#isRunCounted = false;
    this.#runs--;
    if (this.#runs > 0 || this.#isStream) return;
    this.#undoUsage?.();
    this.#undoUsage = undefined;
  }

  /** Whether {@linkcode reserve} may take the retries that the next requests cost. Takes none. */
  mayReserve(planned: PlannedRequests): boolean {
    if (this.hasEnded) return false;
    const due = this.#ledger.computeDue(planned);
    const { retryBudget } = this.dependencies;
    return due === 0 ||
      retryBudget.mayTakeRetries(this.service.name, due, this.nowMs);
  }

  /**
   * Takes the retries that the next requests cost from the fleet's retry budget, as far as they have not
   * been taken. Returns whether the requests may be sent. A call that has ended takes none, as nothing
   * would give them back.
   */
  reserve({ purpose, ...planned }: RequestPlan): boolean {
    if (this.hasEnded) return false;
    const due = this.#ledger.computeDue(planned);
    if (due === 0) return true;
    const isReserved = this.#ledger.reserve(planned);
    this.#recordRetries(purpose, due, isReserved);
    return isReserved;
  }

  #recordRetries(purpose: RetryPurpose, count: number, isTaken: boolean): void {
    const { retryBudget, log, metrics } = this.dependencies;
    const service = this.service.name;
    const outcome = isTaken ? "taken" : "denied";
    metrics.retries.inc({ service, purpose, outcome }, count);
    const left = retryBudget.getAvailable(service, this.nowMs);
    metrics.retriesLeft.set({ service }, left);
    log.write("info", isTaken ? "retryTaken" : "retryDenied", {
      call: this.call.id,
      service,
      purpose,
      count,
      left: Number(left.toFixed(2)),
    });
  }

  /** Records what ended the latest attempt without a response. */
  recordLoss(cause: LossCause): void {
    this.#lossCause = cause;
  }

  /** Ends the call, after its handler has delivered a response or given up. */
  finish(outcome: CallOutcome, detail: Record<string, unknown> = {}): void {
    if (this.#outcome !== undefined) return;
    this.#outcome = outcome;
    runAll([
      () => this.#releaseHoldings(),
      () => this.#resolveEnded(),
      () => this.#recordEnd(outcome, detail),
    ]);
  }

  /** Gives back all that the call holds, except the exchange in progress. */
  #releaseHoldings(): void {
    clearTimeout(this.#timer);
    runAll([
      () => this.#untrack(),
      () => this.#removeDisconnectListener(),
      () => this.#quarantineGuard.end(this.#outcome === "delivered"),
      () => this.#ledger.end(),
      () => this.peerOffer.release(),
    ]);
  }

  #recordEnd(outcome: CallOutcome, detail: Record<string, unknown>): void {
    const { log, metrics } = this.dependencies;
    const { kind } = this.route;
    metrics.calls.inc({ kind, outcome });
    const lossCause = this.#findLossCause(outcome);
    if (lossCause !== undefined) {
      metrics.callsLost.inc({ kind, cause: lossCause });
    }
    this.dependencies.shutdown.recordEnd(kind, this.#classifyEnd(outcome));
    const { retries, retriesTaken } = this.#ledger;
    metrics.attemptsBeyondFirst.inc({ service: this.service.name }, retries);
    const level: LogLevel = outcome === "delivered" ? "info" : "warn";
    log.write(level, "callEnded", {
      call: this.call.id,
      route: this.route.name,
      kind,
      outcome,
      tries: this.#attempts,
      lastTarget: this.#lastTarget,
      runs: this.#runs,
      beyondFirst: retries,
      retriesTaken,
      tookMs: Math.round(this.nowMs - this.call.arrivedAtMs),
      configVersion: this.#configVersion,
      configInForce: this.dependencies.activeConfig.version,
      lossCause,
      arrivedInPhase: this.#arrivalPhase,
      endedInPhase: findShutdownPhase(this.dependencies.shutdown),
      ...detail,
    });
  }

  /** Classifies the end of the call for the report of a shutdown. */
  #classifyEnd(outcome: CallOutcome): ShutdownOutcome {
    if (outcome === "delivered") return "completed";
    if (outcome === "refused") return "refused";
    if (!this.#isEndedByShutdown) return "other";
    const isWhole = outcome === "failed" ||
      this.route.kind === "resumableStream";
    return isWhole ? "ended" : "cut";
  }

  /** Returns what ended a call without a response or refusal; undefined if it got one. */
  #findLossCause(outcome: CallOutcome): LossCause | undefined {
    if (outcome === "broken" || outcome === "failed") return this.#lossCause;
    const isLost = outcome === "expired" &&
      (this.mayHaveRun || this.clientResponse.isHeadSent);
    return isLost ? "timeout" : undefined;
  }

  /** Refuses a call that has not run. */
  refuse(
    kind: "noTarget" | "overloaded" | "quarantined" | "shuttingDown",
    reason: string,
    options: ServeErrorOptions & { detail?: Record<string, unknown> } = {},
  ): void {
    assertInvariant(!this.mayHaveRun, "refused-not-run", this.call.id);
    if (this.hasEnded) return;
    this.#respondWithError(new ServeError(kind, reason, options));
    const retryAfterMs = options.retryAfterMs ?? MIN_RETRY_AFTER_MS;
    this.finish("refused", {
      reason,
      retryAfterMs: Math.round(retryAfterMs),
      ...options.detail,
    });
  }

  /**
   * Refuses the call because all its targets are in backoff; the first backoff ends in `backoffMs`.
   */
  refuseForBackoff(backoffMs: number): void {
    const jitter = 1 + this.dependencies.drawUnit() * BACKOFF_JITTER_SHARE;
    this.refuse("overloaded", "all targets have asked for a backoff", {
      retryAfterMs: backoffMs * jitter,
      detail: { restMs: Math.round(backoffMs) },
    });
  }

  /** Ends the call without a complete response. A response in progress is cut off visibly. */
  fail(kind: "targetFailed" | "answerIncomplete", reason: string): void {
    if (this.hasEnded) return;
    if (this.clientResponse.isHeadSent) {
      this.clientResponse.destroy();
      this.finish("broken", { reason });
      return;
    }
    this.#respondWithError(new ServeError(kind, reason));
    this.finish("failed", { reason });
  }

  /**
   * Ends the call at once after an error that no code expects. A call of which nothing may have run is
   * refused; of another one the client learns that it may have run, or that its response is cut off.
   */
  endAfterError(thrown: unknown): void {
    this.reportError("call", thrown);
    const exchange = this.#exchange;
    runReported(this.dependencies, "call", () => this.#failAfterError());
    if (!this.hasEnded) {
      // The client can't be told anything any more.
      runReported(this.dependencies, "call", () => {
        this.clientResponse.destroy();
        this.finish("broken", { reason: INTERNAL_ERROR_REASON });
      });
    }
    if (exchange === undefined) return;
    if (this.#mayAbort(exchange)) exchange.abort(INTERNAL_ERROR_REASON);
    else exchange.abandon();
  }

  #failAfterError(): void {
    if (this.clientResponse.isHeadSent || this.mayHaveRun) {
      this.fail("targetFailed", INTERNAL_ERROR_REASON);
    } else this.refuse("overloaded", INTERNAL_ERROR_REASON);
  }

  /** Logs and counts an error that no code expects, which the call outlasts. */
  reportError(
    place: ErrorPlace,
    thrown: unknown,
    fields: Readonly<Record<string, unknown>> = {},
  ): void {
    const call = this.call.id;
    reportInternalError(this.dependencies, place, thrown, { call, ...fields });
  }

  /** Runs a step that no handler of the call awaits. An error of it ends the call. */
  #runGuarded(step: () => void | Promise<void>): void {
    const end = (error: unknown): void => this.endAfterError(error);
    try {
      step()?.catch(end);
    } catch (error) {
      end(error);
    }
  }

  /**
   * Refuses a call that has not run yet. A call that runs may still succeed and clear the request.
   */
  #handleQuarantine(quarantined: Quarantined): void {
    if (this.hasEnded || this.mayHaveRun) return;
    const exchange = this.#exchange;
    this.#refuseQuarantined(quarantined);
    exchange?.abort(QUARANTINED_REASON);
  }

  #refuseQuarantined(quarantined: Quarantined): void {
    const { incarnations, untilMs } = quarantined;
    this.dependencies.metrics.callsQuarantined.inc();
    this.refuse("quarantined", QUARANTINED_REASON, {
      retryAfterMs: untilMs - this.nowMs,
      detail: {
        ..."part" in quarantined
          ? { part: quarantined.part }
          : { request: quarantined.request },
        endedTargets: incarnations,
      },
    });
  }

  #refuseForShutdown(): void {
    this.refuse("shuttingDown", SHUTDOWN_REASON, {
      retryAfterMs: SHUTDOWN_RETRY_AFTER_MS,
    });
  }

  /**
   * Ends the call as the VM ends. One that has not run is refused. Of another one the client learns that it
   * may have run, or its response is cut off; a stream that may be resumed has whole events.
   */
  #endForShutdown(): void {
    if (this.hasEnded) return;
    const exchange = this.#exchange;
    this.#isEndedByShutdown = true;
    this.recordLoss("shutdown");
    if (this.mayHaveRun || this.clientResponse.isHeadSent) {
      this.fail("targetFailed", SHUTDOWN_REASON);
    } else this.#refuseForShutdown();
    // Nothing reads the response, also of a call that must not be repeated: the process ends.
    exchange?.abort(SHUTDOWN_REASON);
  }

  #respondWithError(error: ServeError): void {
    const isGivenBack = this.call.handover !== undefined && error.run === "no";
    if (isGivenBack) this.#forgetCall();
    this.clientResponse.fail(error, this.call.id, this.#ledger.counts);
  }

  get #isStream(): boolean {
    const { kind } = this.route;
    return kind === "stream" || kind === "resumableStream";
  }

  /** A response that has arrived is delivered, although the timer runs before it is read. */
  async #expireOnceRead(): Promise<void> {
    await this.dependencies.readBarrier.awaitRead();
    this.#expire();
  }

  #expire(): void {
    if (this.hasEnded) return;
    const reason = "timeout of the call or of its route";
    const exchange = this.#exchange;
    if (this.clientResponse.isHeadSent) this.clientResponse.destroy();
    else {
      const kind = this.mayHaveRun ? "deadlineExceeded" : "overloaded";
      this.#respondWithError(new ServeError(kind, reason));
    }
    this.finish("expired", { reason });
    exchange?.abort(reason);
  }

  /**
   * A call that must not be repeated is completed rather than aborted halfway at its target. A peer is
   * told at any time, and decides the same for its own exchange.
   */
  #mayAbort(exchange: TargetExchange): boolean {
    return this.route.kind !== "once" || this.#isHandedOver ||
      !exchange.isSent;
  }

  #recordDisconnect(): void {
    const { metrics, readBarrier: { lastPassMs } } = this.dependencies;
    const sentMs = this.#sentAtMs === undefined
      ? undefined
      : this.nowMs - this.#sentAtMs;
    const stage = classifyDisconnect(sentMs, lastPassMs);
    metrics.disconnects.inc({ stage });
    this.finish("clientGone", {
      stage,
      sentAgoMs: sentMs === undefined ? undefined : Math.round(sentMs),
      readPassMs: Math.round(lastPassMs),
    });
  }

  #handleDisconnect(): void {
    if (this.hasEnded) return;
    const exchange = this.#exchange;
    this.#recordDisconnect();
    if (exchange === undefined) return;
    if (this.#mayAbort(exchange)) exchange.abort("client disconnected");
    // Before its head, the target is still at work, for as long as that takes.
    else if (exchange.isRead) exchange.abandon();
  }
}

/** How far a call was when its client's disconnect was read. */
type DisconnectStage = "waiting" | "sent" | "sentLate";

/** A disconnect may have waited for as long as a pass over all sockets takes. */
function classifyDisconnect(
  sentAgoMs: number | undefined,
  readPassMs: number,
): DisconnectStage {
  if (sentAgoMs === undefined) return "waiting";
  return sentAgoMs <= readPassMs ? "sentLate" : "sent";
}
