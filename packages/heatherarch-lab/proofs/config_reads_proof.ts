/**
 * Proof of the timing of configuration reads. A store stops responding several times, and the
 * configuration changes right after its last recovery.
 *
 * @module
 */
import fc from "fast-check";
import { type ConfigReadTiming, planConfigReads } from "heatherarch-forward";
import {
  measureDelays,
  REQUEST_TIMEOUT_MS,
  type SilentPeriod,
  TICK_MS,
} from "./config_reads_simulation.ts";
import { assertProperty, type Proof } from "./proof.ts";

const GUARDS = ["holdFromBound", "limitFromBound", "pauseFromBound"] as const;

const BOUND_MS = 2000;
/** Share of the bound within which a reader gets the change. Hubs forward it in the time left. */
const READER_BOUND_SHARE = 0.75;
/** Timings that are not derived from the bound, by the guard that they disable. */
const FIXED_TIMINGS: Readonly<
  Record<typeof GUARDS[number], Partial<ConfigReadTiming>>
> = {
  holdFromBound: { waitMs: 2000 },
  limitFromBound: { timeoutMs: REQUEST_TIMEOUT_MS },
  pauseFromBound: { retryMs: 1000 },
};

interface Schedule {
  /** Silent periods of the store, each after a time in which it responds. */
  readonly periods: readonly {
    readonly afterMs: number;
    readonly forMs: number;
  }[];
  readonly unit: number;
}

function buildSilentPeriods({ periods }: Schedule): SilentPeriod[] {
  let nowMs = 0;
  return periods.map(({ afterMs, forMs }) => {
    const fromMs = nowMs + afterMs;
    nowMs = fromMs + forMs;
    return { fromMs, untilMs: nowMs };
  });
}

async function checkSchedule(
  schedule: Schedule,
  disabledGuard: string | undefined,
): Promise<void> {
  const derivedTiming = planConfigReads({
    configBoundMs: BOUND_MS,
    configWaitMs: BOUND_MS / 2,
    requestTimeoutMs: REQUEST_TIMEOUT_MS,
  });
  const disabled = GUARDS.find((guard) => guard === disabledGuard);
  const [delayMs] = await measureDelays({
    reads: disabled === undefined
      ? derivedTiming
      : { ...derivedTiming, ...FIXED_TIMINGS[disabled] },
    stores: [buildSilentPeriods(schedule)],
    observationMs: 2 * BOUND_MS,
    drawUnit: () => schedule.unit,
  });
  assertProperty(
    delayMs <= BOUND_MS * READER_BOUND_SHARE + 5 * TICK_MS,
    "a change is read within the bound",
    `${delayMs} ms after the store recovered`,
  );
}

/** Configuration reads from a store with random silent periods. */
export const CONFIG_READS_PROOF: Proof = {
  name: "config-reads",
  guards: GUARDS,
  build: (disabledGuard) =>
    fc.asyncProperty(
      fc.record({
        periods: fc.array(
          fc.record({
            afterMs: fc.integer({ min: TICK_MS, max: 2000 }),
            forMs: fc.integer({ min: TICK_MS, max: 4000 }),
          }),
          { minLength: 1, maxLength: 3 },
        ),
        unit: fc.constantFrom(0, 0.25, 0.5, 0.99),
      }),
      (schedule) => checkSchedule(schedule, disabledGuard),
    ),
};
