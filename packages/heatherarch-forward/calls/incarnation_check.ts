/**
 * Checks that a target is still the incarnation that is listed. A target that starts again under its
 * id may run other software, and serves requests that were meant for the one before.
 *
 * A restart ends all connections. So one check holds until a new connection is opened.
 *
 * @module
 */
import { startStallAwareTimer } from "heatherarch-core";
import type { Target } from "../model.ts";
import type { CallCodec } from "../ports.ts";
import type { TargetConnections } from "./target_connections.ts";

/** Options of {@linkcode IncarnationCheck}. */
export interface IncarnationCheckOptions {
  readonly connections: Pick<TargetConnections, "send" | "countOpened">;
  readonly codec: Pick<CallCodec, "encodeReportRequest" | "decodeReport">;
}

/** Time for a report, which needs no slot of the target, milliseconds. */
const REPORT_TIMEOUT_MS = 300;
const REPORT_LIMITS = { maxBytes: 64 * 1024, timeoutMs: REPORT_TIMEOUT_MS };
/** Targets whose last check is remembered. */
const MAX_CHECKED = 10_000;

/** The checks of one VM. */
export class IncarnationCheck {
  readonly #options: IncarnationCheckOptions;
  /** Number of opened connections up to which a target was the listed incarnation. */
  readonly #checked = new Map<string, number>();

  constructor(options: IncarnationCheckOptions) {
    this.#options = options;
  }

  /**
   * Resolves with whether the target was the listed incarnation until now, so that what it has sent
   * is from that one. Never rejects.
   */
  async confirm(target: Target): Promise<boolean> {
    if (target.startedAtMs === undefined) return true;
    const { connections, codec } = this.#options;
    if (this.#checked.get(target.id) === connections.countOpened(target)) {
      return true;
    }
    const request = codec.encodeReportRequest(target);
    const exchange = connections.send(target, request, { purpose: "report" });
    const stopTimer = startStallAwareTimer(
      () => exchange.abort("no report in time"),
      REPORT_TIMEOUT_MS,
    );
    try {
      const body = await exchange.readBody(REPORT_LIMITS);
      const report = codec.decodeReport(body);
      if (report?.startedAtMs !== target.startedAtMs) return false;
    } catch {
      // Without a report it is not known which incarnation responded.
      return false;
    } finally {
      stopTimer();
    }
    this.#record(target.id, connections.countOpened(target));
    return true;
  }

  #record(id: string, opened: number): void {
    this.#checked.delete(id);
    this.#checked.set(id, opened);
    const [oldest] = this.#checked.keys();
    if (this.#checked.size > MAX_CHECKED) this.#checked.delete(oldest);
  }
}
