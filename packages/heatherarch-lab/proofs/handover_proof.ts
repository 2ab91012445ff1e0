/**
 * Proof of calls that are handed over to peers. Attempts, offers and connections fail at any point, at
 * both VMs.
 *
 * @module
 */
import fc from "fast-check";
import {
  HANDOVER_GUARDS,
  type HandoverGuard,
  type HandoverSchedule,
  simulateHandover,
  WHOLE_BODY,
} from "./handover_simulation.ts";
import { assertProperty, type Proof } from "./proof.ts";

/** Statuses that promise that the call has not run and will not run. */
const NOT_RUN: ReadonlySet<number | undefined> = new Set([408, 421, 429, 503]);
const HTTP_OK = 200;

async function checkSchedule(
  schedule: HandoverSchedule,
  disabledGuard: string | undefined,
): Promise<void> {
  const outcome = await simulateHandover(
    schedule,
    disabledGuard as HandoverGuard | undefined,
  );
  const { runs, status, isWhole, body, secondHops } = outcome;
  const { retries, retriesTaken } = outcome;
  const allowed = schedule.kind === "once" ? 1 : 2;
  const detail = JSON.stringify({ schedule, runs, status });
  assertProperty(runs <= allowed, "a call runs as often as it may", detail);
  assertProperty(
    !NOT_RUN.has(status) || runs === 0,
    "a refused call has not run",
    detail,
  );
  assertProperty(
    status !== HTTP_OK || !isWhole || body === WHOLE_BODY,
    "a complete response is whole",
    detail,
  );
  assertProperty(
    outcome.givenUp === 0,
    "an exchange is given up only for a peer whose response has begun",
    detail,
  );
  assertProperty(secondHops === 0, "a call is handed over once", detail);
  assertProperty(
    retries <= retriesTaken,
    "each request beyond the first is taken from the retry budget",
    `${retries} sent, ${retriesTaken} taken: ${detail}`,
  );
}

/** Calls are handed over after two attempts that reached no target, so those come often. */
const TARGET_END = fc.constantFrom(
  "notSent" as const,
  "notSent" as const,
  "notSent" as const,
  "lostBefore" as const,
  "lostAfter" as const,
  "refused" as const,
  "late" as const,
  "ok" as const,
);
const PEER_END = fc.constantFrom(
  "declined" as const,
  "lostAfterSend" as const,
  "lostInResponse" as const,
  "silent" as const,
  "ok" as const,
);

/** Calls that are handed over to peers. */
export const HANDOVER_PROOF: Proof = {
  name: "handover",
  guards: HANDOVER_GUARDS,
  build: (disabledGuard) =>
    fc.asyncProperty(
      fc.record({
        kind: fc.constantFrom("once" as const, "idempotent" as const),
        isPathLost: fc.boolean(),
        ownAttempts: fc.array(TARGET_END, { maxLength: 3 }),
        peerAttempts: fc.array(TARGET_END, { maxLength: 4 }),
        offers: fc.array(PEER_END, { maxLength: 4 }),
      }),
      (schedule) => checkSchedule(schedule, disabledGuard),
    ),
};
