/**
 * Checks that a target is still the incarnation that is listed. A target that starts again under its
 * id may run other software, and serves requests that were meant for the one before.
 *
 * A restart ends all connections. So one check holds until a new connection is opened.
 *
 * @module
 */
import { sleep, startStallAwareTimer } from "heatherarch-core";
import type { Target } from "../model.ts";
import type { CallCodec } from "../ports.ts";
import type { CallContext } from "./call_context.ts";
import { computeMaxWaitMs } from "./end_confirmation.ts";
import type { TargetConnections } from "./target_connections.ts";
import type { TargetExchange } from "./target_exchange.ts";

/** Options of {@linkcode IncarnationCheck}. */
export interface IncarnationCheckOptions {
  readonly connections: Pick<TargetConnections, "send" | "findLatestOpened">;
  readonly codec: Pick<
    CallCodec,
    "encodeReportRequest" | "decodeReport" | "decodeResponse"
  >;
}

/** Time for a report, which needs no slot of the target, milliseconds. */
const REPORT_TIMEOUT_MS = 300;
const REPORT_LIMITS = { maxBytes: 64 * 1024, timeoutMs: REPORT_TIMEOUT_MS };
/** Targets whose last check is remembered. */
const MAX_CHECKED = 10_000;

/** Pause after a check that told nothing, milliseconds. */
const RETRY_PAUSE_MS = 30;

/** Which incarnation of a target a report is of: the listed one, another one, or it is not known. */
export type IncarnationAnswer = "same" | "other" | "unknown";

type Waiter = (answer: IncarnationAnswer) => void;

/** The checks of one VM. */
export class IncarnationCheck {
  readonly #options: IncarnationCheckOptions;
  /** Number of the latest connection up to which a target was the listed incarnation. */
  readonly #checked = new Map<string, number>();
  /** Waiters that came after the check in progress of a target was sent. */
  readonly #waiting = new Map<string, Waiter[]>();

  constructor(options: IncarnationCheckOptions) {
    this.#options = options;
  }

  /**
   * Resolves with whether the target was the listed incarnation until now, so that what it has sent
   * is from that one. A check answers all that waited before it was sent; there is one at a time for
   * each target. Never rejects.
   */
  async check(target: Target): Promise<IncarnationAnswer> {
    if (target.startedAtMs === undefined) return "same";
    if (this.#isChecked(target)) return "same";
    return await new Promise((resolve) => this.#addWaiter(target, resolve));
  }

  #addWaiter(target: Target, waiter: Waiter): void {
    const waiting = this.#waiting.get(target.id);
    if (waiting !== undefined) {
      waiting.push(waiter);
      return;
    }
    this.#waiting.set(target.id, [waiter]);
    void this.#checkWhileWaiting(target);
  }

  async #checkWhileWaiting(target: Target): Promise<void> {
    let batch = this.#waiting.get(target.id) ?? [];
    while (batch.length > 0) {
      this.#waiting.set(target.id, []);
      const answer = this.#isChecked(target)
        ? "same"
        : await this.#requestReport(target);
      for (const settle of batch) settle(answer);
      batch = this.#waiting.get(target.id) ?? [];
    }
    this.#waiting.delete(target.id);
  }

  async #requestReport(target: Target): Promise<IncarnationAnswer> {
    try {
      return await this.#awaitReport(target);
    } catch {
      // Without a report it is not known which incarnation responded.
      return "unknown";
    }
  }

  async #awaitReport(target: Target): Promise<IncarnationAnswer> {
    const { connections, codec } = this.#options;
    // A connection that opens from now on may be to another incarnation.
    const opened = connections.findLatestOpened(target);
    const request = codec.encodeReportRequest(target);
    const exchange = connections.send(target, request, { purpose: "report" });
    const stopTimer = startStallAwareTimer(
      () => exchange.abort("no report in time"),
      REPORT_TIMEOUT_MS,
    );
    try {
      const answer = await this.#classifyReport(target, exchange);
      if (answer === "same" && opened !== undefined) {
        this.#record(target.id, opened);
      }
      return answer;
    } finally {
      stopTimer();
    }
  }

  async #classifyReport(
    target: Target,
    exchange: TargetExchange,
  ): Promise<IncarnationAnswer> {
    const { codec } = this.#options;
    const { status, headers } = await exchange.head;
    if (codec.decodeResponse(status, headers).misdirected) {
      exchange.discardBody();
      return "other";
    }
    const report = codec.decodeReport(await exchange.readBody(REPORT_LIMITS));
    if (report?.startedAtMs === undefined) return "unknown";
    return report.startedAtMs === target.startedAtMs ? "same" : "other";
  }

  #isChecked(target: Target): boolean {
    const opened = this.#options.connections.findLatestOpened(target);
    return opened !== undefined && this.#checked.get(target.id) === opened;
  }

  #record(id: string, opened: number): void {
    this.#checked.delete(id);
    this.#checked.set(id, opened);
    const [oldest] = this.#checked.keys();
    if (this.#checked.size > MAX_CHECKED) this.#checked.delete(oldest);
  }
}

/** Options of {@linkcode confirmIncarnation}. */
export interface ConfirmIncarnationOptions {
  /** Whether the call can still be served by another target in time. */
  readonly canGoElsewhere: () => boolean;
}

/**
 * Resolves with whether what has arrived of a response is from the listed incarnation of its target.
 * While that is not known, it asks again: until the call or the exchange has failed, or until a call
 * that can run elsewhere has to go on.
 */
export async function confirmIncarnation(
  context: CallContext,
  target: Target,
  exchange: TargetExchange,
  { canGoElsewhere }: ConfirmIncarnationOptions,
): Promise<boolean> {
  const { incarnationCheck } = context.dependencies;
  const maxWaitMs = computeMaxWaitMs(context);
  let giveUp!: () => void;
  const givenUp = new Promise<"givenUp">((resolve) => {
    giveUp = () => resolve("givenUp");
  });
  const stopTimer = maxWaitMs === undefined
    ? () => undefined
    : startStallAwareTimer(() => canGoElsewhere() && giveUp(), maxWaitMs);
  void context.ended.then(giveUp);
  void exchange.ended.then((end) => end !== "ended" && giveUp());
  try {
    while (true) {
      const answer = await Promise.race([
        incarnationCheck.check(target),
        givenUp,
      ]);
      if (answer !== "unknown") return answer === "same";
      await Promise.race([sleep(RETRY_PAUSE_MS), givenUp]);
    }
  } finally {
    stopTimer();
  }
}
