import assert from "node:assert/strict";
import { test } from "node:test";
import { Generation } from "heatherarch-gateway";
import { computeCompletion } from "heatherarch-standins";
import { buildGenerationOptions, createFakeHost } from "../../proofs/mod.ts";

const MAX_TOKENS = 3;

/**
 * Starts a generation whose engine sends all tokens and then disconnects. `ends` lists the results
 * that the client gets.
 */
function disconnectAfterLastToken(supportsResume: boolean) {
  const { host, attempts } = createFakeHost({
    engines: ["e1", "e2"],
    supportsResume,
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
  const { prompt } = attempts[0].call;
  const tokens = computeCompletion(prompt, MAX_TOKENS).match(/\S+ /g) ?? [];
  attempts[0].sink.onTokens(tokens);
  attempts[0].sink.onFailure("broken", "");
  return { generation, attempts, ends };
}

const COMPLETE_RESULT = {
  reason: "length",
  promptTokens: 7,
  outputTokens: MAX_TOKENS,
  cachedTokens: 0,
};

// Guards against a continuation that asks an engine for zero tokens, after another engine sent all
// tokens but not its end. The response to such an attempt violated an invariant.
test("a response with all its tokens ends if the engine disconnects before its end", () => {
  const { generation, attempts, ends } = disconnectAfterLastToken(false);
  generation.cancel();
  assert.deepEqual(ends, [COMPLETE_RESULT]);
  assert.equal(attempts.length, 1);
});

test("the end of a response with all its tokens is requested once if the engine can resume", () => {
  const { generation, attempts, ends } = disconnectAfterLastToken(true);
  assert.equal(attempts.length, 2);
  attempts[1].sink.onFailure("broken", "");
  generation.cancel();
  assert.deepEqual(ends, [COMPLETE_RESULT]);
  assert.equal(attempts.length, 2);
});
