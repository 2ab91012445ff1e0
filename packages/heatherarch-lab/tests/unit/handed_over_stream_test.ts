import assert from "node:assert/strict";
import { test } from "node:test";
import { RuntimeClock } from "heatherarch-core";
import {
  CallContext,
  type CallDependencies,
  encodeHandoverResponse,
  GenerationHandler,
  StreamVersions,
  type Target,
  TargetConnections,
  TargetDirectory,
  TargetExchange,
} from "heatherarch-forward";
import type { HandoverListener } from "heatherarch-handover";
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
const TIMEOUT_MS = 2000;
const REQUEST = { path: "/", method: "POST", headers: [], body: null };

const CODEC: Partial<CallDependencies["codec"]> = {
  encodeAttempt: (_call, { stage }) => ({ ...REQUEST, path: stage }),
  decodeResponse: () => ({
    callId: "c",
    signed: true,
    notRun: false,
    misdirected: false,
    isLeaving: false,
  }),
  decodeKvHandle: () => "handle",
  encodeHandleRelease: () => ({ ...REQUEST, path: "release" }),
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

/** Serves a call whose engine sends a head and breaks off as the path is lost. A peer begins the stream. */
async function serveBrokenStream() {
  let hasPath = true;
  const clock = new RuntimeClock();
  const directory = new TargetDirectory();
  directory.applyList(
    [buildEngine("p", "prefill"), buildEngine("d", "decode")]
      .map((value) => ({ key: value.id, value })),
    clock.readMonotonicMs(),
  );
  const connections = new TargetConnections();
  connections.send = (_target, request) => {
    const dispatch: Dispatcher["dispatch"] = (_options, handler) => {
      const controller = {
        abort: () => undefined,
        pause: () => undefined,
        resume: () => undefined,
        rawHeaders: [],
      } as unknown as Dispatcher.DispatchController;
      handler.onRequestStart?.(controller, undefined);
      setTimeout(() => {
        handler.onResponseStart?.(controller, 200, {}, "");
        if (request.path === "readPrompt") {
          handler.onResponseEnd?.(controller, {});
          return;
        }
        hasPath = false;
        setTimeout(
          () => handler.onResponseError?.(controller, new Error("reset")),
          10,
        );
      }, 1);
      return true;
    };
    return new TargetExchange({ dispatch }, "http://127.0.0.1:1", request, {
      onRelease: () => undefined,
    });
  };
  const connection = {
    peer: { id: "peer" },
    send: (_head: unknown, _body: Buffer, listener: HandoverListener) => {
      listener.onResponse(encodeHandoverResponse({ status: 200, headers: [] }));
      listener.onBytes(Buffer.from("id: 1\ndata: x\n\n"));
      listener.onEnd();
    },
    close: () => undefined,
    resume: () => undefined,
  };
  const recorded: string[] = [];
  const streamVersions = new StreamVersions();
  streamVersions.recordStream = ({ softwareVersion }) => {
    recorded.push(softwareVersion);
  };
  let body = "";
  const context = new CallContext({
    dependencies: buildFakeDependencies({
      clock,
      codec: CODEC,
      directory,
      connections,
      streamVersions,
      hasPath: () => hasPath,
      offerCall: () => Promise.resolve(connection),
    }),
    call: {
      id: "c",
      method: "POST",
      path: "/a/x",
      host: "a.example",
      headers: [],
      body: Buffer.alloc(0),
      arrivedAtMs: clock.readMonotonicMs(),
      clientTimeoutMs: TIMEOUT_MS,
    },
    route: {
      name: "r",
      host: "a.example",
      pathPrefix: "/a/",
      kind: "resumableStream",
      timeoutMs: TIMEOUT_MS,
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
  return { recorded, body };
}

// Guards against a stream that is taken up at another software version than the one that began it: the
// version was recorded of an engine that had sent no event before a peer began the stream.
test("a stream that a peer begins is not recorded at the version of an earlier engine", async () => {
  const { recorded, body } = await serveBrokenStream();
  assert.match(body, /data: x/);
  assert.deepEqual(recorded, []);
});
