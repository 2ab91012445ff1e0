import assert from "node:assert/strict";
import { test } from "node:test";
import { computeStreamKey, StreamVersions } from "../../mod.ts";

function buildKey(attemptId: string): string {
  return computeStreamKey({ attemptId, host: "a.example", service: "s" });
}

test("a stream is found by its attempt, host, client account and service only", () => {
  const identity = { attemptId: "a", host: "h", account: "x", service: "s" };
  const key = computeStreamKey(identity);
  assert.equal(computeStreamKey({ ...identity }), key);
  for (
    const other of [
      { ...identity, attemptId: "b" },
      { ...identity, host: "i" },
      { ...identity, account: "y" },
      { ...identity, account: undefined },
      { ...identity, service: "t" },
    ]
  ) assert.notEqual(computeStreamKey(other), key);
});

test("the first record of a stream is final", () => {
  const streams = new StreamVersions();
  const key = buildKey("a");
  streams.recordStream({ key, softwareVersion: "v1" });
  streams.recordStream({ key, softwareVersion: "v2" }, "zone");
  assert.equal(streams.findVersion(key), "v1");
  assert.equal(streams.findVersion(buildKey("b")), undefined);
});

test("records are listed once for each cursor, and those of other zones never", () => {
  const streams = new StreamVersions();
  const own = { key: buildKey("own"), softwareVersion: "v1" };
  const zone = { key: buildKey("zone"), softwareVersion: "v1" };
  const elsewhere = { key: buildKey("elsewhere"), softwareVersion: "v1" };
  streams.recordStream(own);
  streams.recordStream(zone, "zone");
  streams.recordStream(elsewhere, "elsewhere");
  assert.equal(streams.findVersion(elsewhere.key), "v1");
  assert.deepEqual(
    streams.listNew(0, "own").records.map(({ key }) => key),
    [own.key],
  );
  const { records, cursor } = streams.listNew(0, "zone");
  assert.deepEqual(records.map(({ key }) => key), [own.key, zone.key]);
  assert.deepEqual(streams.listNew(cursor, "zone").records, []);
});

test("a record is kept for the longest life of a stream, and dropped after twice that time", () => {
  const streams = new StreamVersions();
  streams.expire(0, 1000);
  streams.recordStream({ key: buildKey("a"), softwareVersion: "v1" });
  streams.expire(1000, 1000);
  streams.expire(1999, 1000);
  assert.equal(streams.findVersion(buildKey("a")), "v1");
  streams.expire(2000, 1000);
  assert.equal(streams.findVersion(buildKey("a")), undefined);
});

// Guards against heartbeats that peers reject because a target names a version beyond all bounds.
test("a software version that peers would reject is not recorded", () => {
  const streams = new StreamVersions();
  const softwareVersion = "v".repeat(257);
  streams.recordStream({ key: buildKey("a"), softwareVersion });
  assert.equal(streams.size, 0);
  assert.deepEqual(streams.listNew(0, "own").records, []);
});

test("the number of records is bounded; the oldest are dropped", () => {
  const streams = new StreamVersions({ maxRecords: 10 });
  for (let i = 0; i < 100; i++) {
    streams.recordStream({ key: buildKey(`${i}`), softwareVersion: "v1" });
  }
  assert.ok(streams.size <= 20);
  assert.equal(streams.findVersion(buildKey("99")), "v1");
  assert.equal(streams.findVersion(buildKey("0")), undefined);
});
