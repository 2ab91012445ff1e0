/**
 * Caches the engines that may prefill prompts now, each with its backlog, for prompts that are
 * placed one after another.
 *
 * In a burst a VM has ten or more waiting prompts and dispatches some tens of times a second. The
 * prompts of one dispatch share one computation over all engines, of which there can be 82.
 *
 * @module
 */
import type { CallContext } from "../calls/call_context.ts";
import { listUsableEngines } from "./engine_selection.ts";
import type { Target } from "../model.ts";
import { MAX_RATE_LIMIT_DELAY_MS } from "./retry_after.ts";
import type { PrefillCandidate } from "./prompt_placement.ts";

/** Engines and backlogs at one point in time. */
interface Snapshot {
  readonly service: string;
  readonly atMs: number;
  /** Version of the work tracker from which the backlogs were computed. */
  readonly version: number;
  readonly serving: readonly Target[];
  readonly candidates: readonly PrefillCandidate[];
  readonly prefillEngines: readonly Target[];
  readonly decodeEngines: readonly Target[];
  readonly leavingEngines: readonly Target[];
}

/** A snapshot is reused for this long while no work changes: the duration of one dispatch. */
const MAX_AGE_MS = 2;
const NO_TARGETS: ReadonlySet<string> = new Set();

/** Cache of prefill candidates of one VM. */
export class PrefillCandidateCache {
  #snapshot: Snapshot | undefined;

  /** Lists the engines that may prefill the prompt of the call now, without those in `tried`. */
  listCandidates(
    context: CallContext,
    tried: ReadonlySet<string>,
  ): readonly PrefillCandidate[] {
    const { candidates } = this.#getSnapshot(context);
    if (!candidates.some(({ target }) => tried.has(target.id))) {
      return candidates;
    }
    return buildCandidates(context, tried);
  }

  /** Lists all prefill engines of the service, including those that are not available now. */
  listPrefillEngines(context: CallContext): readonly Target[] {
    return this.#getSnapshot(context).prefillEngines;
  }

  /** Lists all decode engines of the service, including those that are not available now. */
  listDecodeEngines(context: CallContext): readonly Target[] {
    return this.#getSnapshot(context).decodeEngines;
  }

  /** Lists the engines of the service that are leaving. */
  listLeavingEngines(context: CallContext): readonly Target[] {
    return this.#getSnapshot(context).leavingEngines;
  }

  #getSnapshot(context: CallContext): Snapshot {
    const { directory, workTracker } = context.dependencies;
    const { name } = context.service;
    const serving = directory.listServing(name);
    const snapshot = this.#snapshot;
    const isCurrent = snapshot !== undefined && snapshot.service === name &&
      snapshot.version === workTracker.version &&
      snapshot.serving === serving &&
      context.nowMs - snapshot.atMs <= MAX_AGE_MS;
    if (isCurrent) return snapshot;
    this.#snapshot = {
      service: name,
      atMs: context.nowMs,
      version: workTracker.version,
      serving,
      candidates: buildCandidates(context, NO_TARGETS),
      prefillEngines: serving.filter((target) => target.role === "prefill"),
      decodeEngines: serving.filter((target) => target.role === "decode"),
      leavingEngines: directory.listLeaving(name),
    };
    return this.#snapshot;
  }
}

function buildCandidates(
  context: CallContext,
  tried: ReadonlySet<string>,
): PrefillCandidate[] {
  const { workTracker, rateLimits, targetLoads } = context.dependencies;
  const nowMs = context.nowMs;
  return listUsableEngines(context, { phase: "reading", tried }).map(
    (target) => {
      const backlogMs = Math.max(
        workTracker.getPrefillBacklogMs(target.id, nowMs),
        Math.min(
          rateLimits.getDelayMs(target.id, nowMs),
          MAX_RATE_LIMIT_DELAY_MS,
        ),
      );
      // The prefill begins when the backlog is done.
      const slowdown = targetLoads.estimateSlowdown(
        target.id,
        nowMs + backlogMs,
      );
      return { target, backlogMs, slowdown };
    },
  );
}
