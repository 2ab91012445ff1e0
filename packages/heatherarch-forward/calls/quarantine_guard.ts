/**
 * Keeps a call from being sent while its request or a part of its prompt is quarantined, and reports
 * its lost exchanges.
 *
 * @module
 */
import { sleep } from "heatherarch-core";
import {
  type Admission,
  hashRequest,
  hashSharedParts,
  type PartAdmission,
  type QuarantinedPart,
  type QuarantinedRequest,
} from "heatherarch-quarantine";
import type { ForwardedCall, Target } from "../model.ts";
import type { CallDependencies } from "../call_dependencies.ts";
import { runAll, runReported } from "../report_error.ts";
import type { TargetExchange } from "./target_exchange.ts";

/** The quarantine of a call: of its request, or of a part of its prompt. */
export type Quarantined = QuarantinedRequest | QuarantinedPart;

/** Decision on whether a call may be sent for the first time. */
export type CallAdmission =
  | { readonly kind: "free" }
  /** Another call tries what this one is suspected for. */
  | { readonly kind: "onTrial" }
  | { readonly kind: "quarantined"; readonly entry: Quarantined };

/**
 * Longest wait for the probes of targets before a retry. A refused connection takes one round trip.
 */
const MAX_PROBE_WAIT_MS = 100;

/** Options of {@linkcode QuarantineGuard}. */
export interface QuarantineGuardOptions {
  readonly dependencies: CallDependencies;
  readonly call: ForwardedCall;
  /** Service that the call is sent to. */
  readonly service: string;
  /** Called when the call is quarantined while it is in progress. */
  readonly onQuarantined: (quarantined: Quarantined) => void;
}

/** The guard of one call. */
export class QuarantineGuard {
  readonly #options: QuarantineGuardOptions;
  readonly #removeListeners: readonly (() => void)[];
  #digest: string | undefined;
  #parts: readonly string[] | undefined;
  #investigations: Promise<unknown>[] = [];
  #hasLostExchange = false;
  /** Ends the trials of the request and of its parts. */
  #endTrial: (() => void) | undefined;
  #endPartTrial: (() => void) | undefined;

  constructor(options: QuarantineGuardOptions) {
    this.#options = options;
    const { quarantine, partQuarantine } = options.dependencies;
    this.#removeListeners = [
      quarantine.registerChangeListener(({ kind, request }) => {
        if (kind === "held" && request === this.digest) this.#notifyIfHeld();
      }),
      partQuarantine.registerListener(() => this.#notifyIfHeld()),
    ];
  }

  /** Digest of the request; identical requests share it. */
  get digest(): string {
    return this.#digest ??= hashRequest(this.#options.call);
  }

  /** Digests of the parts that the prompt shares with others; none if it is not described. */
  get parts(): readonly string[] {
    return this.#parts ??= this.#hashParts();
  }

  /** Decides whether the call may be sent for the first time. */
  admit(): CallAdmission {
    const partAdmission = this.#admitParts();
    if (partAdmission.kind !== "free") return partAdmission;
    const { quarantine } = this.#options.dependencies;
    if (quarantine.isEmpty) return { kind: "free" };
    const result: Admission = quarantine.admit(this.digest, this.#nowMs);
    if (result.kind !== "trial") return result;
    this.#endTrial = result.end;
    return { kind: "free" };
  }

  /** Decides whether the engine may begin to write a response, on trial if a part is suspected. */
  admitRun(): CallAdmission {
    const { partQuarantine } = this.#options.dependencies;
    if (partQuarantine.isEmpty || this.#endPartTrial !== undefined) {
      return { kind: "free" };
    }
    const result: PartAdmission = partQuarantine.admit(this.parts, this.#nowMs);
    if (result.kind !== "trial") return result;
    this.#endPartTrial = result.end;
    return { kind: "free" };
  }

  /** Returns the quarantine of the request or of one of its parts, or undefined if there is none. */
  findQuarantined(): Quarantined | undefined {
    const { quarantine, partQuarantine } = this.#options.dependencies;
    const nowMs = this.#nowMs;
    const entry = quarantine.isEmpty
      ? undefined
      : quarantine.findQuarantined(this.digest, nowMs);
    if (entry !== undefined || partQuarantine.isEmpty) return entry;
    return partQuarantine.findQuarantined(this.parts, nowMs);
  }

  /**
   * Returns whether the call may be retried. If one more crash would quarantine the request or a part,
   * the retry is left to the client, which gives the other VMs time to learn of the crashes.
   */
  async mayRetry(): Promise<boolean> {
    const investigations = this.#investigations;
    this.#investigations = [];
    if (investigations.length > 0) {
      await Promise.race([
        Promise.allSettled(investigations),
        sleep(MAX_PROBE_WAIT_MS),
      ]);
    }
    if (!this.#hasLostExchange) return true;
    const { quarantine, partQuarantine } = this.#options.dependencies;
    if (quarantine.isLastTrial(this.digest)) return false;
    return partQuarantine.isEmpty || !partQuarantine.isSuspected(this.parts);
  }

  /**
   * Reports a lost exchange or a refused connection to the crash detector. With `isRun` the engine was
   * to write a response, which may crash it; reading the prompt doesn't.
   */
  trackExchange(
    target: Target,
    exchange: TargetExchange,
    isRun: boolean,
  ): void {
    const { dependencies } = this.#options;
    runReported(dependencies, "attempt", async () => {
      const end = await exchange.ended;
      if (end === "ended") return;
      if (end.fault === "lost") this.recordLoss(target, end.message, isRun);
      if (!end.isConnectionRefused) return;
      await dependencies.crashDetector.recordRefusal(target.id);
    });
  }

  /** Reports a lost response to the crash detector, with `isRun` as for {@linkcode trackExchange}. */
  recordLoss(target: Target, reason: string, isRun: boolean): void {
    const { dependencies, call: { id, host } } = this.#options;
    this.#hasLostExchange = true;
    const investigation = dependencies.crashDetector.investigateLoss({
      call: id,
      request: this.digest,
      account: host,
      parts: isRun ? this.parts : [],
      target: target.id,
      address: target.address,
      reason,
    });
    this.#investigations.push(investigation);
    runReported(dependencies, "attempt", async () => {
      await investigation;
    });
  }

  /** Records that an engine wrote a response on the prompt, which clears its parts. */
  recordPartSuccess(): void {
    const { partQuarantine } = this.#options.dependencies;
    partQuarantine.recordSuccess(this.parts, this.#nowMs);
    this.#endPartTrial?.();
  }

  /** Ends the guard. With `isDelivered` the call ended with a target's response. */
  end(isDelivered: boolean): void {
    runAll([
      ...this.#removeListeners,
      () => this.#endTrial?.(),
      () => this.#endPartTrialOnceKnown(isDelivered),
    ]);
  }

  #endPartTrialOnceKnown(isDelivered: boolean): void {
    if (isDelivered) this.#clear();
    const endPartTrial = this.#endPartTrial;
    if (endPartTrial === undefined) return;
    // The next trial waits until it is known whether this one crashed its engine.
    void Promise.allSettled(this.#investigations).then(endPartTrial);
  }

  #admitParts(): CallAdmission {
    const { partQuarantine } = this.#options.dependencies;
    if (partQuarantine.isEmpty) return { kind: "free" };
    const nowMs = this.#nowMs;
    const entry = partQuarantine.findQuarantined(this.parts, nowMs);
    if (entry !== undefined) return { kind: "quarantined", entry };
    const mayRun = partQuarantine.mayRun(this.parts, nowMs);
    return { kind: mayRun ? "free" : "onTrial" };
  }

  #notifyIfHeld(): void {
    const quarantined = this.findQuarantined();
    if (quarantined !== undefined) this.#options.onQuarantined(quarantined);
  }

  #hashParts(): string[] {
    const { call, service } = this.#options;
    const { host, account = host, generation } = call;
    if (generation === undefined) return [];
    return hashSharedParts({
      account,
      service,
      model: generation.model,
      parts: generation.parts.map(({ id }) => id),
    });
  }

  #clear(): void {
    const { quarantine, log } = this.#options.dependencies;
    const crashes = quarantine.countCrashes(this.digest);
    if (!quarantine.markSuccess(this.digest, this.#nowMs)) return;
    log.write("info", "requestCleared", {
      call: this.#options.call.id,
      request: this.digest,
      crashes,
    });
  }

  get #nowMs(): number {
    return this.#options.dependencies.clock.readMonotonicMs();
  }
}
