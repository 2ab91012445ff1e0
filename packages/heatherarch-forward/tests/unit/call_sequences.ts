/**
 * All sequences of results of a call's attempts.
 *
 * @module
 */
import type { CallKind } from "../../mod.ts";
import {
  runScript,
  type ScriptedAttempt,
  type ScriptedResult,
  type ScriptOutcome,
} from "./scripted_call.ts";

const RESULTS: readonly ScriptedResult[] = [
  "notSent",
  "withheld",
  "lostBefore",
  "lostAfter",
  "refused",
  "misdirected",
  "failed",
  "falsePromise",
  "cut",
  "ok",
];
export const STEPS = RESULTS.flatMap((end): ScriptedAttempt[] => [
  { end, restarts: false },
  { end, restarts: true },
]);
/** Number of attempts whose results are enumerated in all sequences; later attempts succeed. */
const DEPTH = 3;

/** Runs all sequences of results, each as long as attempts are made. */
export async function runAll(
  kind: CallKind,
  check: (outcome: ScriptOutcome, script: readonly ScriptedAttempt[]) => void,
): Promise<number> {
  let sequences = 0;
  const runFrom = async (
    script: readonly ScriptedAttempt[],
  ): Promise<void> => {
    const outcome = await runScript(kind, script);
    sequences++;
    check(outcome, script);
    // If the call made fewer attempts than scripted, longer scripts give the same outcome.
    if (outcome.used < script.length || script.length === DEPTH) return;
    for (const step of STEPS) await runFrom([...script, step]);
  };
  for (const step of STEPS) await runFrom([step]);
  return sequences;
}

/** Describes a sequence and its outcome for a failed assertion. */
export function describe(
  outcome: ScriptOutcome,
  script: readonly ScriptedAttempt[],
): string {
  return JSON.stringify({ script, outcome });
}
