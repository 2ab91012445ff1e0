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

test("the status of a fleet shows its client accounts, its duties and the latest orders", () => {
  assert.deepEqual(formatFleetStatus(STATUS), [
    "vm-1: configuration 7, known to be the newest 40 ms ago",
    "client accounts: 1",
    "  acme\t2 keys",
    "  share\ts\tacme\tuses 70.5% of 25.0%\tweight 4\trank 2",
    "returns\ts\t3 booked here\t9 due in the fleet",
    "duties: held by vm-2, fencing 12",
    "usage: window 101 final, window - reported",
    "  wanted\ts\tzone-a\t3 standard\t1 spot",
    "  ordered\ts\tzone-a\t1 spot\taccepted\tlost",
  ]);
});

test("a fleet without client accounts and duties is shown as such", () => {
  const config = { version: 7, ageMs: null };
  assert.deepEqual(
    formatFleetStatus({
      ...STATUS,
      config,
      accounts: null,
      shares: undefined,
      returns: undefined,
      duties: null,
    }),
    [
      "vm-1: configuration 7, not known to be the newest",
      "client accounts: none, calls need no API key",
      "duties: none",
    ],
  );
});
