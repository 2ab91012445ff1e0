import assert from "node:assert/strict";
import { test } from "node:test";
import { hashApiKey } from "heatherarch-accounts";
import { ManualClock, readMoment, ServeError } from "heatherarch-core";
import {
  AccountAdmission,
  ActiveConfig,
  type ClientAccount,
  type ForwardedCall,
} from "../../mod.ts";
import { buildConfig, buildRoute } from "./fixtures.ts";

const BOUND_MS = 5000;
const ACCOUNTS: readonly ClientAccount[] = [
  { name: "a", keyDigests: [hashApiKey("key-a")], priority: 1 },
  { name: "b", keyDigests: [hashApiKey("key-b")] },
];

function createAdmission(
  accounts: readonly ClientAccount[] | null = ACCOUNTS,
  revokeBoundMs = BOUND_MS,
) {
  const clock = new ManualClock();
  const activeConfig = new ActiveConfig({ clock });
  activeConfig.applyConfig(buildConfig({ version: 1, accounts }), "store");
  activeConfig.recordNewest(1, readMoment(clock));
  const admission = new AccountAdmission({
    activeConfig,
    revokeBoundMs,
    drawUnit: () => 0,
  });
  return { clock, activeConfig, admission };
}

function buildCall(apiKey?: string): ForwardedCall {
  return {
    id: "c",
    method: "GET",
    path: "/a/x",
    host: "a.example",
    headers: [],
    body: Buffer.alloc(0),
    arrivedAtMs: 0,
    ...(apiKey === undefined ? {} : { apiKey }),
  };
}

function isKind(kind: string): (error: unknown) => boolean {
  return (error) => error instanceof ServeError && error.kind === kind;
}

test("an admitted call has its account instead of its key", () => {
  const { admission } = createAdmission();
  const { call, account } = admission.admit(buildCall("key-a"), buildRoute());
  assert.equal(call.account, "a");
  assert.equal(account?.priority, 1);
  assert.ok(!("apiKey" in call));
});

test("a call with an unknown key or without one is unauthenticated, and no error has the key", () => {
  const { admission } = createAdmission();
  for (const key of ["key-x", undefined]) {
    assert.throws(
      () => admission.admit(buildCall(key), buildRoute()),
      (error) =>
        isKind("unauthenticated")(error) && !String(error).includes("key-x"),
    );
  }
});

test("calls of an exempt route need no key, and an unknown key is not passed on", () => {
  const { admission } = createAdmission();
  const route = buildRoute({ isKeyExempt: true });
  for (const key of ["key-x", undefined]) {
    const { call, account } = admission.admit(buildCall(key), route);
    assert.equal(account, undefined);
    assert.ok(!("apiKey" in call));
    assert.equal(call.account, undefined);
  }
});

test("without client accounts no call needs a key, and none is passed on", () => {
  const { admission, clock } = createAdmission(null);
  clock.advance(BOUND_MS * 2);
  const { call } = admission.admit(buildCall("key-a"), buildRoute());
  assert.ok(!("apiKey" in call));
});

test("keys count until they may have been revoked for as long as the bound", () => {
  const { admission, clock, activeConfig } = createAdmission();
  const route = buildRoute();
  clock.advance(BOUND_MS - 60);
  admission.admit(buildCall("key-a"), route);
  clock.advance(60);
  // "Unauthenticated" would be wrong: the key may well be valid.
  for (const key of ["key-a", "key-x", undefined]) {
    assert.throws(
      () => admission.admit(buildCall(key), route),
      isKind("notReady"),
    );
  }
  admission.admit(buildCall("key-a"), buildRoute({ isKeyExempt: true }));
  activeConfig.recordNewest(1, readMoment(clock));
  admission.admit(buildCall("key-a"), route);
});

// The monotonic clock of a suspended VM stands still, while the operator may revoke keys.
test("a VM that was suspended for the bound confirms its keys before it uses them", () => {
  const { admission, clock } = createAdmission();
  clock.suspend(BOUND_MS);
  assert.throws(
    () => admission.admit(buildCall("key-a"), buildRoute()),
    isKind("notReady"),
  );
});

test("without a bound on revocations, a VM without contact to the store uses its keys", () => {
  const { admission, clock } = createAdmission(ACCOUNTS, Infinity);
  clock.advance(BOUND_MS * 10);
  assert.equal(
    admission.admit(buildCall("key-b"), buildRoute()).call.account,
    "b",
  );
});
