/**
 * Tells a crash of a target from a lost answer or connection, after an exchange that ended without
 * an answer. A crash is reported for every request that was in flight at the target.
 *
 * @module
 */
import type { Address, Clock } from "heatherarch-core";
import type { RequestQuarantine } from "./request_quarantine.ts";
import type { ProbeResult, TargetProbe } from "./target_probe.ts";

/** An exchange that was sent and ended without a whole answer. */
export interface Loss {
  readonly call: string;
  /** Digest of the request, and the client account that sent it. */
  readonly request: string;
  readonly account: string;
  /** Incarnation of the target, and its address. */
  readonly target: string;
  readonly address: Address;
  readonly reason: string;
}

/** What showed that a target crashed. */
export type CrashEvidence =
  | "refusedConnection"
  /** Another incarnation answers, or is listed, at its address. */
  | "replaced";

/** Options of {@linkcode CrashDetector}. */
export interface CrashDetectorOptions {
  readonly targetProbe: Pick<TargetProbe, "probe">;
  readonly quarantine: RequestQuarantine;
  readonly clock: Clock;
  /** Whether a target is in service; one that is leaving or gone may stop without having crashed. */
  readonly isInService: (target: string) => boolean;
  readonly onLoss: (loss: Loss, probe: ProbeResult) => void;
  /** A target crashed while it had these requests. */
  readonly onCrash: (
    target: string,
    evidence: CrashEvidence,
    requests: readonly string[],
  ) => void;
}

interface PendingLoss extends Loss {
  readonly atMs: number;
}

/** A crashed process is usually restarted and listed again within this time, milliseconds. */
const EVIDENCE_WINDOW_MS = 10_000;
/** Losses that wait for evidence. */
const MAX_PENDING_LOSSES = 1024;

/** Investigates lost exchanges. */
export class CrashDetector {
  readonly #options: CrashDetectorOptions;
  /** By incarnation of the target. */
  readonly #pending = new Map<string, PendingLoss[]>();
  #pendingCount = 0;

  constructor(options: CrashDetectorOptions) {
    this.#options = options;
  }

  /** Probes the target; settles with the result. Never rejects. */
  async investigateLoss(loss: Loss): Promise<ProbeResult> {
    const { targetProbe, onLoss } = this.#options;
    this.#addPending(loss);
    const probe = await targetProbe.probe(loss.address);
    onLoss(loss, probe);
    if (probe === "refused") this.recordCrash(loss.target, "refusedConnection");
    return probe;
  }

  /** A target crashed: reports it for all requests that were lost there. */
  recordCrash(target: string, evidence: CrashEvidence): void {
    const { quarantine, clock, onCrash: onEnded } = this.#options;
    const nowMs = clock.readMonotonicMs();
    const losses = (this.#pending.get(target) ?? [])
      .filter(({ atMs }) => nowMs - atMs <= EVIDENCE_WINDOW_MS);
    this.#dropPending(target);
    if (losses.length === 0) return;
    const requests = new Set(losses.map(({ request }) => request));
    onEnded(target, evidence, [...requests]);
    for (const { request, account, atMs } of losses) {
      quarantine.recordCrash(request, account, target, atMs);
    }
  }

  /**
   * A target is listed: another incarnation at its address has crashed. A removed entry is no
   * evidence, since the entries of partitioned targets expire as well.
   */
  recordListing(target: string, address: Address): void {
    for (const [life, [loss]] of this.#pending) {
      if (life === target || loss.address !== address) continue;
      this.recordCrash(life, "replaced");
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
