/**
 * At most once at rate: claims a second against appends a second, with and without group
 * commit, on a log that takes 300 appends a second and answers in 5 to 50 ms.
 *
 * @module
 */
import { createId, RuntimeClock } from "heatherarch-core";
import { ClaimShard, computeShard } from "heatherarch-claims";
import { MemoryLog } from "heatherarch-standins";
import { computeQuantiles, type Quantiles, roundTo } from "./statistics.ts";

/** Result of one way of committing. */
export interface ClaimsReport {
  readonly way: string;
  readonly shards: number;
  readonly maxBatch: number;
  readonly callers: number;
  readonly claimsPerSecond: number;
  readonly appendsPerSecond: number;
  readonly claimsPerAppend: number;
  readonly addedLatencyMs: Quantiles;
  readonly cpuMicrosecondsPerClaim: number;
}

const APPENDS_PER_SECOND = 300;
const APPEND_LATENCY_MS = { low: 5, high: 50 };
const DURATION_S = 6;

/** Measures several ways. */
export async function runClaimsBench(): Promise<ClaimsReport[]> {
  const reports: ClaimsReport[] = [];
  for (const [way, shards, maxBatch, callers] of CONFIGURATIONS) {
    reports.push(
      await measureConfiguration({ way, shards, maxBatch, callers }),
    );
  }
  return reports;
}

const CONFIGURATIONS = [
  ["one claim an append", 4, 1, 200],
  ["group commit, few callers", 4, 500, 20],
  ["group commit", 4, 500, 200],
  ["group commit, many callers", 4, 500, 2000],
  ["group commit, one shard", 1, 500, 2000],
] as const;

async function measureConfiguration(
  options: { way: string; shards: number; maxBatch: number; callers: number },
): Promise<ClaimsReport> {
  const { way, shards: count, maxBatch, callers } = options;
  const log = new MemoryLog({
    appendsPerSecond: APPENDS_PER_SECOND,
    appendMs: APPEND_LATENCY_MS,
  });
  const shards = Array.from({ length: count }, (_, shard) =>
    new ClaimShard({
      shard,
      log,
      clock: new RuntimeClock(),
      batchMs: 5,
      maxBatch,
      timeoutMs: 30_000,
      snapshotEveryRecords: 1_000_000,
      keyWindowMs: 86_400_000,
      futureSkewMs: 60_000,
    }));
  const times: number[] = [];
  const untilMs = performance.now() + DURATION_S * 1000;
  const cpuBefore = process.cpuUsage();
  const worker = async (): Promise<void> => {
    while (performance.now() < untilMs) {
      const madeAtMs = Date.now();
      const key = `desk/bookings/${madeAtMs}-${createId("k")}`;
      const startMs = performance.now();
      await shards[computeShard(key, count)].claim({
        op: "claim",
        claimId: createId("claim"),
        key,
        madeAtMs,
        fingerprint: "f",
        vm: "vm",
      });
      times.push(performance.now() - startMs);
    }
  };
  await Promise.all(Array.from({ length: callers }, worker));
  const cpu = process.cpuUsage(cpuBefore);
  return {
    way,
    shards: count,
    maxBatch,
    callers,
    claimsPerSecond: Math.round(times.length / DURATION_S),
    appendsPerSecond: Math.round(log.appendCount / DURATION_S),
    claimsPerAppend: roundTo(times.length / log.appendCount, 1),
    addedLatencyMs: computeQuantiles(times),
    cpuMicrosecondsPerClaim: roundTo((cpu.user + cpu.system) / times.length, 1),
  };
}
