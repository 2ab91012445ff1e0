/**
 * Asks plain targets that were slow and have no calls whether they still are.
 *
 * Addresses targets that nobody calls because they were slow a moment ago: without a new report, VMs
 * either miss the end of the slowdown or find out by calls that become late. The VM that has observed
 * a slowdown asks, so that one VM asks and not all.
 *
 * @module
 */
import type { Clock } from "heatherarch-core";
import type { TargetLoads } from "heatherarch-load";
import type { CallDependencies } from "../call_dependencies.ts";
import type { Target } from "../model.ts";

/** Options of {@linkcode LoadProber}. */
export interface LoadProberOptions {
  readonly clock: Clock;
  readonly targetLoads: Pick<TargetLoads, "find" | "estimateSlowdown">;
  readonly workTracker: Pick<CallDependencies["workTracker"], "getRunLoad">;
  readonly rateLimits: Pick<CallDependencies["rateLimits"], "getMaxPerSecond">;
  readonly directory: Pick<
    CallDependencies["directory"],
    "findTarget" | "isLeaving"
  >;
  /** Sends a request that the target does not run; its response carries the load. */
  readonly probe: (target: Target) => Promise<unknown>;
}

/** Age of a report at which it is renewed, milliseconds: a quarter of the time that slowdowns last. */
const PROBE_AGE_MS = 150;
/** Ratio to its long-run mean from which on a target counts as slow at the moment. */
const MIN_SLOWDOWN_RATIO = 1.25;

/** Renews the reports of one VM. */
export class LoadProber {
  readonly #options: LoadProberOptions;
  readonly #timers = new Map<string, NodeJS.Timeout>();
  #isStopped = false;

  constructor(options: LoadProberOptions) {
    this.#options = options;
  }

  /** Handles that a response to this VM has reported a slowdown. */
  handleReport(target: Target, slowdown: number): void {
    clearTimeout(this.#timers.get(target.id));
    this.#timers.delete(target.id);
    // Engines report often: their prompts and streams do not end together.
    if (target.role !== undefined || this.#isStopped) return;
    const { targetLoads } = this.#options;
    const meanSlowdown = targetLoads.estimateSlowdown(target.id, Infinity);
    if (slowdown < meanSlowdown * MIN_SLOWDOWN_RATIO) return;
    const timer = setTimeout(() => {
      this.#timers.delete(target.id);
      if (this.#mustProbe(target)) void this.#options.probe(target);
    }, PROBE_AGE_MS);
    timer.unref();
    this.#timers.set(target.id, timer);
  }

  stop(): void {
    this.#isStopped = true;
    for (const timer of this.#timers.values()) clearTimeout(timer);
    this.#timers.clear();
  }

  #mustProbe({ id }: Target): boolean {
    const { clock, targetLoads, workTracker, rateLimits, directory } =
      this.#options;
    if (directory.findTarget(id) === undefined || directory.isLeaving(id)) {
      return false;
    }
    // A probe would use up the limit.
    if (rateLimits.getMaxPerSecond(id) !== undefined) return false;
    const nowMs = clock.readMonotonicMs();
    const found = targetLoads.find(id, nowMs);
    // A peer has a newer report, and asks if it has to.
    if (found === undefined || found.ageMs < PROBE_AGE_MS / 2) return false;
    // The responses to calls in progress will tell.
    return workTracker.getRunLoad(id, nowMs).runs === 0;
  }
}
