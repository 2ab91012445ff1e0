/**
 * Proof of the records of software versions: a VM never concludes a version alone that another one
 * has begun a stream at which may still be taken up.
 *
 * @module
 */
import fc from "fast-check";
import { assertProperty, type Proof } from "./proof.ts";
import {
  simulateVersions,
  VERSION_GUARDS,
  type VersionGuard,
  type VersionStep,
} from "./version_simulation.ts";

const VM = fc.integer({ min: 0, max: 1 });
const VERSION = fc.integer({ min: 0, max: 2 });
const STEP: fc.Arbitrary<VersionStep> = fc.oneof(
  fc.record({
    kind: fc.constantFrom("add" as const, "remove" as const),
    version: VERSION,
  }),
  fc.record({
    kind: fc.constantFrom("replace" as const, "visit" as const),
    version: VERSION,
  }),
  fc.record({
    kind: fc.constant("stand" as const),
    vm: VM,
    ms: fc.constantFrom(500, 1500, 8000),
  }),
  fc.record({
    kind: fc.constant("failWrites" as const),
    ms: fc.constantFrom(3000, 8000),
  }),
  fc.record({
    kind: fc.constant("wait" as const),
    ms: fc.constantFrom(500, 1000, 4000, 30_000, 50_000),
  }),
  fc.record({
    kind: fc.constant("kill" as const),
    vm: fc.option(VM, { nil: undefined }),
  }),
  fc.record({
    kind: fc.constant("restore" as const),
    ageMs: fc.integer({ min: 500, max: 5000 }),
    kills: fc.boolean(),
  }),
);

/** Conclusions from the records of software versions. */
export const VERSION_PROOF: Proof = {
  name: "versions",
  guards: VERSION_GUARDS,
  build: (disabledGuard) =>
    fc.asyncProperty(
      fc.array(STEP, { minLength: 2, maxLength: 10 }),
      async (steps) => {
        const wrong = await simulateVersions(
          steps,
          disabledGuard as VersionGuard | undefined,
        );
        assertProperty(
          wrong.length === 0,
          "the version that is concluded began all streams",
          JSON.stringify({ steps, wrong }),
        );
      },
    ),
};
