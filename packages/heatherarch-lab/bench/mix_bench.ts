/**
 * Goodput of policies through a shifting mix: the same trace through real daemons, once for
 * each policy.
 *
 * @module
 */
import { Random, sleep } from "heatherarch-core";
import { EngineModel } from "heatherarch-policy";
import type { Planning, RoutingKind } from "heatherarch-settings";
import { Caller, type CallResult } from "../caller.ts";
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

/** Deployments that the benchmark runs as. */
export type MixDeployment = "alalay" | "bomnal";

/** A policy under test. */
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

/** Speeds of the engines in this benchmark. */
export const MIX_SPEEDS = {
  stepMs: 20,
  decodeMsPerSequence: 0.15,
  prefillTokensPerSecond: 4000,
  kvMsPerToken: 0.004,
};
const ROLE_CHANGE_MS = 4000;

/** Engine-seconds that a token costs at these speeds. */
export function computeTokenCosts(): TokenCosts {
  const model = new EngineModel(MIX_SPEEDS);
  return {
    prefill: 1 / model.predictPrefillCapacity("prefill"),
    decode: 1 / model.predictDecodeCapacity("decode"),
  };
}

/** What one policy did with the trace. */
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
  /** Ours over the best of the others. */
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

/** Runs a trace through every policy. */
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
  const others = ARMS.filter((arm) => arm.name !== "ours").map((arm) =>
    arms[arm.name]?.goodput ?? 0
  );
  const ours = arms.ours;
  const ratio = (a: number, b: number) => b === 0 ? 0 : roundTo(a / b, 3);
  return {
    trace: options.trace.name,
    deployment: options.deployment,
    arms,
    clairvoyantGoodput,
    ratioToBest: ratio(ours?.goodput ?? 0, Math.max(...others)),
    ratioToClairvoyant: ratio(ours?.goodput ?? 0, clairvoyantGoodput),
    roleChangesToGreedy: ratio(
      ours?.roleChanges ?? 0,
      arms.greedy?.roleChanges ?? 0,
    ),
    lookupP99Ratio: ratio(
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

/** One policy's run. */
class ArmRun {
  readonly #arm: Arm;
  readonly #options: MixOptions;
  readonly #finished: FinishedRequest[] = [];
  readonly #timeline: TimelinePoint[] = [];
  readonly #caller = new Caller();

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
      const unloaded = await this.#measureUnloaded(deployment);
      await this.#replayTrace(cluster);
      const roleChanges = await countRoleChanges(cluster);
      return {
        report: this.#summarize(roleChanges, unloaded),
        timeline: this.#timeline,
      };
    } finally {
      await this.#caller.close();
      await cluster.stop();
    }
  }

  async #measureUnloaded(deployment: Deployment): Promise<number> {
    const times: number[] = [];
    for (let i = 0; i < 200; i++) {
      const vm = deployment.vms[i % deployment.vms.length];
      const result = await this.#caller.callService({
        url: `http://${vm.callers}`,
        service: SHAPES[this.#options.deployment].plainService,
        method: "GET",
        path: `/slots/${i}`,
      });
      times.push(result.durationMs);
    }
    return computeQuantiles(times.slice(20)).p99;
  }

  async #replayTrace(cluster: Cluster): Promise<void> {
    const { trace, seed } = this.#options;
    const random = new Random(seed);
    const startMs = performance.now();
    const sent: Promise<void>[] = [];
    const sampling = setInterval(
      () => void this.#sampleRoles(cluster, startMs),
      1000,
    );
    let withdrawn = trace.withdrawAtMs === undefined;
    for (const [number, request] of trace.requests.entries()) {
      const waitMs = startMs + request.atMs - performance.now();
      if (waitMs > 1) await sleep(waitMs);
      if (!withdrawn && request.atMs >= (trace.withdrawAtMs ?? 0)) {
        withdrawn = true;
        void withdrawEngine(cluster);
      }
      const vm = random.drawItem(cluster.deployment.vms);
      sent.push(this.#send(`http://${vm.callers}`, request, number));
    }
    await Promise.all(sent);
    clearInterval(sampling);
  }

  async #send(
    url: string,
    request: TraceRequest,
    number: number,
  ): Promise<void> {
    const { plainService, modelService } = SHAPES[this.#options.deployment];
    const { deadlineMs, profile } = request;
    const result = request.service === plainService
      ? await this.#caller.callService({
        url,
        service: plainService,
        method: "GET",
        path: `/slots/${number}`,
        deadlineMs,
      })
      : await this.#caller.generate({
        url,
        model: `${modelService}-7b`,
        prompt: buildTracePrompt(request, number),
        maxTokens: request.outputTokens,
        deadlineMs,
        profile,
      });
    const inTime = result.outcome === "whole" &&
      result.durationMs <= deadlineMs;
    this.#finished.push({ request, result, isWithinDeadline: inTime });
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
    const readings = this.#finished.filter(({ request }) =>
      request.outputTokens > 0
    );
    const lookups = this.#finished.filter(({ request }) =>
      request.outputTokens === 0
    );
    const good = readings.filter(({ isWithinDeadline: inTime }) => inTime);
    this.#fillTimeline(readings);
    const whole = readings.filter(({ result }) => result.outcome === "whole");
    const count = (...outcomes: string[]) =>
      readings.filter(({ result }) => outcomes.includes(result.outcome)).length;
    const p95 = (read: (result: CallResult) => number) =>
      whole.length === 0 ? 0 : roundTo(
        computeQuantiles(whole.map(({ result }) => read(result))).p95,
        1,
      );
    return {
      goodput: good.length,
      goodputTokens: good.reduce(
        (sum, { request }) => sum + request.outputTokens,
        0,
      ),
      offered: readings.length,
      roleChanges,
      ttftP95Ms: p95((result) => result.firstTokenMs),
      tokenGapP95Ms: p95((result) => result.tokenGapMs),
      lookupP99Ms: roundTo(
        computeQuantiles(lookups.map(({ result }) => result.durationMs)).p99,
        1,
      ),
      unloadedLookupP99Ms: roundTo(unloadedLookupP99Ms, 1),
      refused: count("refused"),
      late: whole.length - good.length,
      broken: count("cut", "failed"),
      wrong: count("wrong"),
    };
  }

  /** Puts each reading into the second in which it arrived. */
  #fillTimeline(readings: readonly FinishedRequest[]): void {
    for (const [at, point] of this.#timeline.entries()) {
      const inSecond = readings.filter(({ request }) =>
        Math.floor(request.atMs / 1000) === point.second - 1
      );
      const goodput = inSecond.filter(({ isWithinDeadline: inTime }) =>
        inTime
      ).length;
      this.#timeline[at] = { ...point, offered: inSecond.length, goodput };
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
  let count = 0;
  for (const zone of fleet.availabilityZones) {
    const inZone = vms.filter((vm) => vm.availabilityZone === zone);
    const seen = await Promise.all(
      inZone.map(async (vm) =>
        (await cluster.readStatus(vm)).lease.roleChanges
      ),
    );
    count += Math.max(...seen);
  }
  return count;
}
