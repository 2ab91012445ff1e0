/**
 * Proof of streams that clients take up again before engines of two software versions. Engines break
 * off, go for good, and VMs are cut off from their peers.
 *
 * @module
 */
import fc from "fast-check";
import {
  simulateStream,
  STREAM_GUARDS,
  type StreamAttempt,
  type StreamGuard,
} from "./stream_simulation.ts";
import { assertProperty, type Proof } from "./proof.ts";

async function checkAttempts(
  attempts: readonly StreamAttempt[],
  disabledGuard: string | undefined,
): Promise<void> {
  const outcome = await simulateStream(
    attempts,
    disabledGuard as StreamGuard | undefined,
  );
  const detail = JSON.stringify({ attempts, outcome });
  assertProperty(
    outcome.versions.length <= 1,
    "a stream holds events of one software version",
    detail,
  );
  assertProperty(
    outcome.eventIds.every((id, i) => id === i + 1),
    "no event is missing or comes twice",
    detail,
  );
  assertProperty(
    outcome.untrueRefusals === 0,
    "a refused attempt has not run",
    detail,
  );
  assertProperty(
    outcome.needlessRefusals === 0,
    "a stream goes on where its version is known and serves",
    detail,
  );
}

const ATTEMPT = fc.record<StreamAttempt>({
  vm: fc.integer({ min: 0, max: 2 }),
  isCutOff: fc.boolean(),
  breaks: fc.array(fc.integer({ min: 0, max: 3 }), {
    minLength: 1,
    maxLength: 3,
  }),
  removedEngine: fc.option(fc.integer({ min: 0, max: 3 }), {
    nil: undefined,
  }),
});

/** Streams of engines with two software versions. */
export const STREAM_PROOF: Proof = {
  name: "streams",
  guards: STREAM_GUARDS,
  build: (disabledGuard) =>
    fc.asyncProperty(
      fc.array(ATTEMPT, { minLength: 2, maxLength: 4 }),
      (attempts) => checkAttempts(attempts, disabledGuard),
    ),
};
