import assert from "node:assert/strict";
import { test } from "node:test";
import { type FleetStatusResponse, formatFleetStatus } from "../../mod.ts";

const ZONE = { service: "s", availabilityZone: "zone-a" };
const STATUS: FleetStatusResponse = {
  vm: "vm-1",
  config: { version: 7, ageMs: 40 },
  accounts: [{ name: "acme", keys: 2 }],
  shares: [{
    service: "s",
    account: "acme",
    weight: 4,
    use: 0.705,
    share: 0.25,
    rank: 2,
  }],
  returns: [{ service: "s", booked: 3, due: 9 }],
  queues: [
    { service: "s", kind: "prompt", waiting: 12, ratePerS: 40.2 },
    { service: "t", kind: "plain", waiting: 1, ratePerS: null },
  ],
  loads: [{
    service: "t",
    targets: [
      {
        target: "p1",
        running: 4,
        waiting: 2,
        slots: 4,
        slowdown: 2.5,
        expectedSlowdown: 1.75,
        ageMs: 300,
      },
      {
        target: "p2",
        running: 1,
        waiting: 0,
        slots: 4,
        slowdown: null,
        expectedSlowdown: 1,
        ageMs: 90,
      },
    ],
    others: 5,
    withoutReport: 3,
  }],
  duties: {
    holder: "vm-2",
    fencing: 12,
    lastFinalWindow: 101,
    wanted: [{ ...ZONE, standard: 3, spot: 1 }],
    orders: [
      { ...ZONE, kind: "spot", count: 1, outcome: "accepted", reason: "lost" },
    ],
  },
};

// Guards against a part of the status that operators don't see without --json.
test("the status of a fleet shows accounts, returns, queues, loads, duties and the latest orders", () => {
  assert.deepEqual(formatFleetStatus(STATUS), [
    "vm-1: configuration 7, known to be the newest 40 ms ago",
    "client accounts: 1",
    "  acme\t2 keys",
    "  share\ts\tacme\tuses 70.5% of 25.0%\tweight 4\trank 2",
    "returns\ts\t3 booked here\t9 due in the fleet",
    "waiting\ts\t12 prompt calls here\t40.2 dispatched/s",
    "waiting\tt\t1 plain calls here\tdispatch rate unknown",
    "loads\tt\t2 targets listed\t5 others\t3 without a report",
    "  load\tt\tp1\t4 running\t2 waiting\t4 slots\tslowdown 2.5\texpected 1.75\t300 ms ago",
    "  load\tt\tp2\t1 running\t0 waiting\t4 slots\tslowdown not reported\texpected 1\t90 ms ago",
    "duties: held by vm-2, fencing 12",
    "usage: window 101 final, window - reported",
    "  wanted\ts\tzone-a\t3 standard\t1 spot",
    "  ordered\ts\tzone-a\t1 spot\taccepted\tlost",
  ]);
});

// Guards against a command that fails at a VM of an older version, which sends fewer fields.
test("a fleet without client accounts and duties is shown as such", () => {
  const config = { version: 7, ageMs: null };
  assert.deepEqual(
    formatFleetStatus({
      ...STATUS,
      config,
      accounts: null,
      shares: undefined,
      returns: undefined,
      queues: undefined,
      loads: undefined,
      duties: null,
    }),
    [
      "vm-1: configuration 7, not known to be the newest",
      "client accounts: none, calls need no API key",
      "duties: none",
    ],
  );
});

// Guards against odd entries that operators see in the log only, and against keys that control a terminal.
test("the status of a fleet shows which entries are unreadable, with quoted keys", () => {
  const unreadable = [
    { topic: "targets", keys: ["i-1", "\u001b[2J"], others: 7 },
    { topic: "configs", keys: ["config"], others: 0 },
  ];
  const lines = formatFleetStatus({ ...STATUS, unreadable });
  const known = new Set(formatFleetStatus(STATUS));
  assert.deepEqual(lines.filter((line) => !known.has(line)), [
    "unreadable\ttargets\t2 entries listed\t7 others",
    '  entry\ttargets\t"i-1"',
    '  entry\ttargets\t"\\u001b[2J"',
    "unreadable\tconfigs\t1 entries listed\t0 others",
    '  entry\tconfigs\t"config"',
  ]);
});
