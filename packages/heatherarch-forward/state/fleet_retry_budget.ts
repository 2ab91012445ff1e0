/**
 * Limits how many retries this VM may send to a service. All VMs share one retry budget. The
 * module has no clock: each update carries the time.
 *
 * In any window the fleet may send a fixed number of retries, plus a share of the number of
 * calls. Each VM has a part of the fixed number, which it may spend in any window, and earns a part of
 * a retry with each call. The sum over all VMs therefore stays within the budget in any window.
 *
 * @module
 */

/** Options of {@linkcode FleetRetryBudget}. */
export interface FleetRetryBudgetOptions {
  /** Retries allowed per window for the whole fleet. */
  readonly fixedPerWindow: number;
  /** Additional retries allowed per call. */
  readonly share: number;
  readonly windowMs: number;
  /** The VM has no part of the fixed number until the number of VMs is set. */
  readonly startsUnlisted?: boolean;
  /** Draws a uniformly distributed number in [0, 1). */
  readonly drawUnit?: () => number;
}

/** A retry that was taken from the budget. */
export interface TakenRetry {
  /** Records that the retry is sent now, which may be later than it was taken. */
  markSent(nowMs: number): void;
  /** Gives the retry back. To be called once, if it was not sent. */
  refund(): void;
}

/** What was taken of the fixed part, and when it was sent. */
interface FixedUse {
  atMs: number;
  readonly amount: number;
}

interface ServiceBudget {
  /** What calls have earned and no retry has spent; negative if a spent part was taken back. */
  earned: number;
  /** Decaying sum of what calls have earned, which limits `earned`. */
  earnedByCalls: number;
  updatedAtMs: number;
  /** Uses of the fixed part within the last window. */
  fixedUses: FixedUse[];
}

/** The remaining tenth covers requests that arrive later than they were sent. */
const USED_FIXED_SHARE = 0.9;
/**
 * Used part of the per-call share: calls and retries are counted in different windows, and two VMs may
 * spend the credit of a call that is handed over if the first one restarts.
 */
const CALL_SHARE_FACTOR = 0.65;
/**
 * A VM keeps what its calls earned in this share of the window, because targets fail in bursts. In any
 * window it may then spend 0.65 of the per-call share, and 0.65 x 0.25 that was earned before.
 */
const KEPT_WINDOW_SHARE = 0.25;
/** A round of a generation call sends up to two requests: a prefill and a run. */
const MAX_PER_ROUND = 2;
/**
 * If a VM's part is smaller than a round, most retries are staked. The expected number then stays below
 * the fixed number by this many standard deviations.
 */
const STAKE_MARGIN_DEVIATIONS = 3;
/** Differences of floating-point numbers below this count as none. */
const TOLERANCE = 1e-9;

/** The part of the fleet's retry budget that one VM may spend. */
export class FleetRetryBudget {
  readonly #options: Required<FleetRetryBudgetOptions>;
  readonly #services = new Map<string, ServiceBudget>();
  /** VMs that share the budget; undefined if that is not known. */
  #liveVms: number | undefined;
  /** A lower number of VMs, and the time at which it was set. It applies a window later. */
  #lowerCount: { readonly vms: number; readonly atMs: number } | undefined;
  /** Until then, this VM has no part of the fixed number. */
  #fixedFromMs = -Infinity;

  constructor(options: FleetRetryBudgetOptions) {
    this.#options = {
      startsUnlisted: false,
      drawUnit: Math.random,
      ...options,
    };
    this.#liveVms = options.startsUnlisted ? undefined : 1;
  }

  /**
   * Sets the number of VMs that share the budget. A lower number applies one window later: the list may
   * be short for a moment, and VMs that left have spent their part.
   */
  setLiveVms(count: number, nowMs = 0): void {
    const vms = Math.max(1, count);
    this.#applyLowerCount(nowMs);
    if (this.#liveVms === undefined || vms >= this.#liveVms) {
      this.#liveVms = vms;
      this.#lowerCount = undefined;
    } else {
      const atMs = this.#lowerCount?.atMs ?? nowMs;
      this.#lowerCount = {
        vms: Math.max(vms, this.#lowerCount?.vms ?? 0),
        atMs,
      };
    }
  }

  /**
   * Withholds the fixed part for one window: another process has spent it, or may have, within the last
   * one.
   */
  withholdFixedPart(nowMs: number): void {
    this.#fixedFromMs = nowMs + this.#options.windowMs;
  }

  /** Credits the service with the fraction of a retry that a call earns. */
  recordCall(service: string, nowMs: number): void {
    const budget = this.#update(service, nowMs);
    const earned = this.#options.share * CALL_SHARE_FACTOR;
    budget.earnedByCalls += earned;
    budget.earned = Math.min(budget.earnedByCalls, budget.earned + earned);
  }

  /** Takes the credit of a call back that another VM counts, also if it has been spent. */
  forgetCall(service: string, nowMs: number): void {
    const budget = this.#update(service, nowMs);
    const earned = this.#options.share * CALL_SHARE_FACTOR;
    budget.earnedByCalls = Math.max(0, budget.earnedByCalls - earned);
    budget.earned -= earned;
  }

  /**
   * Takes `count` retries, or returns undefined. In a large fleet, what the calls of a VM earn may never
   * add up to one. Then what is left is staked: all are taken with the probability at which the expected
   * number is what was left, and that is spent in any case.
   */
  takeRetries(
    service: string,
    count: number,
    nowMs: number,
  ): TakenRetry[] | undefined {
    const budget = this.#update(service, nowMs);
    const left = Math.max(0, this.getAvailable(service, nowMs));
    const cost = Math.min(1, left / count);
    const isCovered = cost > 1 - TOLERANCE;
    const most = this.#computeFixedLeft(budget, nowMs) + budget.earnedByCalls;
    if (!isCovered && most >= 1) return undefined;
    const retries = Array.from(
      { length: count },
      () => takeRetry(budget, cost, nowMs),
    );
    return isCovered || this.#options.drawUnit() < cost ? retries : undefined;
  }

  /** Whether {@linkcode takeRetries} would take `count` retries, or stake what is left. */
  mayTakeRetries(service: string, count: number, nowMs: number): boolean {
    const budget = this.#update(service, nowMs);
    const left = this.getAvailable(service, nowMs);
    if (left >= count - TOLERANCE) return true;
    const most = this.#computeFixedLeft(budget, nowMs) + budget.earnedByCalls;
    return most < 1 && left > TOLERANCE;
  }

  /** Number of retries that may be sent to the service now; a part of one is staked. */
  getAvailable(service: string, nowMs: number): number {
    const budget = this.#update(service, nowMs);
    return budget.earned + this.#computeFixedLeft(budget, nowMs);
  }

  #computeFixedLeft({ fixedUses }: ServiceBudget, nowMs: number): number {
    const used = fixedUses.reduce((sum, { amount }) => sum + amount, 0);
    return Math.max(0, this.#computeFixedPart(nowMs) - used);
  }

  /** This VM's part of the fixed number. */
  #computeFixedPart(nowMs: number): number {
    this.#applyLowerCount(nowMs);
    if (this.#liveVms === undefined || nowMs < this.#fixedFromMs) return 0;
    const { fixedPerWindow } = this.#options;
    const evenPart = fixedPerWindow * USED_FIXED_SHARE / this.#liveVms;
    // The rest of a part would be staked by all VMs, and exceed a small fixed number by chance.
    if (evenPart >= MAX_PER_ROUND) return Math.floor(evenPart);
    const deviation = Math.sqrt(MAX_PER_ROUND * fixedPerWindow);
    const expected = fixedPerWindow - STAKE_MARGIN_DEVIATIONS * deviation;
    return Math.min(evenPart, Math.max(0, expected) / this.#liveVms);
  }

  #applyLowerCount(nowMs: number): void {
    const lower = this.#lowerCount;
    if (lower === undefined) return;
    if (nowMs - lower.atMs < this.#options.windowMs) return;
    this.#liveVms = lower.vms;
    this.#lowerCount = undefined;
  }

  #update(service: string, nowMs: number): ServiceBudget {
    let budget = this.#services.get(service);
    if (budget === undefined) {
      budget = {
        earned: 0,
        earnedByCalls: 0,
        updatedAtMs: nowMs,
        fixedUses: [],
      };
      this.#services.set(service, budget);
    }
    const { windowMs } = this.#options;
    const elapsedMs = nowMs - budget.updatedAtMs;
    budget.earnedByCalls *= Math.exp(
      -elapsedMs / (windowMs * KEPT_WINDOW_SHARE),
    );
    budget.earned = budget.earned < 0
      ? budget.earned * Math.exp(-elapsedMs / windowMs)
      : Math.min(budget.earnedByCalls, budget.earned);
    budget.fixedUses = budget.fixedUses.filter(({ atMs }) =>
      atMs > nowMs - windowMs
    );
    budget.updatedAtMs = nowMs;
    return budget;
  }
}

/** Takes one retry at `cost`: what calls have earned first, as it decays. */
function takeRetry(
  budget: ServiceBudget,
  cost: number,
  nowMs: number,
): TakenRetry {
  const fromEarned = Math.min(cost, Math.max(0, budget.earned));
  budget.earned -= fromEarned;
  const use: FixedUse = { atMs: nowMs, amount: cost - fromEarned };
  if (use.amount > TOLERANCE) budget.fixedUses.push(use);
  return {
    markSent: (sentAtMs) => {
      use.atMs = sentAtMs;
    },
    refund: () => {
      budget.earned += fromEarned;
      budget.fixedUses = budget.fixedUses.filter((other) => other !== use);
    },
  };
}
