import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type InputIssue,
  parseFleet,
  parseProfile,
  readForwardSettings,
  readProcessSettings,
} from "../../mod.ts";

const GOOD = `
[vm]
id = "pasay-a-1"
availabilityZone = "pasay-a"
[listen]
callers = "127.0.0.1:8080"
operators = "127.0.0.1:9080"
mesh = "127.0.0.1:7080"
[platform]
log = "http://127.0.0.1:7000"
vmList = "http://127.0.0.1:7000/vms"
`;

test("good settings get their defaults", () => {
  const settings = readProcessSettings(GOOD).unwrap();
  assert.equal(settings.lease.durationMs, 4000);
  assert.equal(settings.requests.maxTries, 5);
});

test("all faults are told at once, each with its place", () => {
  const text = GOOD.replace('"127.0.0.1:8080"', '"localhost"')
    .replace('id = "pasay-a-1"', 'id = "Pasay A"') +
    "[lease]\nrenewMs = 3000\nsurprise = 1\n";
  const faults = readProcessSettings(text).val as InputIssue[];
  const places = faults.map((fault) => fault.location);
  assert.ok(places.includes("listen.callers"));
  assert.ok(places.includes("vm.id"));
  assert.ok(places.includes("lease"));
});

test("renewals must be twice as frequent as the lease is long", () => {
  const faults = readProcessSettings(`${GOOD}[lease]\nrenewMs = 3000\n`)
    .val as InputIssue[];
  assert.deepEqual(faults.map((fault) => fault.location), ["lease.renewMs"]);
});

test("a mesh beyond loopback needs a key, operators beyond it need names", () => {
  const text = GOOD.replace("127.0.0.1:7080", "10.0.0.1:7080").replace(
    "127.0.0.1:9080",
    "10.0.0.1:9080",
  );
  const faults = readProcessSettings(text).val as InputIssue[];
  assert.deepEqual(faults.map((fault) => fault.location).sort(), [
    "mesh.sharedKey",
    "operators",
  ]);
});

test("a TOML error names its line", () => {
  const faults = readProcessSettings("[vm\n").val as InputIssue[];
  assert.match(faults[0].location, /^line 1/);
});

test("a fleet's references and duplicates are checked together", () => {
  const target = {
    id: "e1",
    service: "missing",
    availabilityZone: "nowhere",
    address: "127.0.0.1:1",
  };
  const faults = parseFleet({
    deployment: "d",
    availabilityZones: ["zone-a"],
    services: [{ name: "reader", kind: "model", models: ["m"] }],
    targets: [target, target],
  }).val as InputIssue[];
  assert.deepEqual(faults.map((fault) => fault.location).sort(), [
    "targets[0].availabilityZone",
    "targets[0].service",
    "targets[1]",
    "targets[1].availabilityZone",
    "targets[1].service",
  ]);
});

test("an unknown field of a profile is a fault, not a silent default", () => {
  const faults = parseProfile({ name: "fast", dedlineMs: 10 })
    .val as InputIssue[];
  assert.match(faults[0].reason, /dedlineMs/);
});

const FORWARDING = `
[vm]
id = "pasay-a-1"
availabilityZone = "pasay-a"
[listen]
callers = "127.0.0.1:8080"
readiness = "127.0.0.1:8081"
metrics = "127.0.0.1:9080"
mesh = "127.0.0.1:7080"
[mesh]
sharedKey = "heatherarch-tests"
[store]
address = "127.0.0.1:7000"
configBoundMs = 3000
`;

test("a read for a newer configuration is held for half of the bound by default", () => {
  const { store } = readForwardSettings(FORWARDING).unwrap();
  assert.equal(store.configWaitMs, 1500);
});

test("a hold that can't keep the bound of the configuration, or none, is refused", () => {
  for (const waitMs of [0, 1501]) {
    const parsed = readForwardSettings(
      `${FORWARDING}configWaitMs = ${waitMs}\n`,
    );
    assert.deepEqual(
      (parsed.val as InputIssue[]).map(({ location: place }) => place),
      ["store.configWaitMs"],
    );
  }
});
