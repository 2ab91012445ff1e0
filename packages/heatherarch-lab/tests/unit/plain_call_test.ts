import assert from "node:assert/strict";
import { test } from "node:test";
import { ServeError } from "heatherarch-core";
import {
  callPlainService,
  type ClaimResult,
  type HeldClaim,
  type PlainRequest,
} from "heatherarch-gateway";
import { DEFAULT_PROFILE, type PlainService } from "heatherarch-settings";
import type { BufferedResponse } from "heatherarch-targets";
import {
  createFakeHost,
  type FakeHostOptions,
  STUB_ADMITTED_REQUEST,
} from "../../proofs/mod.ts";

const SERVICE: PlainService = {
  name: "bookings",
  kind: "plain",
  idempotentMethods: ["GET"],
  keyRequired: false,
  honoursKey: false,
  echoesTryId: false,
};
const KEY = { text: "k", madeAtMs: 0, fingerprint: "f" };
const ANSWER: BufferedResponse = {
  kind: "answer",
  status: 200,
  headers: {},
  body: Buffer.from("{}"),
};

interface Fixture {
  readonly sent: string[];
  readonly ended: string[];
  readonly call: (fields: Partial<PlainRequest>) => Promise<unknown>;
}

/** A host with two targets that answer as told, and a claim that may be used or not. */
function createFixture(
  answers: BufferedResponse[],
  isClaimValid = true,
  host: Partial<FakeHostOptions> = {},
  renewal?: ClaimResult,
): Fixture {
  const sent: string[] = [];
  const ended: string[] = [];
  const claim: HeldClaim = {
    isValid: () => isClaimValid,
    renew: () => {
      ended.push("renewed");
      return Promise.resolve(renewal ?? { kind: "granted", claim });
    },
    conclude: () => ended.push("concluded"),
    release: () => ended.push("released"),
  };
  const fake = createFakeHost({
    engines: ["s1", "s2"],
    handleClaim: () => Promise.resolve({ kind: "granted", claim }),
    handleServiceCall: (target, call) => {
      if (call.guard && !call.guard()) {
        return Promise.resolve({ kind: "withheld", detail: "" });
      }
      sent.push(target);
      return Promise.resolve(answers.shift() ?? ANSWER);
    },
    ...host,
  });
  const call = (fields: Partial<PlainRequest>) =>
    callPlainService(fake.host, {
      service: SERVICE,
      profile: DEFAULT_PROFILE,
      method: "POST",
      path: "/b",
      headers: {},
      body: undefined,
      deadlineAtMs: fake.host.clock.readMonotonicMs() + 1000,
      key: undefined,
      admitted: STUB_ADMITTED_REQUEST,
      ...fields,
    });
  return { sent, ended, call };
}

function matchesError(kind: string, run: string) {
  return (error: unknown) =>
    error instanceof ServeError && error.kind === kind && error.run === run;
}

test("a claim whose permission lapsed is dropped before the write, and given back", async () => {
  const scene = createFixture([], false);
  await assert.rejects(
    scene.call({ key: KEY }),
    matchesError("platformUnavailable", "no"),
  );
  assert.deepEqual(scene.sent, []);
  assert.deepEqual(scene.ended, ["renewed", "released"]);
});

test("a permission that lapsed unused is renewed once, and the call runs once", async () => {
  const renewedClaim: HeldClaim = {
    isValid: () => true,
    renew: () => Promise.reject(new Error("not again")),
    conclude: () => scene.ended.push("concluded"),
    release: () => scene.ended.push("released"),
  };
  const scene = createFixture([], false, {}, {
    kind: "granted",
    claim: renewedClaim,
  });
  await scene.call({ key: KEY });
  assert.equal(scene.sent.length, 1);
  assert.deepEqual(scene.ended, ["renewed", "concluded"]);
});

test("a call that may have run is never sent again, with a key or without", async () => {
  for (const key of [KEY, undefined]) {
    const scene = createFixture([{ kind: "broken", detail: "reset" }]);
    await assert.rejects(
      scene.call({ key }),
      matchesError("targetFailed", "unknown"),
    );
    assert.equal(scene.sent.length, 1);
    assert.deepEqual(scene.ended, []);
  }
});

test("a call that was proven not sent goes to another target", async () => {
  const scene = createFixture([{ kind: "notSent", detail: "refused" }]);
  await scene.call({ key: KEY });
  assert.deepEqual(scene.sent, ["s1", "s2"]);
  assert.deepEqual(scene.ended, ["concluded"]);
});

test("where no target takes the call, it is not run and its key is free again", async () => {
  const scene = createFixture(
    Array(4).fill({ kind: "notSent", detail: "refused" }),
  );
  await assert.rejects(
    scene.call({ key: KEY }),
    matchesError("noTarget", "no"),
  );
  assert.deepEqual(scene.ended, ["released"]);
});

test("idempotent calls are retried after a break", async () => {
  const scene = createFixture([{ kind: "broken", detail: "reset" }]);
  await scene.call({ method: "GET" });
  assert.deepEqual(scene.sent, ["s1", "s2"]);
});

test("a service that wants keys refuses calls without one", async () => {
  const scene = createFixture([]);
  const service = { ...SERVICE, keyRequired: true };
  await assert.rejects(
    scene.call({ service }),
    matchesError("keyRequired", "no"),
  );
  assert.deepEqual(scene.sent, []);
});

test("during an outage only a service that honours keys itself is called", async () => {
  const error = new ServeError("platformUnavailable", "out");
  const host = {
    handleClaim: () => Promise.resolve({ kind: "refused" as const, error }),
  };
  const refused = createFixture([], true, host);
  await assert.rejects(
    refused.call({ key: KEY }),
    matchesError("platformUnavailable", "no"),
  );
  assert.deepEqual(refused.sent, []);
  const passed = createFixture([], true, host);
  await passed.call({ key: KEY, service: { ...SERVICE, honoursKey: true } });
  assert.equal(passed.sent.length, 1);
});
