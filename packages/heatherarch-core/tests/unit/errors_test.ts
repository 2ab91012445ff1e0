import assert from "node:assert/strict";
import { test } from "node:test";
import {
  buildErrorBody,
  ERROR_KINDS,
  ERROR_RESPONSES,
  ServeError,
  toServeError,
} from "../../mod.ts";

test("every error kind has a status of its class and a sane retry time", () => {
  for (const kind of ERROR_KINDS) {
    const answer = ERROR_RESPONSES[kind];
    assert.ok(answer.status >= 400 && answer.status < 600, kind);
    assert.ok(answer.retryAfterMs >= 0, kind);
    if (answer.retry) assert.ok(answer.retryAfterMs > 0, kind);
  }
});

test("an error body carries kind, run, retryAfter and the request id", () => {
  const error = new ServeError("overloaded", "full", { retryAfterMs: 250 });
  const { error: body } = buildErrorBody(error, "req-1");
  assert.deepEqual(body, {
    kind: "overloaded",
    type: "overloaded",
    message: "full",
    run: "no",
    retryAfter: 0.3,
    requestId: "req-1",
  });
});

test("anything thrown becomes internal, and never says that nothing ran", () => {
  const error = toServeError(new TypeError("x"));
  assert.equal(error.kind, "internal");
  assert.equal(error.run, "unknown");
});
