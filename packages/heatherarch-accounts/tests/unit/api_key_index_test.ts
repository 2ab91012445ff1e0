import assert from "node:assert/strict";
import { test } from "node:test";
import { inspect } from "node:util";
import { ApiKeyIndex, hashApiKey } from "../../mod.ts";

function buildIndex(): ApiKeyIndex<string> {
  return new ApiKeyIndex([
    { account: "a", keyDigests: [hashApiKey("key-1"), hashApiKey("key-2")] },
    { account: "b", keyDigests: [hashApiKey("key-3")] },
  ]);
}

test("an account is found by each of its keys and by no other text", () => {
  const index = buildIndex();
  assert.equal(index.size, 3);
  assert.equal(index.findAccount("key-1"), "a");
  assert.equal(index.findAccount("key-2"), "a");
  assert.equal(index.findAccount("key-3"), "b");
  for (const text of ["", "key-4", "KEY-1", "key-1 ", hashApiKey("key-1")]) {
    assert.equal(index.findAccount(text), undefined, text);
  }
});

test("an index that is printed discloses no key", () => {
  assert.doesNotMatch(
    inspect(buildIndex(), { depth: 10, showHidden: true }),
    /key-/,
  );
});
