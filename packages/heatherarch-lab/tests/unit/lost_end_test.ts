import assert from "node:assert/strict";
import { test } from "node:test";
import { Generation } from "heatherarch-gateway";
import { DEFAULT_PROFILE } from "heatherarch-settings";
import { computeCompletion } from "heatherarch-standins";
import { createFakeHost, UNWATCHED } from "../../proofs/mod.ts";

const PROMPT = "what does the fare rule say";
const PROMPT_TOKENS = 7;
const MAX_TOKENS = 3;

/** A generation whose engine sends all tokens and then breaks off; `ends` is what callers get. */
function loseEnd(withResume: boolean) {
  const { host, tries } = createFakeHost({ engines: ["e1", "e2"], withResume });
  const ends: unknown[] = [];
  const generation = new Generation({
    host,
    watched: UNWATCHED,
    requestId: "r",
    service: "reader",
    model: "m",
    prompt: PROMPT,
    promptTokens: PROMPT_TOKENS,
    maxTokens: MAX_TOKENS,
    profile: { ...DEFAULT_PROFILE, kvTransferMinTokens: 0 },
    deadlineAtMs: host.clock.readMonotonicMs() + 60_000,
    sink: {
      onTokens: () => undefined,
      onEnd: (reason, usage) => ends.push({ reason, ...usage }),
      onError: (error) => ends.push(error.kind),
    },
  });
  generation.start();
  const tokens = computeCompletion(PROMPT, MAX_TOKENS).match(/\S+ /g) ?? [];
  tries[0].sink.onTokens(tokens);
  tries[0].sink.onFailure("broken", "");
  return { generation, tries, ends };
}

const WHOLE = {
  reason: "length",
  promptTokens: PROMPT_TOKENS,
  outputTokens: MAX_TOKENS,
  cachedTokens: 0,
};

// An engine was asked for no tokens at all, and what it sent violated an invariant.
test("an answer with all its tokens ends, where the engine breaks off before its end", () => {
  const { generation, tries, ends } = loseEnd(false);
  generation.cancel();
  assert.deepEqual(ends, [WHOLE]);
  assert.equal(tries.length, 1);
});

test("the end of an answer with all its tokens is asked for once where the engine resumes", () => {
  const { generation, tries, ends } = loseEnd(true);
  assert.equal(tries.length, 2);
  tries[1].sink.onFailure("broken", "");
  generation.cancel();
  assert.deepEqual(ends, [WHOLE]);
  assert.equal(tries.length, 2);
});
