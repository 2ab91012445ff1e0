/**
 * Proof that an error in the path of a call is a result: each port and each decoder throws or rejects at
 * drawn moments, once or for as long as the calls last.
 *
 * @module
 */
import fc from "fast-check";
import {
  CALL_TIMEOUT_MS,
  ERROR_GUARDS,
  ERROR_PORTS,
  type ErrorCallOutcome,
  type ErrorGuard,
  type ErrorSchedule,
  PLAIN_BODY,
  simulateErrors,
  STREAM_BODY,
} from "./error_simulation.ts";
import { assertProperty, type Proof } from "./proof.ts";

/** A call that ends later has waited for its timeout, although an error ended its work. */
const MAX_CALL_MS = CALL_TIMEOUT_MS * 0.8;
/** Faults after which an attempt has sent nothing, so that another target serves the call. */
const UNSENT: ReadonlySet<string> = new Set(["connect", "encode"]);
const MAX_RUNS = { once: 1, stream: 1, idempotent: 2, resumableStream: 2 };
const HTTP_OK = 200;

async function checkSchedule(
  schedule: ErrorSchedule,
  disabledGuard: string | undefined,
): Promise<void> {
  const outcome = await simulateErrors(schedule, disabledGuard as ErrorGuard);
  const { calls, laterCalls, held, unhandled } = outcome;
  for (const call of calls) checkCall(call, schedule);
  const detail = JSON.stringify(schedule);
  const [fault] = schedule.faults;
  const isServed = schedule.faults.length === 1 && fault.count === 1 &&
    UNSENT.has(fault.port);
  assertProperty(
    !isServed || calls.every(isDelivered),
    "a call is served elsewhere after an error before anything was sent",
    detail,
  );
  assertProperty(held.length === 0, "calls hold nothing", `${held} ${detail}`);
  assertProperty(
    unhandled.length === 0,
    "each error is handled",
    `${unhandled} ${detail}`,
  );
  assertProperty(
    laterCalls.every(isDelivered),
    "calls are served once the errors have ended",
    `${JSON.stringify(laterCalls)} ${detail}`,
  );
}

function checkCall(call: ErrorCallOutcome, schedule: ErrorSchedule): void {
  const { kind, status, isPromised, end, runs, tookMs } = call;
  const detail = JSON.stringify({ call, schedule });
  assertProperty(end !== undefined, "each call gets an end", detail);
  assertProperty(
    tookMs < MAX_CALL_MS,
    "an error ends its call at once",
    detail,
  );
  assertProperty(status !== 500, "no error is a 500", detail);
  assertProperty(
    !isPromised || runs === 0,
    "a refused call has not run",
    detail,
  );
  assertProperty(
    runs <= MAX_RUNS[kind],
    "a call runs as often as it may",
    detail,
  );
  assertProperty(
    status !== HTTP_OK || end !== "whole" || isDelivered(call),
    "a complete response is whole",
    detail,
  );
}

function isDelivered({ kind, status, end, body }: ErrorCallOutcome): boolean {
  const isPlain = kind === "once" || kind === "idempotent";
  const whole = isPlain ? PLAIN_BODY : STREAM_BODY;
  return status === HTTP_OK && end === "whole" && body === whole;
}

/** Errors in the path of a call. */
export const ERROR_PROOF: Proof = {
  name: "errors",
  guards: ERROR_GUARDS,
  build: (disabledGuard) =>
    fc.asyncProperty(
      fc.record({
        kinds: fc.array(
          fc.constantFrom(
            "once" as const,
            "idempotent" as const,
            "stream" as const,
            "resumableStream" as const,
          ),
          { minLength: 1, maxLength: 8 },
        ),
        faults: fc.array(
          fc.record({
            port: fc.constantFrom(...ERROR_PORTS),
            skipped: fc.nat({ max: 20 }),
            count: fc.constantFrom(1, 1, 2, 5, Infinity),
          }),
          { minLength: 1, maxLength: 2 },
        ),
      }),
      (schedule) => checkSchedule(schedule, disabledGuard),
    ),
};
