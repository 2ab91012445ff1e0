import assert from "node:assert/strict";
import { test } from "node:test";
import { RuntimeClock } from "heatherarch-core";
import {
  CallContext,
  type CallDependencies,
  GenerationHandler,
  type Target,
  TargetConnections,
  TargetDirectory,
  TargetExchange,
} from "heatherarch-forward";
import type { Dispatcher } from "undici";
import {
  buildFakeDependencies,
  buildFakeResponse,
} from "../../proofs/call_fakes.ts";

const SERVICE = { name: "s", maxConnections: 100 };
const TRAITS = {
  slots: 64,
  kvTokens: 100_000,
  kvBytesPerToken: 1,
  linkMbps: 1000,
  roleChangeMs: 0,
};
const PROMPT = { model: "m", promptTokens: 0, maxOutputTokens: 9, parts: [] };
/** Longer than the timeout of a short prefill, 500 ms. */
const SILENCE_MS = 1000;

const CODEC: Partial<CallDependencies["codec"]> = {
  encodeAttempt: (_call, { stage }) => ({
    path: stage,
    method: "POST",
    headers: [],
    body: null,
  }),
  decodeResponse: () => ({
    callId: "c",
    signed: true,
    notRun: false,
    misdirected: false,
    isLeaving: false,
  }),
  decodeKvHandle: () => "handle",
  encodeHandleRelease: () => ({
    path: "release",
    method: "DELETE",
    headers: [],
    body: null,
  }),
};

function buildEngine(id: string, role: "prefill" | "decode"): Target {
  return {
    id,
    service: SERVICE.name,
    address: "127.0.0.1:1",
    availabilityZone: "zone-a",
    slots: 64,
    leaving: false,
    role,
    softwareVersion: "v1",
  };
}

/** Serves a call whose first prefill gets no response for a second. Returns what was aborted. */
async function serve(
  prefillEngines: readonly string[],
  { losesPrefillPath = false }: { losesPrefillPath?: boolean } = {},
) {
  let hasPrefillPath = true;
  const sent: string[] = [];
  const clock = new RuntimeClock();
  const directory = new TargetDirectory();
  const engines = prefillEngines.map((id) => buildEngine(id, "prefill"));
  directory.applyList(
    [...engines, buildEngine("d", "decode")]
      .map((value) => ({ key: value.id, value })),
    clock.readMonotonicMs(),
  );
  const aborted: string[] = [];
  let prefills = 0;
  const connections = new TargetConnections();
  connections.send = (_target, request) => {
    const isPrefill = request.path === "readPrompt";
    if (isPrefill) prefills++;
    sent.push(request.path);
    const delayMs = isPrefill && prefills === 1 ? SILENCE_MS : 1;
    const dispatch: Dispatcher["dispatch"] = (_options, handler) => {
      const controller = {
        abort: (error: Error) => aborted.push(error.message),
        pause: () => undefined,
        resume: () => undefined,
        rawHeaders: [],
      } as unknown as Dispatcher.DispatchController;
      handler.onRequestStart?.(controller, undefined);
      setTimeout(() => {
        if (isPrefill && losesPrefillPath) hasPrefillPath = false;
        handler.onResponseStart?.(controller, 200, {}, "");
        const bytes = Buffer.from("id: 1\ndata: x\n\n");
        handler.onResponseData?.(controller, bytes);
        handler.onResponseEnd?.(controller, {});
      }, delayMs);
      return true;
    };
    return new TargetExchange({ dispatch }, "http://127.0.0.1:1", request, {
      onRelease: () => undefined,
    });
  };
  let body = "";
  const context = new CallContext({
    dependencies: buildFakeDependencies({
      clock,
      codec: CODEC,
      directory,
      connections,
      hasPath: () => hasPrefillPath,
      hasPathTo: ({ role }) => role !== "prefill" || hasPrefillPath,
    }),
    call: {
      id: "c",
      method: "POST",
      path: "/a/x",
      host: "a.example",
      headers: [],
      body: Buffer.alloc(0),
      arrivedAtMs: clock.readMonotonicMs(),
      clientTimeoutMs: 5000,
    },
    route: {
      name: "r",
      host: "a.example",
      pathPrefix: "/a/",
      kind: "resumableStream",
      timeoutMs: 5000,
      aimMs: 300,
      priority: 0,
      maxTargets: 3,
      isKeyExempt: false,
      services: [{ service: SERVICE.name, weight: 1 }],
    },
    service: SERVICE,
    configVersion: 1,
    clientResponse: buildFakeResponse({
      onBytes: (bytes) => body += String(bytes),
    }),
  });
  await new GenerationHandler(context, PROMPT, TRAITS).serve();
  return { aborted, prefills, sent, body };
}

// Guards against the only prefill engine being given up: the next round has no engine to go to.
test("a silent prefill engine is given up only for another one", async () => {
  const alone = await serve(["p1"]);
  assert.deepEqual(alone.aborted, []);
  assert.equal(alone.prefills, 1);
  assert.match(alone.body, /data: x/);
  const replaced = await serve(["p1", "p2"]);
  assert.equal(replaced.aborted.length, 1);
  assert.equal(replaced.prefills, 2);
  assert.match(replaced.body, /data: x/);
});

// Guards against a KV cache that is released before any peer is asked, although a decode engine
// would take it.
test("a prompt is decoded here while only the path to the prefill engines is lost", async () => {
  const { sent, body } = await serve(["p1"], { losesPrefillPath: true });
  assert.deepEqual(sent, ["readPrompt", "takeOver"]);
  assert.match(body, /data: x/);
});
