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
export type EndEvidence =
  | "refusedConnection"
  /** Another incarnation answers, or is listed, at its address. */
  | "replaced";

/** Options of {@linkcode LossInquiry}. */
export interface LossInquiryOptions {
  readonly targetProbe: Pick<TargetProbe, "probe">;
  readonly quarantine: RequestQuarantine;
  readonly clock: Clock;
  /** Whether a target is in service; one that is leaving or gone may stop without having crashed. */
  readonly isInService: (target: string) => boolean;
  readonly onLoss: (loss: Loss, probe: ProbeResult) => void;
  /** A target crashed while it had these requests. */
  readonly onEnded: (
    target: string,
    evidence: EndEvidence,
    requests: readonly string[],
  ) => void;
}

interface OpenLoss extends Loss {
  readonly atMs: number;
}

/** A crashed process is usually restarted and listed again within this time, milliseconds. */
const OPEN_MS = 10_000;
/** Losses that wait for evidence. */
const MAX_OPEN = 1024;

/** Investigates lost exchanges. */
export class LossInquiry {
  readonly #options: LossInquiryOptions;
  /** By incarnation of the target. */
  readonly #open = new Map<string, OpenLoss[]>();
  #openCount = 0;

  constructor(options: LossInquiryOptions) {
    this.#options = options;
  }

  /** Probes the target; settles with the result. Never rejects. */
  async take(loss: Loss): Promise<ProbeResult> {
    const { targetProbe, onLoss } = this.#options;
    this.#addOpen(loss);
    const probe = await targetProbe.probe(loss.address);
    onLoss(loss, probe);
    if (probe === "refused") this.noteEnded(loss.target, "refusedConnection");
    return probe;
  }

  /** A target crashed: reports it for all requests that were lost there. */
  noteEnded(target: string, evidence: EndEvidence): void {
    const { quarantine, clock, onEnded } = this.#options;
    const nowMs = clock.readMonotonicMs();
    const losses = (this.#open.get(target) ?? [])
      .filter(({ atMs }) => nowMs - atMs <= OPEN_MS);
    this.#dropOpen(target);
    if (losses.length === 0) return;
    const requests = new Set(losses.map(({ request }) => request));
    onEnded(target, evidence, [...requests]);
    for (const { request, account, atMs } of losses) {
      quarantine.noteCrash(request, account, target, atMs);
    }
  }

  /**
   * A target is listed: another incarnation at its address has crashed. A removed entry is no
   * evidence, since the entries of partitioned targets expire as well.
   */
  noteListed(target: string, address: Address): void {
    for (const [life, [loss]] of this.#open) {
      if (life === target || loss.address !== address) continue;
      this.noteEnded(life, "replaced");
    }
  }

  #addOpen(loss: Loss): void {
    const { isInService, clock } = this.#options;
    const { target } = loss;
    if (!isInService(target)) return;
    const losses = this.#open.get(target) ?? [];
    losses.push({ ...loss, atMs: clock.readMonotonicMs() });
    this.#openCount++;
    this.#open.delete(target);
    this.#open.set(target, losses);
    const [oldest] = this.#open.keys();
    if (this.#openCount > MAX_OPEN) this.#dropOpen(oldest);
  }

  #dropOpen(target: string): void {
    this.#openCount -= this.#open.get(target)?.length ?? 0;
    this.#open.delete(target);
  }
}
