/**
 * What the daemon adds on the path of a request: latency against calling the stand-in
 * directly, requests and tokens a second on one core, memory.
 *
 * @module
 */
import { Agent, request } from "undici";
import { sleep } from "heatherarch-core";
import { Cluster } from "../cluster.ts";
import { buildDeployment } from "../deployment.ts";
import { readUsage } from "./process_usage.ts";
import { computeQuantiles, type Quantiles, roundTo } from "./statistics.ts";

/** Report of the benchmark. */
export interface PathReport {
  readonly lookupDirectMs: Quantiles;
  readonly lookupThroughMs: Quantiles;
  readonly addedLookupP50Ms: number;
  readonly firstTokenDirectMs: Quantiles;
  readonly firstTokenThroughMs: Quantiles;
  readonly addedFirstTokenP50Ms: number;
  readonly gapDirectMs: Quantiles;
  readonly gapThroughMs: Quantiles;
  readonly addedGapP50Ms: number;
  readonly lookupsPerCoreSecond: number;
  readonly tokensPerCoreSecond: number;
  readonly tokensPerSecond: number;
  readonly daemonCpuShare: number;
  readonly residentIdleMb: number;
  readonly residentAtStreamsMb: number;
  readonly streams: number;
}

const ENGINES = 24;
const STREAMS = 1000;
const STREAM_TOKENS = 400;
const LATENCY_LOOKUPS = 400;
const LATENCY_STREAMS = 40;
const LATENCY_STREAM_TOKENS = 40;
const LOAD_LOOKUPS = 8000;
const LOAD_CONCURRENCY = 64;
const MEGABYTE = 1024 * 1024;

/** Runs the benchmark. */
export async function runPathBench(): Promise<PathReport> {
  const deployment = await buildDeployment({
    name: "path",
    availabilityZones: ["zone-a"],
    vmsPerZone: 1,
    enginesPerZone: ENGINES,
    servicesPerZone: 2,
    modelService: "reader",
    plainService: "bookings",
    planning: { policy: "none" },
    pickRole: () => "decode",
  });
  const cluster = new Cluster({
    deployment,
    standins: { speeds: { stepMs: 40, decodeMsPerSequence: 0 } },
    profiles: [{
      name: "default",
      deadlineMs: 120_000,
      kvTransferMinTokens: 0,
    }],
  });
  const agent = new Agent({ connections: STREAMS + 100 });
  try {
    await cluster.start();
    const [vm] = deployment.vms;
    const pid = cluster.getPid(vm.id) as number;
    await sleep(1500);
    const idle = readUsage(pid).residentBytes;
    const engine = deployment.fleet.targets[0].address;
    const service = deployment.fleet.targets[ENGINES].address;
    const through = `http://${vm.callers}`;
    await measureLookups(
      agent,
      `${through}/services/bookings/slots/1`,
      LATENCY_LOOKUPS,
      1,
    );
    const lookupDirect = await measureLookups(
      agent,
      `http://${service}/slots/1`,
      LATENCY_LOOKUPS,
      1,
    );
    const lookupThrough = await measureLookups(
      agent,
      `${through}/services/bookings/slots/1`,
      LATENCY_LOOKUPS,
      1,
    );
    const direct = await measureStreams(agent, {
      url: `http://${engine}/v1/completions`,
      streams: LATENCY_STREAMS,
      concurrency: 4,
      tokens: LATENCY_STREAM_TOKENS,
    });
    const routed = await measureStreams(agent, {
      url: `${through}/v1/completions`,
      streams: LATENCY_STREAMS,
      concurrency: 4,
      tokens: LATENCY_STREAM_TOKENS,
    });
    const lookups = await measureCpu(
      pid,
      () =>
        measureLookups(
          agent,
          `${through}/services/bookings/slots/1`,
          LOAD_LOOKUPS,
          LOAD_CONCURRENCY,
        ),
    );
    let peak = 0;
    const sampling = setInterval(() => {
      peak = Math.max(peak, readUsage(pid).residentBytes);
    }, 250);
    const tokens = await measureCpu(pid, () =>
      measureStreams(agent, {
        url: `${through}/v1/completions`,
        streams: STREAMS,
        concurrency: STREAMS,
        tokens: STREAM_TOKENS,
      }));
    clearInterval(sampling);
    const streamed = STREAMS * STREAM_TOKENS;
    const added = (a: Quantiles, b: Quantiles) => roundTo(b.p50 - a.p50, 3);
    return {
      lookupDirectMs: computeQuantiles(lookupDirect),
      lookupThroughMs: computeQuantiles(lookupThrough),
      addedLookupP50Ms: added(
        computeQuantiles(lookupDirect),
        computeQuantiles(lookupThrough),
      ),
      firstTokenDirectMs: computeQuantiles(direct.firstMs),
      firstTokenThroughMs: computeQuantiles(routed.firstMs),
      addedFirstTokenP50Ms: added(
        computeQuantiles(direct.firstMs),
        computeQuantiles(routed.firstMs),
      ),
      gapDirectMs: computeQuantiles(direct.gapsMs),
      gapThroughMs: computeQuantiles(routed.gapsMs),
      addedGapP50Ms: added(
        computeQuantiles(direct.gapsMs),
        computeQuantiles(routed.gapsMs),
      ),
      lookupsPerCoreSecond: Math.round(LOAD_LOOKUPS / lookups.cpuSeconds),
      tokensPerCoreSecond: Math.round(streamed / tokens.cpuSeconds),
      tokensPerSecond: Math.round(streamed / tokens.seconds),
      daemonCpuShare: roundTo(tokens.cpuSeconds / tokens.seconds, 2),
      residentIdleMb: Math.round(idle / MEGABYTE),
      residentAtStreamsMb: Math.round(peak / MEGABYTE),
      streams: STREAMS,
    };
  } finally {
    await agent.destroy();
    await cluster.stop();
  }
}

async function measureCpu(
  pid: number,
  work: () => Promise<unknown>,
): Promise<{ cpuSeconds: number; seconds: number }> {
  const before = readUsage(pid).cpuSeconds;
  const startMs = performance.now();
  await work();
  const seconds = (performance.now() - startMs) / 1000;
  return { cpuSeconds: readUsage(pid).cpuSeconds - before, seconds };
}

async function measureLookups(
  agent: Agent,
  url: string,
  count: number,
  concurrency: number,
): Promise<number[]> {
  const times: number[] = [];
  let started = 0;
  const worker = async (): Promise<void> => {
    while (started++ < count) {
      const startMs = performance.now();
      const answer = await request(url, { dispatcher: agent });
      await answer.body.dump();
      if (answer.statusCode !== 200) {
        throw new Error(`lookup: status ${answer.statusCode}`);
      }
      times.push(performance.now() - startMs);
    }
  };
  await Promise.all(Array.from({ length: concurrency }, worker));
  return times;
}

interface StreamTimes {
  readonly firstMs: number[];
  readonly gapsMs: number[];
}

async function measureStreams(
  agent: Agent,
  options: {
    url: string;
    streams: number;
    concurrency: number;
    tokens: number;
  },
): Promise<StreamTimes> {
  const times: StreamTimes = { firstMs: [], gapsMs: [] };
  let started = 0;
  const worker = async (): Promise<void> => {
    while (started < options.streams) {
      const number = started++;
      await measureStream(agent, { ...options, number }, times);
    }
  };
  await Promise.all(Array.from({ length: options.concurrency }, worker));
  return times;
}

/** Reads one stream without parsing it: a chunk is taken for its tokens' arrival. */
async function measureStream(
  agent: Agent,
  options: { url: string; tokens: number; number: number },
  times: StreamTimes,
): Promise<void> {
  const startMs = performance.now();
  const answer = await request(options.url, {
    method: "POST",
    dispatcher: agent,
    headers: { "content-type": "application/json" },
    body: JSON.stringify({
      model: "reader-7b",
      prompt: `question ${options.number}`,
      max_tokens: options.tokens,
      stream: true,
      try_id: `direct-${options.number}`,
    }),
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  let lastMs = 0;
  let tail = "";
  for await (const bytes of answer.body) {
    const nowMs = performance.now();
    if (lastMs === 0) times.firstMs.push(nowMs - startMs);
    else times.gapsMs.push(nowMs - lastMs);
    lastMs = nowMs;
    tail = (bytes as Buffer).subarray(-16).toString("latin1");
  }
  if (!tail.includes("[DONE]")) {
    throw new Error(
      `stream ${options.number}: status ${answer.statusCode}, ends with ${tail}`,
    );
  }
}
