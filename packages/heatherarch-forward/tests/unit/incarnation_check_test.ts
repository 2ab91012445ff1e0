import assert from "node:assert/strict";
import { test } from "node:test";
import {
  ExchangeError,
  IncarnationCheck,
  type TargetExchange,
} from "../../mod.ts";
import { buildTarget } from "./fixtures.ts";

const REQUEST = { path: "/", method: "GET", headers: [], body: null };
const TARGET = buildTarget("t@1", { instance: "t", startedAtMs: 1 });

/** Builds a check of targets that report this start, or nothing at all. */
function buildCheck(startedAtMs: number | undefined) {
  const state = { startedAtMs, opened: 1, reports: 0 };
  const check = new IncarnationCheck({
    connections: {
      countOpened: () => state.opened,
      send: () => {
        state.reports++;
        let abort = (): void => undefined;
        const body = new Promise<Buffer>((resolve, reject) => {
          abort = () => reject(new ExchangeError("aborted", "aborted"));
          if (state.startedAtMs !== undefined) resolve(Buffer.alloc(0));
        });
        return {
          readBody: () => body,
          abort: () => abort(),
        } as unknown as TargetExchange;
      },
    },
    codec: {
      encodeReportRequest: () => REQUEST,
      decodeReport: () => ({
        role: "decode",
        isChangingRole: false,
        ordersTaken: 0,
        startedAtMs: state.startedAtMs,
      }),
    },
  });
  return { check, state };
}

test("a target whose incarnations have ids of their own is not asked", async () => {
  const { check, state } = buildCheck(1);
  assert.equal(await check.confirm(buildTarget("t")), true);
  assert.equal(state.reports, 0);
});

test("a target is asked once for each new connection", async () => {
  const { check, state } = buildCheck(1);
  for (let i = 0; i < 3; i++) assert.equal(await check.confirm(TARGET), true);
  assert.equal(state.reports, 1);
  state.opened++;
  assert.equal(await check.confirm(TARGET), true);
  assert.equal(state.reports, 2);
});

test("another incarnation is not confirmed, and is asked again", async () => {
  const { check, state } = buildCheck(2);
  assert.equal(await check.confirm(TARGET), false);
  assert.equal(await check.confirm(TARGET), false);
  assert.equal(state.reports, 2);
});

// Guards against a stream that waits until its deadline for the report of a silent engine.
test("a target that sends no report is not confirmed, and is not waited for", async () => {
  const { check } = buildCheck(undefined);
  const startedAtMs = performance.now();
  assert.equal(await check.confirm(TARGET), false);
  assert.ok(performance.now() - startedAtMs < 1000);
});
