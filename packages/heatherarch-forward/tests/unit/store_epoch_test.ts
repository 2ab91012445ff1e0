import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreEpoch } from "../../mod.ts";

test("only an epoch that rises after the first known one is a restoration", () => {
  const storeEpoch = new StoreEpoch();
  const restorations: string[] = [];
  const undo = storeEpoch.registerListener(({ epoch, before, source }) =>
    void restorations.push(`${before} to ${epoch} by ${source}`)
  );
  storeEpoch.record(3, "peer");
  storeEpoch.record(3, "store");
  storeEpoch.record(2, "store");
  assert.deepEqual(restorations, []);
  storeEpoch.record(5, "store");
  storeEpoch.record(4, "peer");
  storeEpoch.record(6, "peer");
  assert.deepEqual(restorations, ["3 to 5 by store", "5 to 6 by peer"]);
  assert.equal(storeEpoch.current, 6);
  undo();
  storeEpoch.record(7, "store");
  assert.equal(restorations.length, 2);
});
