import assert from "node:assert/strict";
import { test } from "node:test";
import { ServeError } from "heatherarch-core";
import {
  callPlainService,
  type ClaimResult,
  type HeldClaim,
  type PlainRequest,
  RequestEnding,
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
const RESPONSE: BufferedResponse = {
  kind: "answer",
  status: 200,
  headers: {},
  body: Buffer.from("{}"),
};

interface Fixture {
  readonly sent: string[];
  readonly claimEvents: string[];
  readonly call: (fields: Partial<PlainRequest>) => Promise<unknown>;
}

/** Creates a host with two targets that send the given responses, and a valid or expired claim. */
function createFixture(
  responses: BufferedResponse[],
  isClaimValid = true,
  host: Partial<FakeHostOptions> = {},
  renewal?: ClaimResult,
): Fixture {
  const sent: string[] = [];
  const claimEvents: string[] = [];
  const claim: HeldClaim = {
    isValid: () => isClaimValid,
    renew: () => {
      claimEvents.push("renewed");
      return Promise.resolve(renewal ?? { kind: "granted", claim });
    },
    conclude: () => claimEvents.push("concluded"),
    release: () => claimEvents.push("released"),
  };
  const fake = createFakeHost({
    engines: ["s1", "s2"],
    handleClaim: () => Promise.resolve({ kind: "granted", claim }),
    handleServiceCall: (target, call) => {
      if (call.guard && !call.guard()) {
        return Promise.resolve({ kind: "withheld", detail: "" });
      }
      sent.push(target);
      return Promise.resolve(responses.shift() ?? RESPONSE);
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
      attemptWatch: new RequestEnding(),
      ...fields,
    });
  return { sent, claimEvents, call };
}

function matchesError(kind: string, run: string) {
  return (error: unknown) =>
    error instanceof ServeError && error.kind === kind && error.run === run;
}

test("a call whose claim permission expired is not sent, and its claim is released", async () => {
  const fixture = createFixture([], false);
  await assert.rejects(
    fixture.call({ key: KEY }),
    matchesError("platformUnavailable", "no"),
  );
  assert.deepEqual(fixture.sent, []);
  assert.deepEqual(fixture.claimEvents, ["renewed", "released"]);
});

test("a claim permission that expired before use is renewed once, and the call runs once", async () => {
  const renewedClaim: HeldClaim = {
    isValid: () => true,
    renew: () => Promise.reject(new Error("the claim was renewed twice")),
    conclude: () => fixture.claimEvents.push("concluded"),
    release: () => fixture.claimEvents.push("released"),
  };
  const fixture = createFixture([], false, {}, {
    kind: "granted",
    claim: renewedClaim,
  });
  await fixture.call({ key: KEY });
  assert.equal(fixture.sent.length, 1);
  assert.deepEqual(fixture.claimEvents, ["renewed", "concluded"]);
});

test("a call that may have run is never retried, with or without a key", async () => {
  for (const key of [KEY, undefined]) {
    const fixture = createFixture([{ kind: "broken", detail: "reset" }]);
    await assert.rejects(
      fixture.call({ key }),
      matchesError("targetFailed", "unknown"),
    );
    assert.equal(fixture.sent.length, 1);
    assert.deepEqual(fixture.claimEvents, []);
  }
});

test("a call that was certainly not sent goes to another target", async () => {
  const fixture = createFixture([{ kind: "notSent", detail: "refused" }]);
  await fixture.call({ key: KEY });
  assert.deepEqual(fixture.sent, ["s1", "s2"]);
  assert.deepEqual(fixture.claimEvents, ["concluded"]);
});

test("if no target accepts the call, it is not run and its key is released", async () => {
  const fixture = createFixture(
    Array(4).fill({ kind: "notSent", detail: "refused" }),
  );
  await assert.rejects(
    fixture.call({ key: KEY }),
    matchesError("noTarget", "no"),
  );
  assert.deepEqual(fixture.claimEvents, ["released"]);
});

test("an idempotent call is retried after its connection broke", async () => {
  const fixture = createFixture([{ kind: "broken", detail: "reset" }]);
  await fixture.call({ method: "GET" });
  assert.deepEqual(fixture.sent, ["s1", "s2"]);
});

test("a service that requires keys refuses calls without one", async () => {
  const fixture = createFixture([]);
  const service = { ...SERVICE, keyRequired: true };
  await assert.rejects(
    fixture.call({ service }),
    matchesError("keyRequired", "no"),
  );
  assert.deepEqual(fixture.sent, []);
});

test("during an outage, keyed calls reach only services that honour keys themselves", async () => {
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

// Guards against a refusal as not run of a booking that is sent after it, when the VM has ended.
test("a call that the end of the VM has refused is not sent, and gives its key back", async () => {
  const attemptWatch = new RequestEnding();
  const { call, sent, claimEvents } = createFixture([]);
  const called = call({ key: KEY, attemptWatch });
  attemptWatch.endForShutdown();
  await assert.rejects(attemptWatch.ended, isNotRun);
  await assert.rejects(called, isNotRun);
  assert.deepEqual(sent, []);
  assert.deepEqual(claimEvents, ["released"]);
});

// Guards against a refusal as not run of a booking that a target runs when the VM ends.
test("a call in progress when the VM ends may have run", async () => {
  const attemptWatch = new RequestEnding();
  const { call } = createFixture([], true, {
    handleServiceCall: (_target, { guard }) => {
      guard?.();
      return new Promise(() => undefined);
    },
  });
  void call({ attemptWatch });
  await new Promise((resolve) => setImmediate(resolve));
  attemptWatch.endForShutdown();
  await assert.rejects(
    attemptWatch.ended,
    (error) => error instanceof ServeError && error.run === "unknown",
  );
});

function isNotRun(error: unknown): boolean {
  return error instanceof ServeError && error.run === "no";
}
