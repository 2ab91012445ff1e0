import assert from "node:assert/strict";
import { test } from "node:test";
import {
  buildErrorBody,
  ERROR_KINDS,
  ERROR_RESPONSES,
  ServeError,
  toServeError,
} from "../../mod.ts";

test("every error kind has an HTTP error status, and a retry time if a retry may succeed", () => {
  for (const kind of ERROR_KINDS) {
    const response = ERROR_RESPONSES[kind];
    assert.ok(response.status >= 400 && response.status < 600, kind);
    assert.ok(response.retryAfterMs >= 0, kind);
    if (response.retry) assert.ok(response.retryAfterMs > 0, kind);
  }
});

test("an error body contains kind, run, retryAfter and the request id", () => {
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

test("any other thrown value becomes internal, and does not claim that nothing ran", () => {
  const error = toServeError(new TypeError("x"));
  assert.equal(error.kind, "internal");
  assert.equal(error.run, "unknown");
});
