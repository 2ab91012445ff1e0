/**
 * Measures the goodput of policies while the request mix shifts. The same trace is replayed against
 * real daemons, once for each policy.
 *
 * @module
 */
import { Random, sleep } from "heatherarch-core";
import { EngineModel } from "heatherarch-policy";
import type { Planning, RoutingKind } from "heatherarch-settings";
import { type CallResult, TestClient } from "../test_client.ts";
import { Cluster } from "../cluster.ts";
import {
  buildDeployment,
  type Deployment,
  type DeploymentShape,
  SHAPES,
} from "../deployment.ts";
import { countClairvoyantGoodput } from "./clairvoyant_goodput.ts";
import { computeQuantiles, roundTo } from "./statistics.ts";
import {
  buildTracePrompt,
  type TokenCosts,
  type Trace,
  type TraceRequest,
} from "./trace.ts";

/** Deployments that the benchmark can use. */
export type MixDeployment = "alalay" | "bomnal";

/** One arm of the benchmark: a policy under test. */
interface Arm {
  readonly name: ArmName;
  readonly routing: RoutingKind;
  readonly planning: Planning["policy"];
}

/** Names of the policies. */
export type ArmName =
  | "staticRoundRobin"
  | "staticLeastOutstanding"
  | "greedy"
  | "ours";

const ARMS: readonly Arm[] = [
  { name: "staticRoundRobin", routing: "roundRobin", planning: "none" },
  {
    name: "staticLeastOutstanding",
    routing: "leastOutstanding",
    planning: "none",
  },
  { name: "greedy", routing: "leastOutstanding", planning: "greedy" },
  { name: "ours", routing: "prefixAffinity", planning: "horizon" },
];

/** Speed of the engines in this benchmark. */
export const MIX_SPEEDS = {
  stepMs: 20,
  decodeMsPerSequence: 0.15,
  prefillTokensPerSecond: 4000,
  kvMsPerToken: 0.004,
};
const ROLE_CHANGE_MS = 4000;

/** Computes the engine-seconds that a token costs at these speeds. */
export function computeTokenCosts(): TokenCosts {
  const model = new EngineModel(MIX_SPEEDS);
  return {
    prefill: 1 / model.predictPrefillCapacity("prefill"),
    decode: 1 / model.predictDecodeCapacity("decode"),
  };
}

/** Result of one policy. */
export interface ArmReport {
  readonly goodput: number;
  readonly goodputTokens: number;
  readonly offered: number;
  readonly roleChanges: number;
  readonly ttftP95Ms: number;
  readonly tokenGapP95Ms: number;
  readonly lookupP99Ms: number;
  readonly unloadedLookupP99Ms: number;
  readonly refused: number;
  readonly late: number;
  readonly broken: number;
  readonly wrong: number;
}

/** One second of a run, for the plot. */
export interface TimelinePoint {
  readonly second: number;
  readonly offered: number;
  readonly goodput: number;
  readonly prefillers: number;
  readonly decoders: number;
  readonly mixed: number;
}

/** Report of one trace. */
export interface MixReport {
  readonly trace: string;
  readonly deployment: MixDeployment;
  readonly arms: Partial<Record<ArmName, ArmReport>>;
  readonly clairvoyantGoodput: number;
  /** Goodput of our policy divided by that of the best other policy. */
  readonly ratioToBest: number;
  readonly ratioToClairvoyant: number;
  readonly roleChangesToGreedy: number;
  readonly lookupP99Ratio: number;
  readonly timelines: Partial<Record<ArmName, readonly TimelinePoint[]>>;
}

/** Options of {@linkcode runMixBench}. */
export interface MixOptions {
  readonly trace: Trace;
  readonly deployment: MixDeployment;
  readonly seed: number;
  readonly arms?: readonly ArmName[];
  readonly print?: (line: string) => void;
}

/** Replays a trace with every policy. */
export async function runMixBench(options: MixOptions): Promise<MixReport> {
  const arms: Partial<Record<ArmName, ArmReport>> = {};
  const timelines: Partial<Record<ArmName, readonly TimelinePoint[]>> = {};
  for (const arm of ARMS) {
    if (options.arms !== undefined && !options.arms.includes(arm.name)) {
      continue;
    }
    const run = await new ArmRun(arm, options).run();
    arms[arm.name] = run.report;
    timelines[arm.name] = run.timeline;
    options.print?.(
      `${options.trace.name} ${options.deployment} ${arm.name}: ${
        JSON.stringify(run.report)
      }`,
    );
  }
  const shape = SHAPES[options.deployment];
  const engines = shape.enginesPerZone * shape.availabilityZones.length;
  const clairvoyantGoodput = countClairvoyantGoodput(
    options.trace.requests,
    engines,
    computeTokenCosts(),
  );
  const otherGoodputs = ARMS.filter((arm) => arm.name !== "ours").map((arm) =>
    arms[arm.name]?.goodput ?? 0
  );
  const ours = arms.ours;
  const computeRatio = (a: number, b: number) =>
    b === 0 ? 0 : roundTo(a / b, 3);
  return {
    trace: options.trace.name,
    deployment: options.deployment,
    arms,
    clairvoyantGoodput,
    ratioToBest: computeRatio(ours?.goodput ?? 0, Math.max(...otherGoodputs)),
    ratioToClairvoyant: computeRatio(ours?.goodput ?? 0, clairvoyantGoodput),
    roleChangesToGreedy: computeRatio(
      ours?.roleChanges ?? 0,
      arms.greedy?.roleChanges ?? 0,
    ),
    lookupP99Ratio: computeRatio(
      ours?.lookupP99Ms ?? 0,
      ours?.unloadedLookupP99Ms ?? 0,
    ),
    timelines,
  };
}

interface FinishedRequest {
  readonly request: TraceRequest;
  readonly result: CallResult;
  readonly isWithinDeadline: boolean;
}

/** Runs the trace with one policy. */
class ArmRun {
  readonly #arm: Arm;
  readonly #options: MixOptions;
  readonly #finished: FinishedRequest[] = [];
  readonly #timeline: TimelinePoint[] = [];
  readonly #client = new TestClient();

  constructor(arm: Arm, options: MixOptions) {
    this.#arm = arm;
    this.#options = options;
  }

  async run(): Promise<
    { report: ArmReport; timeline: readonly TimelinePoint[] }
  > {
    const base: DeploymentShape = SHAPES[this.#options.deployment];
    const deployment = await buildDeployment({
      ...base,
      vmsPerZone: 1,
      planning: {
        ...base.planning,
        policy: this.#arm.planning,
        changeMs: ROLE_CHANGE_MS,
        intervalMs: 1000,
      },
      speeds: MIX_SPEEDS,
    });
    const cluster = new Cluster({
      deployment,
      standins: {
        speeds: { ...MIX_SPEEDS, changeMs: ROLE_CHANGE_MS },
        reportLagMs: this.#options.trace.reportLagMs ?? 200,
      },
      settings: {
        mesh: { sharedKey: "lab", heartbeatMs: 150, silenceMs: 2500 },
      },
      profiles: [
        {
          name: "default",
          routing: this.#arm.routing,
          kvTransferMinTokens: 256,
        },
        { name: "lookup", priority: "lookup", hedgeAfterMs: 30 },
      ],
    });
    try {
      await cluster.start();
      await sleep(1000);
      const unloadedLookupP99Ms = await this.#measureUnloaded(deployment);
      await this.#replayTrace(cluster);
      const roleChanges = await countRoleChanges(cluster);
      return {
        report: this.#summarize(roleChanges, unloadedLookupP99Ms),
        timeline: this.#timeline,
      };
    } finally {
      await this.#client.close();
      await cluster.stop();
    }
  }

  async #measureUnloaded(deployment: Deployment): Promise<number> {
    const latenciesMs: number[] = [];
    for (let i = 0; i < 200; i++) {
      const vm = deployment.vms[i % deployment.vms.length];
      const result = await this.#client.callService({
        url: `http://${vm.callers}`,
        service: SHAPES[this.#options.deployment].plainService,
        method: "GET",
        path: `/slots/${i}`,
      });
      latenciesMs.push(result.durationMs);
    }
    return computeQuantiles(latenciesMs.slice(20)).p99;
  }

  async #replayTrace(cluster: Cluster): Promise<void> {
    const { trace, seed } = this.#options;
    const random = new Random(seed);
    const startMs = performance.now();
    const pendingRequests: Promise<void>[] = [];
    const samplingTimer = setInterval(
      () => void this.#sampleRoles(cluster, startMs),
      1000,
    );
    let isWithdrawn = trace.withdrawAtMs === undefined;
    for (const [index, request] of trace.requests.entries()) {
      const waitMs = startMs + request.atMs - performance.now();
      if (waitMs > 1) await sleep(waitMs);
      if (!isWithdrawn && request.atMs >= (trace.withdrawAtMs ?? 0)) {
        isWithdrawn = true;
        void withdrawEngine(cluster);
      }
      const vm = random.drawItem(cluster.deployment.vms);
      pendingRequests.push(this.#send(`http://${vm.callers}`, request, index));
    }
    await Promise.all(pendingRequests);
    clearInterval(samplingTimer);
  }

  async #send(
    url: string,
    request: TraceRequest,
    index: number,
  ): Promise<void> {
    const { plainService, modelService } = SHAPES[this.#options.deployment];
    const { deadlineMs, profile } = request;
    const result = request.service === plainService
      ? await this.#client.callService({
        url,
        service: plainService,
        method: "GET",
        path: `/slots/${index}`,
        deadlineMs,
      })
      : await this.#client.generate({
        url,
        model: `${modelService}-7b`,
        prompt: buildTracePrompt(request, index),
        maxTokens: request.outputTokens,
        deadlineMs,
        profile,
      });
    const isWithinDeadline = result.outcome === "whole" &&
      result.durationMs <= deadlineMs;
    this.#finished.push({ request, result, isWithinDeadline });
  }

  async #sampleRoles(cluster: Cluster, startMs: number): Promise<void> {
    const ledger = await cluster.readLedger().catch(() => undefined);
    if (ledger === undefined) return;
    const second = Math.round((performance.now() - startMs) / 1000);
    const roles = Object.values(ledger.engines).map((engine) => engine.role);
    const count = (role: string) =>
      roles.filter((entry) => entry === role).length;
    this.#timeline.push({
      second,
      offered: 0,
      goodput: 0,
      prefillers: count("prefill"),
      decoders: count("decode"),
      mixed: count("mixed"),
    });
  }

  #summarize(roleChanges: number, unloadedLookupP99Ms: number): ArmReport {
    const generations = this.#finished.filter(({ request }) =>
      request.outputTokens > 0
    );
    const lookups = this.#finished.filter(({ request }) =>
      request.outputTokens === 0
    );
    const successful = generations.filter(({ isWithinDeadline }) =>
      isWithinDeadline
    );
    this.#fillTimeline(generations);
    const complete = generations.filter(({ result }) =>
      result.outcome === "whole"
    );
    const count = (...outcomes: string[]) =>
      generations.filter(({ result }) => outcomes.includes(result.outcome))
        .length;
    const p95 = (getValue: (result: CallResult) => number) =>
      complete.length === 0 ? 0 : roundTo(
        computeQuantiles(complete.map(({ result }) => getValue(result))).p95,
        1,
      );
    return {
      goodput: successful.length,
      goodputTokens: successful.reduce(
        (sum, { request }) => sum + request.outputTokens,
        0,
      ),
      offered: generations.length,
      roleChanges,
      ttftP95Ms: p95((result) => result.firstTokenMs),
      tokenGapP95Ms: p95((result) => result.tokenGapMs),
      lookupP99Ms: roundTo(
        computeQuantiles(lookups.map(({ result }) => result.durationMs)).p99,
        1,
      ),
      unloadedLookupP99Ms: roundTo(unloadedLookupP99Ms, 1),
      refused: count("refused"),
      late: complete.length - successful.length,
      broken: count("cut", "failed"),
      wrong: count("wrong"),
    };
  }

  /** Counts each generation request in the second in which it arrived. */
  #fillTimeline(generations: readonly FinishedRequest[]): void {
    for (const [index, point] of this.#timeline.entries()) {
      const inSecond = generations.filter(({ request }) =>
        Math.floor(request.atMs / 1000) === point.second - 1
      );
      const goodput = inSecond.filter(({ isWithinDeadline }) =>
        isWithinDeadline
      ).length;
      this.#timeline[index] = { ...point, offered: inSecond.length, goodput };
    }
  }
}

async function withdrawEngine(cluster: Cluster): Promise<void> {
  const target = cluster.deployment.fleet.targets[0].id;
  await cluster.publish(
    { kind: "directTarget", target, directive: "withdraw" },
    -1,
  );
}

async function countRoleChanges(cluster: Cluster): Promise<number> {
  const { vms, fleet } = cluster.deployment;
  let total = 0;
  for (const zone of fleet.availabilityZones) {
    const inZone = vms.filter((vm) => vm.availabilityZone === zone);
    const roleChanges = await Promise.all(
      inZone.map(async (vm) =>
        (await cluster.readStatus(vm)).lease.roleChanges
      ),
    );
    total += Math.max(...roleChanges);
  }
  return total;
}
