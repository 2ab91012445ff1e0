/**
 * Measures what it costs to confirm responses that end with their connections: probes for each call, and
 * the time that the confirmation adds, for one target that responds to probes after a round trip.
 *
 * @module
 */
import { Random, RuntimeClock, sleep } from "heatherarch-core";
import { EndConfirmation, type TargetExchange } from "heatherarch-forward";
import { computeQuantiles, type Quantiles, roundTo } from "./statistics.ts";

/** Result of one rate of calls. */
export interface EndRow {
  readonly callsPerSecond: number;
  /** Share of the responses that have neither a length nor chunks. */
  readonly unframedShare: number;
  readonly roundTripMs: number;
  readonly probesPerCall: number;
  /** Time from the end of a response without length to its confirmation. */
  readonly addedMs: Quantiles;
}

const RATES = [20, 200, 2000];
const SHARES = [0.05, 1];
const ROUND_TRIPS_MS = [1, 20];
const DURATION_MS = 5000;

/** Measures all rates, one after another. */
export async function runEndBench(
  { seed, print }: { seed: number; print: (line: string) => void },
): Promise<EndRow[]> {
  const rows: EndRow[] = [];
  for (const roundTripMs of ROUND_TRIPS_MS) {
    for (const unframedShare of SHARES) {
      for (const callsPerSecond of RATES) {
        const load = { callsPerSecond, unframedShare, roundTripMs };
        const row = await measureLoad(load, new Random(seed));
        rows.push(row);
        print(JSON.stringify(row));
      }
    }
  }
  return rows;
}

async function measureLoad(
  load: Pick<EndRow, "callsPerSecond" | "unframedShare" | "roundTripMs">,
  random: Random,
): Promise<EndRow> {
  const { callsPerSecond, unframedShare, roundTripMs } = load;
  let probes = 0;
  const confirmation = buildConfirmation(roundTripMs, () => probes++);
  const target = {
    id: "t",
    service: "s",
    address: "127.0.0.1:1",
    startedAtMs: 1,
  } as Parameters<EndConfirmation["confirm"]>[0];
  const abandoned = new Promise<void>(() => undefined);
  const pending: Promise<number>[] = [];
  const startedAtMs = performance.now();
  let calls = 0;
  for (let atMs = 0; atMs < DURATION_MS;) {
    atMs += -Math.log(1 - random.drawUnit()) * 1000 / callsPerSecond;
    const restMs = startedAtMs + atMs - performance.now();
    if (restMs > 0) await sleep(restMs);
    calls++;
    if (random.drawUnit() >= unframedShare) continue;
    const endedAtMs = performance.now();
    pending.push(
      confirmation.confirm(target, { abandoned })
        .then(() => performance.now() - endedAtMs),
    );
  }
  const addedMs = computeQuantiles(await Promise.all(pending));
  return { ...load, probesPerCall: roundTo(probes / calls, 4), addedMs };
}

/** Builds confirmations of a target that sends a report after a round trip. */
function buildConfirmation(
  roundTripMs: number,
  onProbe: () => void,
): EndConfirmation {
  const report = { startedAtMs: 1 };
  return new EndConfirmation({
    clock: new RuntimeClock(),
    connections: {
      checkOpenSince: () => Promise.resolve(false),
      send: () =>
        ({
          head: sleep(roundTripMs).then(() => ({ status: 200, headers: {} })),
          isSent: true,
          readBody: () => Promise.resolve(Buffer.alloc(0)),
          abort: () => undefined,
        }) as unknown as TargetExchange,
    },
    codec: {
      encodeReportRequest: () => ({
        path: "/",
        method: "GET",
        headers: [],
        body: null,
      }),
      decodeReport: () => report as never,
      decodeResponse: () => ({ misdirected: false }) as never,
    },
    isLimited: () => false,
    hasRoom: () => true,
    connect: () => Promise.resolve("accepted"),
    onProbe,
  });
}
