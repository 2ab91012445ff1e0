import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "heatherarch-core";
import type { LogPort, LogRecord } from "heatherarch-log";
import { Membership, type MeshNode } from "heatherarch-mesh";
import { ClaimService } from "../../claim_service.ts";

const START_MS = 1_700_000_000_000;

/** Builds an in-memory log that takes its time from the clock. */
function buildLog(clock: ManualClock): LogPort {
  const streams = new Map<string, LogRecord[]>();
  const getRecords = (stream: string): LogRecord[] => {
    const records = streams.get(stream) ?? [];
    streams.set(stream, records);
    return records;
  };
  return {
    append: (stream, data) => {
      const records = getRecords(stream);
      const offset = records.length;
      records.push({ offset, appendedAtMs: clock.readWallMs(), data });
      return Promise.resolve(offset);
    },
    read: (stream, from) => {
      const records = getRecords(stream);
      return Promise.resolve({
        records: records.slice(from),
        first: 0,
        next: records.length,
      });
    },
  };
}

/** Builds the claim service of a VM that knows no other VM yet. */
function buildService(
  vmId: string,
  log: LogPort,
  clock: ManualClock,
): ClaimService {
  const identity = {
    id: vmId,
    incarnation: `${vmId}-1`,
    availabilityZone: "zone-a",
    mesh: "127.0.0.1:1",
  };
  return new ClaimService({
    vmId,
    incarnation: identity.incarnation,
    availabilityZone: identity.availabilityZone,
    log,
    clock,
    membership: new Membership({ self: identity, silenceMs: 1000 }),
    mesh: { registerCall: () => () => undefined } as unknown as MeshNode,
    settings: {
      shards: 1,
      batchMs: 0,
      maxBatch: 10,
      permissionMs: 2000,
      keyWindowMs: 86_400_000,
      futureSkewMs: 60_000,
    },
    snapshotEveryRecords: 1000,
  });
}

test("a claim of an unknown VM is in progress while it is fresh, and its outcome is unknown later", async () => {
  const clock = new ManualClock(START_MS);
  const log = buildLog(clock);
  const request = { key: "k", madeAtMs: START_MS, fingerprint: "f" };
  const first = await buildService("vm-a", log, clock).claim(request);
  assert.equal(first.kind, "granted");
  const service = buildService("vm-b", log, clock);
  const fresh = await service.claim(request);
  assert.ok(fresh.kind === "refused");
  assert.equal(fresh.error.kind, "keyInProgress");
  clock.advance(6000);
  const old = await service.claim(request);
  assert.ok(old.kind === "refused");
  assert.equal(old.error.kind, "outcomeUnknown");
});
