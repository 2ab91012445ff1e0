/**
 * `npm run bench -- NAME`: runs a benchmark.
 *
 * @module
 */
import {
  measureRecordCost,
  runStreamBench,
} from "../bench/stream_simulation.ts";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { mkdirSync, writeFileSync } from "node:fs";
import {
  type ArmName,
  computeTokenCosts,
  type MixDeployment,
  type MixReport,
  runMixBench,
} from "../bench/mix_bench.ts";
import { drawMixPlot } from "../bench/plot.ts";
import {
  buildTrace,
  readTraceFile,
  type Trace,
  TRACE_NAMES,
  type TraceName,
} from "../bench/trace.ts";
import { SHAPES } from "../deployment.ts";
import { runClaimsBench } from "../bench/claims_bench.ts";
import { runEventBench } from "../bench/event_bench.ts";
import { runControlBench } from "../bench/control_bench.ts";
import {
  HARD_LOAD_DECISIONS,
  type HardLoadDecision,
  runHardLoadBench,
} from "../bench/hard_load/hard_load_bench.ts";
import { runPlacementBench } from "../bench/placement_bench.ts";
import { measureOrderWindow } from "../bench/order_window.ts";
import {
  measureCheckCosts,
  runRateLimitBench,
} from "../bench/rate_limit_bench.ts";
import {
  measureHandoverCost,
  runHandoverBench,
} from "../bench/handover_bench.ts";
import { runRetryBudgetBench } from "../bench/retry_budget_bench.ts";
import { runShutdownBench } from "../bench/shutdown_bench.ts";
import { runEndBench } from "../bench/end_bench.ts";
import { runPathBench } from "../bench/path_bench.ts";

await yargs(hideBin(process.argv))
  .scriptName("npm run bench --")
  .option("json", {
    type: "boolean",
    default: false,
    describe: "print one JSON report on the last line",
  })
  .command(
    "path",
    "overhead of the daemon on the request path",
    {},
    async (args) => {
      printReport(await runPathBench(), args.json);
    },
  )
  .command(
    "control",
    "cost of the control work per peer, target and change",
    {},
    async (args) => {
      printReport(
        await runControlBench((line) => console.log(line)),
        args.json,
      );
    },
  )
  .command(
    "window",
    "time from the last check of a lease to the written order",
    {},
    async (args) => {
      printReport(await measureOrderWindow(), args.json);
    },
  )
  .command(
    "claims",
    "claims per second and appends per second",
    {},
    async (args) => {
      const reports = await runClaimsBench();
      for (const report of reports) console.log(JSON.stringify(report));
      printReport({ reports }, args.json);
    },
  )
  .command(
    "events",
    "bytes per second through the relay of streams that can be resumed",
    {},
    async (args) => {
      const reports = await runEventBench();
      for (const report of reports) console.log(JSON.stringify(report));
      printReport({ reports }, args.json);
    },
  )
  .command(
    "decide",
    "strategies for placing prompts, and designs for hard load, in fleets of 6 to 870 VMs",
    (y) =>
      y.option("seed", { type: "number", default: 1 })
        .option("seeds", { type: "number", default: 3 })
        .option("seconds", { type: "number", default: 9 })
        .option("burst", {
          type: "number",
          default: 1.5,
          describe: "load factor in the middle third of the time",
        })
        .option("what", {
          choices: ["prompts", ...HARD_LOAD_DECISIONS] as const,
          default: "prompts" as const,
          describe: "decision whose designs are compared",
        })
        .option("vms", {
          type: "number",
          array: true,
          default: [9, 88],
          describe: "fleet sizes of load, shares and returns: 9, 88, 870",
        })
        .option("design", {
          type: "string",
          describe:
            "only designs of load, shares or returns with this in their names",
        }),
    (args) => {
      const print = args.json ? () => {} : console.log;
      const what = args.what as "prompts" | HardLoadDecision;
      const rows = what === "prompts"
        ? runPlacementBench({ ...args, print })
        : runHardLoadBench({ ...args, what, print });
      if (args.json) printReport({ rows }, true);
    },
  )
  .command(
    "limits",
    "ways to share the rate limits of targets, in fleets of 9 to 870 VMs",
    (y) =>
      y.option("seed", { type: "number", default: 1 })
        .option("seeds", { type: "number", default: 3 }),
    (args) => {
      const print = args.json ? () => {} : console.log;
      const rows = runRateLimitBench({ ...args, print });
      const costs = measureCheckCosts(print);
      if (args.json) printReport({ rows, costs }, true);
    },
  )
  .command(
    "retries",
    "ways to split the retry budget over the VMs of fleets of 9 to 870 VMs",
    (y) => y.option("seed", { type: "number", default: 1 }),
    (args) => {
      const print = args.json ? () => {} : console.log;
      const rows = runRetryBudgetBench({ ...args, print });
      if (args.json) printReport({ rows }, true);
    },
  )
  .command(
    "handover",
    "ways to serve calls at VMs without paths to targets, in fleets of 9 to 870 VMs",
    (y) => y.option("seed", { type: "number", default: 1 }),
    async (args) => {
      const print = args.json ? () => {} : console.log;
      const rows = runHandoverBench({ ...args, print });
      const cost = await measureHandoverCost(print);
      if (args.json) printReport({ rows, cost }, true);
      process.exit(0);
    },
  )
  .command(
    "streams",
    "ways to know which software version began a stream, in fleets of 9 to 870 VMs",
    (y) => y.option("seed", { type: "number", default: 1 }),
    (args) => {
      const print = args.json ? () => {} : console.log;
      const rows = runStreamBench({ ...args, print });
      const cost = measureRecordCost(print);
      if (args.json) printReport({ rows, cost }, true);
    },
  )
  .command(
    "ends",
    "cost of confirming responses that end with their connections",
    (y) => y.option("seed", { type: "number", default: 1 }),
    async (args) => {
      const print = args.json ? () => {} : console.log;
      const rows = await runEndBench({ ...args, print });
      if (args.json) printReport({ rows }, true);
    },
  )
  .command(
    "shutdown",
    "rules for which calls a VM that shuts down still serves",
    (y) =>
      y.option("seed", { type: "number", default: 1 })
        .option("shutdowns", { type: "number", default: 300 })
        .option("by-silence", {
          type: "boolean",
          default: false,
          describe: "print each case of silent targets by itself",
        }),
    (args) => {
      const print = args.json ? () => {} : console.log;
      const rows = runShutdownBench({ ...args, print });
      if (args.json) printReport({ rows }, true);
    },
  )
  .command(
    "mix",
    "goodput of policies while the request mix shifts",
    (y) =>
      y.option("trace", {
        type: "string",
        array: true,
        describe: `trace file, or ${TRACE_NAMES.join(", ")}`,
      })
        .option("seed", { type: "number", default: 1 })
        .option("seconds", { type: "number", default: 60 })
        .option("load", {
          type: "number",
          default: 10,
          describe: "engine-seconds of work per second",
        })
        .option("deployment", {
          choices: ["alalay", "bomnal"] as const,
          default: "alalay" as const,
        })
        .option("arms", {
          type: "string",
          array: true,
          describe: "policies to run; default: all",
        }),
    async (args) => {
      const reports: MixReport[] = [];
      for (const name of args.trace ?? TRACE_NAMES) {
        const trace = loadTrace(name, args);
        const report = await runMixBench({
          trace,
          deployment: args.deployment,
          seed: args.seed,
          arms: args.arms as ArmName[] | undefined,
          print: (line) => console.log(line),
        });
        writePlot(report, args.seed);
        const { timelines: _timelines, ...summary } = report;
        reports.push(summary as MixReport);
        console.log(JSON.stringify(summary));
      }
      printReport({ reports }, args.json);
    },
  )
  .demandCommand(1)
  .strict()
  .parseAsync();

function printReport(report: unknown, json: unknown): void {
  console.log(json ? JSON.stringify(report) : report);
}

function loadTrace(
  name: string,
  args: {
    seed: number;
    seconds: number;
    load: number;
    deployment: MixDeployment;
  },
): Trace {
  if (!(TRACE_NAMES as readonly string[]).includes(name)) {
    return readTraceFile(name);
  }
  const { modelService: model, plainService: plain } = SHAPES[args.deployment];
  const { seed, seconds, load } = args;
  const options = { seed, seconds, load, services: { model, plain } };
  return buildTrace(name as TraceName, options, computeTokenCosts());
}

function writePlot(report: MixReport, seed: number): void {
  mkdirSync("out", { recursive: true });
  const name = report.trace.replace(/[^a-z0-9-]/gi, "_");
  writeFileSync(
    `out/mix-${report.deployment}-${name}-${seed}.svg`,
    drawMixPlot(report),
  );
}
