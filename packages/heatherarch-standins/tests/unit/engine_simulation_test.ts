import assert from "node:assert/strict";
import { test } from "node:test";
import {
  computeCompletion,
  DEFAULT_SPEEDS,
  EngineSimulation,
  type SequenceResult,
} from "../../mod.ts";

const FAST = { ...DEFAULT_SPEEDS, stepMs: 1, decodeMsPerSequence: 0 };

interface Outcome {
  readonly text: string;
  readonly result: SequenceResult;
}

function generate(
  engine: EngineSimulation,
  attemptId: string,
  options: {
    prompt: string;
    maxTokens: number;
    onToken?: (index: number) => void;
  },
): Promise<Outcome> {
  let text = "";
  return new Promise((resolve) => {
    engine.submit({
      attemptId,
      prompt: options.prompt,
      maxTokens: options.maxTokens,
      priority: 1,
      kvExport: false,
      kvImported: false,
    }, {
      onToken: (token, index) => {
        text += token;
        options.onToken?.(index);
      },
      onEnd: (result) => resolve({ text, result }),
      onDropped: () => undefined,
    });
  });
}

test("a batch of prompts is generated as each prompt must be", async () => {
  const engine = new EngineSimulation("mixed", FAST);
  const prompts = Array.from({ length: 10 }, (_, i) => `question ${i}`);
  const outcomes = await Promise.all(
    prompts.map((prompt, i) =>
      generate(engine, `t${i}`, { prompt, maxTokens: 5 + i })
    ),
  );
  outcomes.forEach(({ text }, i) =>
    assert.equal(text, computeCompletion(prompts[i], 5 + i))
  );
  assert.equal(engine.readCounters().running, 0);
});

test("a continued prompt goes on as the first one would have", () => {
  const whole = computeCompletion("a question", 8);
  const begun = computeCompletion("a question", 3);
  assert.equal(begun + computeCompletion(`a question${begun}`, 5), whole);
});

test("a prompt seen before is served from the prefix cache", async () => {
  const engine = new EngineSimulation("mixed", FAST);
  const prompt = "clause ".repeat(200);
  assert.equal(
    (await generate(engine, "a", { prompt, maxTokens: 1 })).result.cachedTokens,
    0,
  );
  assert.ok(
    (await generate(engine, "b", { prompt, maxTokens: 1 })).result
      .cachedTokens > 200,
  );
});

test("a sequence cancelled at its last token takes no other with it", async () => {
  const engine = new EngineSimulation("mixed", FAST);
  const other = generate(engine, "other", { prompt: "b", maxTokens: 12 });
  void generate(engine, "cancelled", {
    prompt: "a",
    maxTokens: 3,
    onToken: (index) => {
      if (index === 2) engine.cancel("cancelled");
    },
  });
  assert.equal((await other).text, computeCompletion("b", 12));
});
