import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { test } from "node:test";
import {
  type GenerationRequest,
  GenerationStore,
  handleGeneration,
  handleResume,
} from "heatherarch-gateway";
import {
  buildGenerationOptions,
  createFakeHost,
} from "../../proofs/fake_host.ts";

type Context = Parameters<typeof handleGeneration>[0];

const REQUEST: GenerationRequest = {
  kind: "text",
  model: "m",
  prompt: "p",
  maxTokens: 2,
  stream: true,
  includeUsage: false,
  profile: undefined,
};

/** The response of a client, as far as a stream uses it. */
class FakeResponse extends EventEmitter {
  readonly written: string[] = [];
  readonly writableFinished = false;
  readonly destroyed = false;
  readonly writableLength = 0;

  writeHead(): void {}

  write(text: string): boolean {
    this.written.push(text);
    return true;
  }

  end(text = ""): void {
    this.written.push(text);
  }
}

function createRequest(resumable = false) {
  const res = new FakeResponse();
  const ctx = {
    res,
    query: {},
    get: () => "",
    response: { get: () => "r" },
  } as unknown as Context;
  const fake = createFakeHost({ engines: ["e1"] });
  const ends: boolean[] = [];
  const store = new GenerationStore();
  let releases = 0;
  const done = handleGeneration(ctx, {
    ...buildGenerationOptions(fake.host, 2),
    host: fake.host,
    store,
    request: REQUEST,
    resumable,
    admitted: {
      recordLoss: () => undefined,
      mayRetry: () => true,
      end: (succeeded) => ends.push(succeeded),
    },
    release: () => releases++,
  });
  return {
    ...fake,
    res,
    ctx,
    ends,
    store,
    done,
    countReleases: () => releases,
  };
}

/** Delivers the whole response of the engine. */
function deliver({ attempts: [attempt] }: ReturnType<typeof createRequest>) {
  attempt.sink.onTokens(["one", "two"]);
  attempt.sink.onEnd({ reason: "length", promptTokens: 7, cachedTokens: 0 });
}

// The account's slot was released twice, and a trial of the request ended twice.
test("a client that disconnects after the end of its generation ends nothing again", async () => {
  const request = createRequest();
  deliver(request);
  await request.done;
  request.res.emit("close");
  assert.deepEqual(request.ends, [true]);
  assert.equal(request.countReleases(), 1);
  assert.deepEqual(request.results.map(({ outcome }) => outcome), ["ok"]);
});

test("a client that disconnects before the end shows in the metrics", async () => {
  const request = createRequest();
  request.attempts[0].sink.onTokens(["one"]);
  request.res.emit("close");
  await request.done;
  assert.deepEqual(request.ends, [false]);
  assert.equal(request.countReleases(), 1);
  const [{ outcome, isWithinDeadline }] = request.results;
  assert.equal(outcome, "clientGone");
  assert.equal(isWithinDeadline, false);
});

test("a resumed completion has the format of completions", async () => {
  const request = createRequest(true);
  deliver(request);
  await request.done;
  request.res.written.length = 0;
  await handleResume(request.ctx, request.host, request.store, "r");
  const text = request.res.written.join("");
  assert.match(text, /"text":"one"/);
  assert.doesNotMatch(text, /"delta"/);
});
