/**
 * Proof of the generation state machine under engines that disconnect, end early, refuse, stop
 * responding, or continue to send after their attempt was abandoned. The oracle is the completion
 * that the stand-in engine computes from the prompt.
 *
 * @module
 */
import fc from "fast-check";
import {
  Generation,
  GENERATION_GUARDS,
  type GenerationGuard,
} from "heatherarch-gateway";
import { computeCompletion } from "heatherarch-standins";
import type { EngineFailure } from "heatherarch-targets";
import {
  buildGenerationOptions,
  createFakeHost,
  type FakeAttempt,
} from "./fake_host.ts";
import { assertProperty, buildGuardSet, type Proof } from "./proof.ts";

const MAX_TOKENS = 6;

type Operation =
  | {
    readonly kind: "tokens";
    readonly attempt: number;
    readonly count: number;
  }
  | { readonly kind: "end"; readonly attempt: number }
  | {
    readonly kind: "fail";
    readonly attempt: number;
    readonly failure: EngineFailure;
  };

/** Picks an attempt. Numbers from 2 on select the newest one. */
function pickAttemptIndex(
  attempts: readonly FakeAttempt[],
  attempt: number,
): number {
  return attempt >= 2
    ? attempts.length - 1
    : Math.min(attempt, attempts.length - 1);
}

function checkOperations(
  operations: readonly Operation[],
  disabledGuards: ReadonlySet<GenerationGuard>,
): void {
  const { host, attempts } = createFakeHost({ engines: ["e1", "e2", "e3"] });
  const options = buildGenerationOptions(host, MAX_TOKENS);
  const sentTokenCounts: number[] = [];
  let text = "";
  let outcome = "running";
  const generation = new Generation({
    ...options,
    host,
    sink: {
      onTokens: (texts) => {
        text += texts.join("");
      },
      onEnd: () => {
        assertProperty(
          outcome === "running",
          "a generation has one final result",
          outcome,
        );
        outcome = "ended";
      },
      onError: () => {
        assertProperty(
          outcome === "running",
          "a generation has one final result",
          outcome,
        );
        outcome = "failed";
      },
    },
    disabledGuards,
  });
  try {
    generation.start();
    for (const operation of operations) {
      const index = pickAttemptIndex(attempts, operation.attempt);
      applyToAttempt(attempts[index], sentTokenCounts, {
        index,
        operation,
      });
      const expected = computeCompletion(options.prompt, MAX_TOKENS);
      assertProperty(
        expected.startsWith(text),
        "the text belongs to the request",
        text,
      );
      assertProperty(
        attempts.every(({ call }) => call.maxTokens > 0),
        "every attempt asks for at least one token",
      );
      const isComplete = text === expected;
      assertProperty(
        outcome !== "ended" || isComplete,
        "a generation that ended is complete",
        text,
      );
    }
  } finally {
    generation.cancel();
  }
}

/** Applies an operation to an attempt. Its engine always generates the completion of its prompt. */
function applyToAttempt(
  attempt: FakeAttempt,
  sentTokenCounts: number[],
  { index, operation }: { index: number; operation: Operation },
): void {
  const before = sentTokenCounts[index] ?? 0;
  switch (operation.kind) {
    case "tokens": {
      const count = Math.min(operation.count, attempt.call.maxTokens - before);
      if (count <= 0) return;
      sentTokenCounts[index] = before + count;
      const all = computeCompletion(attempt.call.prompt, before + count);
      const tokens = all.match(/\S+ /g) ?? [];
      attempt.sink.onTokens(tokens.slice(before));
      return;
    }
    case "end":
      attempt.sink.onEnd({
        reason: "length",
        promptTokens: 7,
        cachedTokens: 0,
      });
      return;
    case "fail":
      attempt.sink.onFailure(operation.failure, "");
  }
}

const ATTEMPT = fc.integer({ min: 0, max: 5 });

const OPERATION: fc.Arbitrary<Operation> = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant("tokens" as const),
      attempt: ATTEMPT,
      count: fc.integer({ min: 1, max: 3 }),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("end" as const),
      attempt: ATTEMPT,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("fail" as const),
      attempt: ATTEMPT,
      failure: fc.constantFrom<EngineFailure>(
        "broken",
        "silent",
        "refused",
        "notSent",
        "mismatched",
      ),
    }),
  },
);

/** Generations on engines that fail at random. */
export const GENERATION_PROOF: Proof = {
  name: "generation",
  guards: GENERATION_GUARDS,
  build: (disabledGuard) =>
    fc.property(
      fc.array(OPERATION, { minLength: 1, maxLength: 30, size: "max" }),
      (operations) =>
        checkOperations(
          operations,
          buildGuardSet<GenerationGuard>(disabledGuard),
        ),
    ),
};
