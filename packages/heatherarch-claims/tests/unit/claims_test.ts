import assert from "node:assert/strict";
import { test } from "node:test";
import { RuntimeClock } from "heatherarch-core";
import type { LogPort, LogRecord } from "heatherarch-log";
import { ClaimShard, computeShard, parseClaimKey } from "../../mod.ts";

const SCOPE = { account: "desk", service: "bookings" };

function createLog(appendMs: number): LogPort & { records: LogRecord[] } {
  const records: LogRecord[] = [];
  return {
    records,
    append: async (_stream, data) => {
      await new Promise((resolve) => setTimeout(resolve, appendMs));
      records.push({ offset: records.length, appendedAtMs: Date.now(), data });
      return records.length - 1;
    },
    read: (_stream, from) =>
      Promise.resolve({
        records: records.slice(from),
        first: 0,
        next: records.length,
      }),
  };
}

/** Returns the same log with only its newest records. */
function trimLog(
  log: LogPort & { records: LogRecord[] },
  kept: number,
): LogPort {
  const first = log.records.length - kept;
  return {
    append: (stream, data) => log.append(stream, data),
    read: (_stream, from) => {
      const records = log.records.slice(Math.max(from, first));
      return Promise.resolve({ records, first, next: log.records.length });
    },
  };
}

function createShard(log: LogPort, snapshotEveryRecords = 1000): ClaimShard {
  return new ClaimShard({
    shard: 0,
    log,
    clock: new RuntimeClock(),
    batchMs: 2,
    maxBatch: 100,
    timeoutMs: 1000,
    snapshotEveryRecords,
    keyWindowMs: 60_000,
    futureSkewMs: 1000,
  });
}

function claim(
  shard: ClaimShard,
  claimId: string,
  key = "k",
  fingerprint = "f",
) {
  return shard.claim({
    op: "claim",
    claimId,
    key,
    madeAtMs: Date.now(),
    fingerprint,
    vm: "vm",
  });
}

test("a key must carry its time, and is scoped by client account and service", () => {
  const valid = parseClaimKey("1764700000000-3f9c2a7e", SCOPE).unwrap();
  assert.equal(valid.madeAtMs, 1_764_700_000_000);
  const other = parseClaimKey("1764700000000-3f9c2a7e", {
    ...SCOPE,
    account: "family",
  }).unwrap();
  assert.notEqual(valid.text, other.text);
  for (const bad of ["abc", "1764700000000", "1764700000000-", "17647-abcd"]) {
    assert.equal(parseClaimKey(bad, SCOPE).ok, false, bad);
  }
});

test("keys are distributed evenly over the shards", () => {
  const counts = [0, 0, 0, 0];
  for (let i = 0; i < 4000; i++) counts[computeShard(`desk/b/${i}`, 4)]++;
  for (const count of counts) {
    assert.ok(count > 850 && count < 1150, `${counts}`);
  }
});

test("two owners of one shard grant a key only once", async () => {
  const log = createLog(3);
  const owners = [createShard(log), createShard(log)];
  const verdicts = await Promise.all(
    owners.map((owner, i) => claim(owner, `c${i}`)),
  );
  assert.deepEqual(verdicts.map((verdict) => verdict.kind).sort(), [
    "granted",
    "taken",
  ]);
});

test("simultaneous claims share an append", async () => {
  const log = createLog(10);
  const shard = createShard(log);
  const verdicts = await Promise.all(
    Array.from({ length: 50 }, (_, i) => claim(shard, `c${i}`, `key${i}`)),
  );
  assert.ok(verdicts.every((verdict) => verdict.kind === "granted"));
  assert.ok(log.records.length <= 2, `${log.records.length} appends`);
});

test("a new owner of a trimmed shard grants its first claim", async () => {
  const log = createLog(1);
  const oldOwner = createShard(log, 5);
  for (let i = 0; i < 12; i++) await claim(oldOwner, `old${i}`, `key${i}`);
  const newOwner = createShard(trimLog(log, 6));
  assert.equal((await claim(newOwner, "new", "another")).kind, "granted");
  assert.equal((await claim(newOwner, "late", "key0")).kind, "taken");
});

test("a released key can be claimed again, and a concluded one returns its outcome", async () => {
  const shard = createShard(createLog(1));
  assert.equal((await claim(shard, "c1")).kind, "granted");
  await shard.conclude({ op: "release", claimId: "c1", key: "k" });
  assert.equal((await claim(shard, "c2")).kind, "granted");
  await shard.conclude({
    op: "conclude",
    claimId: "c2",
    key: "k",
    outcome: { status: 201, headers: {} },
  });
  const third = await claim(shard, "c3");
  assert.equal(third.kind === "taken" && third.holder.outcome?.status, 201);
  assert.equal((await claim(shard, "c4", "k", "other")).kind, "reused");
});

/** Time within which a shard writes its snapshot. */
const SNAPSHOT_MS = 20;

/** Creates a shard whose claims another VM covers by a snapshot before its own VM reads them. */
function createShardBehindSnapshot(): ClaimShard {
  const log = createLog(1);
  const other = createShard(log, 1);
  return createShard({
    append: async (stream, data) => {
      const offset = await log.append(stream, data);
      await claim(other, `other${offset}`, `other-key${offset}`);
      // The other VM writes its snapshot after it returns the verdict.
      await new Promise((resolve) => setTimeout(resolve, SNAPSHOT_MS));
      return offset;
    },
    // All records that the snapshot covers are trimmed.
    read: (stream, from) => {
      const first = log.records.findLastIndex(({ data }) =>
        (data as { type: string }).type === "snapshot"
      );
      return trimLog(log, log.records.length - first).read(stream, from);
    },
  });
}

// When another VM's snapshot covered the record of a claim before the claiming VM read it, the
// verdict was lost and the key stayed claimed.
test("a claim whose record a snapshot covers gets its verdict from the snapshot", async () => {
  const shard = createShardBehindSnapshot();
  assert.equal((await claim(shard, "c1")).kind, "granted");
  assert.equal((await claim(shard, "c2")).kind, "taken");
  assert.equal((await claim(shard, "c3", "k", "other")).kind, "reused");
});
