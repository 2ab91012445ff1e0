import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { test } from "node:test";
import { ServeError } from "heatherarch-core";
import {
  type GenerationRequest,
  GenerationStore,
  handleGeneration,
  handleResume,
  RequestEnding,
} from "heatherarch-gateway";
import type { Shutdown } from "heatherarch-shutdown";
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
    req: { socket: new EventEmitter() },
    res,
    query: {},
    get: () => "",
    response: { get: () => "r" },
  } as unknown as Context;
  const fake = createFakeHost({ engines: ["e1"] });
  const ends: boolean[] = [];
  const store = new GenerationStore();
  let releases = 0;
  const ending = new RequestEnding();
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
    ending,
    release: () => releases++,
  });
  return {
    ...fake,
    res,
    ctx,
    ends,
    store,
    ending,
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
  await handleResume(
    request.ctx,
    request.host,
    request.store,
    "r",
    new RequestEnding(),
  );
  const text = request.res.written.join("");
  assert.match(text, /"text":"one"/);
  assert.doesNotMatch(text, /"delta"/);
});

// Guards against a resumable generation that a VM leaves running as it ends: its client, which reads it
// through another VM, is told nothing.
test("a resumable generation whose client has left ends with the VM", async () => {
  const request = createRequest(true);
  request.attempts[0].sink.onTokens(["one"]);
  request.res.emit("close");
  assert.equal(request.store.running, 1);
  const shutdown = request.host.shutdown as Shutdown;
  shutdown.begin();
  shutdown.end();
  await request.done;
  assert.equal(request.store.running, 0);
  const { state, kind } = request.store.read("r", 0);
  assert.deepEqual({ state, kind }, {
    state: "failed",
    kind: "answerIncomplete",
  });
});

// Guards against streams that are cut in the middle of an event when the VM ends.
test("a stream in progress when the VM ends gets an error event, and its engine is stopped", async () => {
  const request = createRequest();
  request.attempts[0].sink.onTokens(["one"]);
  request.ending.endForShutdown();
  await request.done;
  const text = request.res.written.join("");
  assert.match(text, /"kind":"answerIncomplete"/);
  assert.ok(text.endsWith("\n\n"));
  assert.equal(request.attempts[0].aborted, true);
  assert.equal(request.countReleases(), 1);
});

// Guards against a refusal of a generation that an engine may have run.
test("a generation without a token when the VM ends may have run", async () => {
  const request = createRequest();
  request.ending.endForShutdown();
  await assert.rejects(
    request.done,
    (error) => error instanceof ServeError && error.run === "unknown",
  );
});

// Guards against readers that wait for a stream on another VM beyond the end of theirs.
test("a resumed stream ends with an error event when the VM ends", async () => {
  const request = createRequest(true);
  request.attempts[0].sink.onTokens(["one"]);
  request.res.written.length = 0;
  const ending = new RequestEnding();
  const { ctx, host, store } = request;
  const resumed = handleResume(ctx, host, store, "r", ending);
  await new Promise((resolve) => setImmediate(resolve));
  ending.endForShutdown();
  request.attempts[0].sink.onTokens(["two"]);
  await resumed;
  const text = request.res.written.join("");
  const result = {
    reason: "length",
    promptTokens: 7,
    cachedTokens: 0,
  } as const;
  request.attempts[0].sink.onEnd(result);
  await request.done;
  assert.match(text, /"text":"one"/);
  assert.match(text, /"kind":"shuttingDown"/);
});
