/**
 * Proof that a VM that stops ends what it accepts, and that its refusals are true. Calls arrive before and
 * during all phases, on connections that are kept and pipelined; targets fall silent, and the process stalls.
 *
 * @module
 */
import fc from "fast-check";
import { assertProperty, type Proof } from "./proof.ts";
import {
  type CallRecord,
  LIFE_MS,
  SHUTDOWN_GUARDS,
  type ShutdownGuard,
  type ShutdownSchedule,
  simulateShutdown,
  STEP_MS,
  STOP_AT_MS,
} from "./shutdown_simulation.ts";

/** Statuses that promise that the call has not run and will not run. */
const NOT_RUN = 503;
const CUT = 502;
/** A sound target is silent for this long at most, milliseconds. */
const MAX_SILENCE_MS = 1500;
/** Time from the begin in which no call is refused that can end. */
const EARLY_MS = 2000;
const MAX_RECORDED_MS = 4000;

async function checkSchedule(
  schedule: ShutdownSchedule,
  disabledGuard: string | undefined,
): Promise<void> {
  const records = await simulateShutdown(
    schedule,
    disabledGuard as ShutdownGuard | undefined,
  );
  for (const record of records) checkCall(record, schedule);
}

function checkCall(record: CallRecord, schedule: ShutdownSchedule): void {
  const { status, runs, refusedAfterMs } = record;
  const detail = JSON.stringify({ record, schedule });
  assertProperty(
    record.responses === (record.isRead ? 1 : 0),
    "each call that was read gets one response",
    detail,
  );
  assertProperty(
    status !== NOT_RUN || runs === 0,
    "a refused call has not run",
    detail,
  );
  assertProperty(runs <= 1, "a call runs at most once", detail);
  assertProperty(
    !record.isAdmittedAtEnd,
    "no call is admitted once the VM has ended",
    detail,
  );
  // A call that still waits is refused as not run.
  const isCut = record.isEndedByShutdown && status === CUT;
  assertProperty(
    !isCut || isExcused(record, schedule),
    "an admitted call that can end in time is not cut",
    detail,
  );
  assertProperty(
    !record.isTooLate || schedule.stalls.length > 0,
    "a connection is not closed before its client can know of it",
    detail,
  );
  const canExpire = record.call.timeoutMs <= (record.refusedLeftMs ?? 0);
  assertProperty(
    !canExpire || schedule.endsAfterMs > 0,
    "no call is refused whose timeout expires before the VM ends",
    detail,
  );
  const isEarly = refusedAfterMs !== undefined && refusedAfterMs < EARLY_MS &&
    !isEndedFromOutside(schedule, refusedAfterMs);
  assertProperty(!isEarly, "no call is refused early", detail);
}

/** Whether nothing could have ended the call before the VM ended. */
function isExcused(
  { call, admittedLeftMs = 0 }: CallRecord,
  schedule: ShutdownSchedule,
): boolean {
  if (schedule.endsAfterMs > 0) return true;
  const endAtMs = STOP_AT_MS + LIFE_MS;
  // A stall that would begin in another one begins behind it.
  const isStalledAtEnd = schedule.stalls.some(({ atMs }) =>
    atMs <= endAtMs && atMs + sumStallsMs(schedule) >= endAtMs
  );
  if (isStalledAtEnd) return true;
  // Its timeout expires as the VM ends; its client gets an error in either case.
  if (Math.abs(admittedLeftMs - call.timeoutMs) < STEP_MS) return true;
  // Its timeout expires before the VM ends, so it ends by itself.
  if (call.timeoutMs <= Math.min(admittedLeftMs, LIFE_MS)) return false;
  const isAdmittedBefore = admittedLeftMs > LIFE_MS;
  // In the first seconds, nothing is known of its route but that it may end in time.
  if (call.route === "unknown") return true;
  // A stall delays the send of a call that waits.
  const lateMs = call.waitsMs === 0 ? 0 : sumStallsMs(schedule);
  const tookMs = call.waitsMs + lateMs + call.durationMs + call.silenceMs;
  const predictedMs = Math.max(...schedule.recordedMs) + MAX_SILENCE_MS;
  return isAdmittedBefore || tookMs > predictedMs;
}

function sumStallsMs({ stalls }: ShutdownSchedule): number {
  return stalls.reduce((sum, { forMs }) => sum + forMs, 0);
}

function isEndedFromOutside(
  { endsAfterMs }: ShutdownSchedule,
  elapsedMs: number,
): boolean {
  return endsAfterMs > 0 && elapsedMs >= endsAfterMs;
}

/** A time on the grid of the simulation. */
function buildTime(min: number, max: number): fc.Arbitrary<number> {
  return fc.integer({ min: min / STEP_MS, max: max / STEP_MS }).map((steps) =>
    steps * STEP_MS
  );
}

const CALL = fc.record({
  connection: fc.nat({ max: 9 }),
  atMs: buildTime(0, STOP_AT_MS + LIFE_MS + 100),
  route: fc.constantFrom("known" as const, "unknown" as const),
  timeoutMs: fc.constantFrom(197, 997, 2497, 4997, 7997, 20_007),
  waitsMs: fc.constantFrom(0, 0, 0, 200, 1500),
  durationMs: fc.constantFrom(20, 300, 1500, 2400, 4300),
  silenceMs: fc.constantFrom(0, 0, 0, 600, MAX_SILENCE_MS),
});

/** Calls at a VM that stops. */
export const SHUTDOWN_PROOF: Proof = {
  name: "shutdown",
  guards: SHUTDOWN_GUARDS,
  build: (disabledGuard) =>
    fc.asyncProperty(
      fc.record({
        connections: fc.array(
          fc.oneof(fc.constant(0), buildTime(0, STOP_AT_MS + 3000)),
          { minLength: 1, maxLength: 10 },
        ),
        calls: fc.array(CALL, { minLength: 1, maxLength: 40, size: "max" }),
        stalls: fc.array(
          fc.record({
            atMs: buildTime(STOP_AT_MS + STEP_MS, STOP_AT_MS + LIFE_MS),
            forMs: fc.constantFrom(50, 300, 1200, 3000),
            readsFirst: fc.boolean(),
          }),
          { maxLength: 2 },
        ),
        recordedMs: fc.array(buildTime(20, MAX_RECORDED_MS), {
          minLength: 1,
          maxLength: 4,
        }),
        endsAfterMs: fc.oneof(
          { weight: 4, arbitrary: fc.constant(0) },
          { weight: 1, arbitrary: buildTime(100, LIFE_MS) },
        ),
      }),
      (schedule) => checkSchedule(schedule, disabledGuard),
    ),
};
