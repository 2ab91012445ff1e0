import assert from "node:assert/strict";
import { test } from "node:test";
import { ConfigConfirmation } from "../../mod.ts";

test("a read confirms the newest version that the store has shown", () => {
  const confirmation = new ConfigConfirmation();
  assert.equal(confirmation.isConfirmed(1, 0), false);
  confirmation.recordVersion(1);
  assert.equal(confirmation.isConfirmed(1, 0), true);
});

// Guards against API keys that a lost version revoked and that an older one confirms.
test("a restored store confirms nothing until the operator has written again", () => {
  const confirmation = new ConfigConfirmation();
  confirmation.recordVersion(32);
  confirmation.recordRestoration(1000);
  confirmation.recordVersion(28);
  assert.equal(confirmation.isConfirmed(32, 2900), false);
  assert.equal(confirmation.isConfirmed(28, 2900), false);
  assert.equal(confirmation.isConfirmed(32, 3000), false);
  confirmation.recordVersion(32);
  assert.equal(confirmation.isConfirmed(32, 2900), false);
  assert.equal(confirmation.isConfirmed(32, 3000), true);
});
