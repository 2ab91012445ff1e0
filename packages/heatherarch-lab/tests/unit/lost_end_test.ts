import assert from "node:assert/strict";
import { test } from "node:test";
import { Generation } from "heatherarch-gateway";
import { computeCompletion } from "heatherarch-standins";
import { buildGenerationOptions, createFakeHost } from "../../proofs/mod.ts";

const MAX_TOKENS = 3;

/** A generation whose engine sends all tokens and then breaks off; `ends` is what callers get. */
function disconnectAfterLastToken(withResume: boolean) {
  const { host, attempts: tries } = createFakeHost({
    engines: ["e1", "e2"],
    supportsResume: withResume,
  });
  const ends: unknown[] = [];
  const generation = new Generation({
    ...buildGenerationOptions(host, MAX_TOKENS),
    host,
    sink: {
      onTokens: () => undefined,
      onEnd: (reason, usage) => ends.push({ reason, ...usage }),
      onError: (error) => ends.push(error.kind),
    },
  });
  generation.start();
  const { prompt } = tries[0].call;
  const tokens = computeCompletion(prompt, MAX_TOKENS).match(/\S+ /g) ?? [];
  tries[0].sink.onTokens(tokens);
  tries[0].sink.onFailure("broken", "");
  return { generation, tries, ends };
}

const COMPLETE_RESULT = {
  reason: "length",
  promptTokens: 7,
  outputTokens: MAX_TOKENS,
  cachedTokens: 0,
};

// An engine was asked for no tokens at all, and what it sent violated an invariant.
test("an answer with all its tokens ends, where the engine breaks off before its end", () => {
  const { generation, tries, ends } = disconnectAfterLastToken(false);
  generation.cancel();
  assert.deepEqual(ends, [COMPLETE_RESULT]);
  assert.equal(tries.length, 1);
});

test("the end of an answer with all its tokens is asked for once where the engine resumes", () => {
  const { generation, tries, ends } = disconnectAfterLastToken(true);
  assert.equal(tries.length, 2);
  tries[1].sink.onFailure("broken", "");
  generation.cancel();
  assert.deepEqual(ends, [COMPLETE_RESULT]);
  assert.equal(tries.length, 2);
});
