import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { test } from "node:test";
import { ServeError } from "heatherarch-core";
import { parseFleet } from "heatherarch-settings";
import { AccountDirectory } from "../../mod.ts";

const TOKEN = "open-sesame";

function buildFleet(allowAnonymous: boolean) {
  return parseFleet({
    deployment: "d",
    availabilityZones: ["zone-a"],
    services: [{ name: "reader", kind: "model", models: ["m"] }],
    targets: [],
    accounts: [
      {
        name: "desk",
        tokenSha256: createHash("sha256").update(TOKEN).digest("hex"),
      },
      { name: "kiosk" },
    ],
    allowAnonymous,
  }).unwrap();
}

function isUnauthenticated(error: unknown): boolean {
  return error instanceof ServeError && error.kind === "unauthenticated";
}

test("a token selects its account, and a name only an account without a token", () => {
  const directory = new AccountDirectory();
  const fleet = buildFleet(false);
  assert.equal(directory.find({ token: TOKEN, name: "" }, fleet).name, "desk");
  assert.equal(
    directory.find({ token: undefined, name: "kiosk" }, fleet).name,
    "kiosk",
  );
  assert.throws(
    () => directory.find({ token: undefined, name: "desk" }, fleet),
    isUnauthenticated,
  );
});

test("requests without an account are served only if the fleet allows it", () => {
  const directory = new AccountDirectory();
  assert.throws(
    () => directory.find({ token: "x", name: "" }, buildFleet(false)),
    isUnauthenticated,
  );
  assert.equal(
    directory.find({ token: "x", name: "" }, buildFleet(true)).name,
    "anonymous",
  );
});
