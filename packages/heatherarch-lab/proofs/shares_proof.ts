/**
 * Proof of the shares of client accounts. Accounts within their shares are served while another asks
 * for forty times as much, at one VM or at several, and no call waits while there is room, although
 * sums of use lag, are lost or arrive twice. Each of these accounts connects to a VM that the large
 * one uses too.
 *
 * @module
 */
import fc from "fast-check";
import { assertProperty, type Proof } from "./proof.ts";
import {
  SHARES_GUARDS,
  type SharesGuard,
  type SharesSchedule,
  simulateSharesSchedule,
} from "./shares_simulation.ts";

/** Least share of its calls that an account within its share has served. */
const MIN_SERVED = 0.9;

function checkSchedule(
  schedule: SharesSchedule,
  disabledGuard: SharesGuard | undefined,
): void {
  const { leastServed, idleCount } = simulateSharesSchedule(
    schedule,
    disabledGuard,
  );
  assertProperty(
    idleCount === 0,
    "no call waits while there is room",
    `${idleCount} times`,
  );
  assertProperty(
    leastServed >= MIN_SERVED,
    "an account within its share is served",
    `${leastServed.toFixed(2)} of its calls`,
  );
}

/** Shares of client accounts. */
export const SHARES_PROOF: Proof = {
  name: "shares",
  guards: SHARES_GUARDS,
  build: (disabledGuard) =>
    fc.property(
      fc.record({
        vms: fc.integer({ min: 1, max: 5 }),
        largeVms: fc.integer({ min: 1, max: 5 }),
        smallAccounts: fc.integer({ min: 2, max: 4 }),
        wasLarge: fc.boolean(),
        lagMs: fc.constantFrom(0, 60, 250, 600),
        lostShare: fc.constantFrom(0, 0.1, 0.3),
        repeatedShare: fc.constantFrom(0, 0.3, 1),
        seed: fc.integer({ min: 0, max: 1_000_000 }),
      }),
      (schedule) =>
        checkSchedule(schedule, disabledGuard as SharesGuard | undefined),
    ),
};
