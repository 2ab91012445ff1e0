/**
 * Looks into exchanges that ended without an answer: whether the target's process ended, which
 * counts against all requests that it had, or only an answer or a connection was lost.
 *
 * @module
 */
import type { Address, Clock } from "heatherarch-core";
import type { RequestQuarantine } from "../beliefs/request_quarantine.ts";
import type { TargetDirectory } from "../beliefs/target_directory.ts";
import type { EventLog } from "../event_log.ts";
import type { ProbeResult, TargetProbe } from "../life/target_probe.ts";
import type { ForwardMetrics } from "../metrics.ts";
import type { Target } from "../model.ts";

/** An exchange that was sent and ended without a whole answer. */
export interface Loss {
  readonly call: string;
  /** Digest of the request, and the client account that sent it. */
  readonly request: string;
  readonly account: string;
  readonly target: Target;
  readonly reason: string;
}

/** What showed that a life of a target has ended. */
export type EndEvidence =
  | "refusedConnection"
  /** Another life answers, or is listed, at its address. */
  | "replaced";

/** Options of {@linkcode LossInquiry}. */
export interface LossInquiryOptions {
  readonly targetProbe: Pick<TargetProbe, "probe">;
  readonly quarantine: RequestQuarantine;
  readonly directory: TargetDirectory;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: ForwardMetrics;
}

interface OpenLoss {
  readonly address: Address;
  readonly request: string;
  readonly account: string;
  readonly atMs: number;
}

/** A process that ended is back, and listed, within this time as a rule, milliseconds. */
const OPEN_MS = 10_000;
/** Losses that wait for word of their target. */
const MAX_OPEN = 1024;

/** Inquires into lost exchanges. */
export class LossInquiry {
  readonly #options: LossInquiryOptions;
  /** By life of the target. */
  readonly #open = new Map<string, OpenLoss[]>();
  #openCount = 0;

  constructor(options: LossInquiryOptions) {
    this.#options = options;
  }

  /** Settles when it is known whether the target's process is there. Never rejects. */
  async take(loss: Loss): Promise<ProbeResult> {
    const { call, request, target, reason } = loss;
    const { targetProbe, log } = this.#options;
    this.#addOpen(loss);
    const probe = await targetProbe.probe(target);
    log.write("info", "exchangeLost", {
      call,
      request,
      target: target.id,
      address: target.address,
      reason,
      probe,
    });
    if (probe === "refused") this.noteEnded(target.id, "refusedConnection");
    return probe;
  }

  /** A life of a target has ended: it counts against all requests that were lost there. */
  noteEnded(life: string, evidence: EndEvidence): void {
    const { quarantine, clock, log, metrics } = this.#options;
    const nowMs = clock.readMonotonicMs();
    const losses = (this.#open.get(life) ?? [])
      .filter(({ atMs }) => nowMs - atMs <= OPEN_MS);
    this.#dropOpen(life);
    if (losses.length === 0) return;
    metrics.targetsEnded.inc();
    log.write("warn", "targetEnded", {
      target: life,
      evidence,
      requests: [...new Set(losses.map(({ request }) => request))],
    });
    for (const { request, account, atMs } of losses) {
      quarantine.noteCrash(request, account, life, atMs);
    }
  }

  /**
   * The list names a target: whatever was lost at its address before has ended. That an entry goes
   * tells nothing, since those of targets that are only cut off lapse as well.
   */
  noteListed({ id, address }: Target): void {
    for (const [life, [loss]] of this.#open) {
      if (life === id || loss.address !== address) continue;
      this.noteEnded(life, "replaced");
    }
  }

  /** A target that has announced its end, or is listed no more, ends by itself. */
  #addOpen({ request, account, target }: Loss): void {
    const { address } = target;
    const { directory, clock } = this.#options;
    if (directory.findTarget(target.id) === undefined) return;
    if (directory.isLeaving(target.id)) return;
    const losses = this.#open.get(target.id) ?? [];
    const atMs = clock.readMonotonicMs();
    losses.push({ address, request, account, atMs });
    this.#openCount++;
    this.#open.delete(target.id);
    this.#open.set(target.id, losses);
    const [oldest] = this.#open.keys();
    if (this.#openCount > MAX_OPEN) this.#dropOpen(oldest);
  }

  #dropOpen(life: string): void {
    this.#openCount -= this.#open.get(life)?.length ?? 0;
    this.#open.delete(life);
  }
}
