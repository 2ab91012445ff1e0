/**
 * `npm run prove`: runs the proofs under failure.
 *
 * @module
 */
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { runChaos } from "../chaos/chaos_run.ts";
import { measureRecovery } from "../chaos/recovery.ts";
import { runMutations } from "../mutations.ts";

const args = await yargs(hideBin(process.argv))
  .scriptName("npm run prove --")
  .option("mutations", {
    type: "boolean",
    default: false,
    describe: "disable each guard in turn",
  })
  .option("seed", { type: "number", default: 1 })
  .option("seconds", {
    type: "number",
    default: 60,
    describe: "duration of the randomized run",
  })
  .option("recovery", {
    type: "boolean",
    default: false,
    describe: "measure recovery times",
  })
  .option("json", { type: "boolean", default: false })
  .strict()
  .parseAsync();

if (args.mutations) {
  const { results, passed } = await runMutations(
    args.seed,
    (line) => console.log(line),
  );
  if (args.json) console.log(JSON.stringify(results));
  process.exit(passed ? 0 : 1);
}

if (args.recovery) {
  await measureRecovery((line) => console.log(line));
  process.exit(0);
}

const report = await runChaos({
  seed: args.seed,
  seconds: args.seconds,
  print: (line) => console.log(line),
});
console.log(args.json ? JSON.stringify(report) : report);
const hasViolations = Object.values(report.violations).some((count) =>
  count > 0
);
process.exit(hasViolations ? 1 : 0);
