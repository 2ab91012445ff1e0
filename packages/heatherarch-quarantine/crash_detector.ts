/**
 * Distinguishes a target crash from a lost response or connection after an exchange ended without
 * a response. A crash is reported for every request that was in flight at the target.
 *
 * @module
 */
import type { Address, Clock } from "heatherarch-core";
import type { PartQuarantine } from "./part_quarantine.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import type { ProbeResult, TargetProbe } from "./target_probe.ts";

/** An exchange that was sent and ended without a complete response. */
export interface Loss {
  readonly call: string;
  /** Digest of the request. */
  readonly request: string;
  /** Client account that sent the request. */
  readonly account: string;
  /** Digests of the shared parts of the prompt, if the target began to write a response on it. */
  readonly parts?: readonly string[];
  /** Incarnation of the target. */
  readonly target: string;
  readonly address: Address;
  readonly reason: string;
}

/** Observation that proves that a target crashed. */
export type CrashEvidence =
  | "refusedConnection"
  /** Another incarnation answers or is listed at the target's address. */
  | "replaced";

/** Options of {@linkcode CrashDetector}. */
export interface CrashDetectorOptions {
  readonly targetProbe: Pick<TargetProbe, "probe">;
  readonly quarantine: RequestQuarantine;
  readonly partQuarantine?: PartQuarantine;
  readonly clock: Clock;
  /** Whether a target is in service. A target that is leaving or gone may stop without a crash. */
  readonly isInService: (target: string) => boolean;
  /**
   * Resolves with whether a refused connection tells of the target. If this VM reaches no other target
   * either, its own path may be at fault.
   */
  readonly isRefusalCredible: (target: string) => Promise<boolean>;
  /** Called after the target of a lost exchange was probed. */
  readonly onLoss: (loss: Loss, probe: ProbeResult) => void;
  /** Called when a target crashed while these requests were in flight there. */
  readonly onCrash: (
    target: string,
    evidence: CrashEvidence,
    requests: readonly string[],
  ) => void;
}

interface PendingLoss extends Loss {
  readonly atMs: number;
}

/** A crashed process is usually restarted and listed again within this time. */
const EVIDENCE_WINDOW_MS = 10_000;
/** Maximum number of losses that wait for evidence of a crash. */
const MAX_PENDING_LOSSES = 1024;

/** Detects target crashes by investigating lost exchanges. */
export class CrashDetector {
  readonly #options: CrashDetectorOptions;
  /** Pending losses by incarnation of the target. */
  readonly #pending = new Map<string, PendingLoss[]>();
  #pendingCount = 0;

  constructor(options: CrashDetectorOptions) {
    this.#options = options;
  }

  /** Probes the target of a lost exchange and resolves with the result. Never rejects. */
  async investigateLoss(loss: Loss): Promise<ProbeResult> {
    const { targetProbe, onLoss } = this.#options;
    this.#addPending(loss);
    const probe = await targetProbe.probe(loss.address);
    onLoss(loss, probe);
    if (probe === "refused") await this.recordRefusal(loss.target);
    return probe;
  }

  /** Records that a target refused a connection, which proves a crash if it is credible. */
  async recordRefusal(target: string): Promise<void> {
    if (!this.#pending.has(target)) return;
    if (!await this.#options.isRefusalCredible(target)) return;
    this.recordCrash(target, "refusedConnection");
  }

  /** Records that a target crashed, and reports the crash for all requests that were lost there. */
  recordCrash(target: string, evidence: CrashEvidence): void {
    const { quarantine, partQuarantine, clock, onCrash } = this.#options;
    const nowMs = clock.readMonotonicMs();
    const losses = (this.#pending.get(target) ?? [])
      .filter(({ atMs }) => nowMs - atMs <= EVIDENCE_WINDOW_MS);
    this.#dropPending(target);
    if (losses.length === 0) return;
    const requests = new Set(losses.map(({ request }) => request));
    onCrash(target, evidence, [...requests]);
    for (const { request, account, parts = [], atMs } of losses) {
      quarantine.recordCrash(request, account, target, atMs);
      partQuarantine?.recordCrash(parts, account, target, atMs);
    }
  }

  /**
   * Records that a target is listed. Any other incarnation at the same address has crashed. A
   * removed list entry is no evidence, since the entries of partitioned targets expire as well.
   */
  recordListing(target: string, address: Address): void {
    for (const [incarnation, [loss]] of this.#pending) {
      if (incarnation === target || loss.address !== address) continue;
      this.recordCrash(incarnation, "replaced");
    }
  }

  #addPending(loss: Loss): void {
    const { isInService, clock } = this.#options;
    const { target } = loss;
    if (!isInService(target)) return;
    const losses = this.#pending.get(target) ?? [];
    losses.push({ ...loss, atMs: clock.readMonotonicMs() });
    this.#pendingCount++;
    this.#pending.delete(target);
    this.#pending.set(target, losses);
    const [oldest] = this.#pending.keys();
    if (this.#pendingCount > MAX_PENDING_LOSSES) this.#dropPending(oldest);
  }

  #dropPending(target: string): void {
    this.#pendingCount -= this.#pending.get(target)?.length ?? 0;
    this.#pending.delete(target);
  }
}
