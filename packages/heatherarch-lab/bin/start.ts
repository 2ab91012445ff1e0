/**
 * `npm start`: runs the product with embedded stand-ins.
 *
 * @module
 */
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { Cluster } from "../cluster.ts";
import { buildDeployment, type ShapeName, SHAPES } from "../deployment.ts";
import { runMixedLoad } from "../mixed_load.ts";
import { summarizeLoad } from "../summary.ts";

const args = await yargs(hideBin(process.argv))
  .scriptName("npm start --")
  .option("once", {
    type: "boolean",
    default: false,
    describe: "send a short load and stop",
  })
  .option("json", {
    type: "boolean",
    default: false,
    describe: "print one JSON summary on the last line",
  })
  .option("shape", {
    choices: Object.keys(SHAPES) as ShapeName[],
    default: "small" as ShapeName,
  })
  .option("requests", { type: "number", default: 200 })
  .option("seed", { type: "number", default: 1 })
  .strict()
  .parseAsync();

const deployment = await buildDeployment(SHAPES[args.shape]);
const cluster = new Cluster({ deployment });
await cluster.start();
if (args.once) process.exit(await runOnce());
printHints();
process.on("SIGINT", () => void cluster.stop().then(() => process.exit(0)));
process.on("SIGTERM", () => void cluster.stop().then(() => process.exit(0)));

async function runOnce(): Promise<number> {
  const { requests, seed } = args;
  const records = await runMixedLoad({
    deployment,
    requests,
    seed,
    concurrency: 24,
  });
  const summary = summarizeLoad(records, await cluster.readLedger());
  const status = await cluster.readStatus(deployment.vms[0]);
  await cluster.stop();
  const { wrongAnswers, cutAnswers, keysRunTwice, wholeAnswers } = summary;
  const isCorrect =
    wrongAnswers + cutAnswers + keysRunTwice + summary.failed === 0;
  const report = { ...summary, roleChanges: status.lease.roleChanges };
  console.log(args.json ? JSON.stringify(report) : report);
  return isCorrect && wholeAnswers > 0 ? 0 : 1;
}

function printHints(): void {
  const { vms, fleet } = deployment;
  const [vm] = vms;
  const model = fleet.services.find((service) => service.kind === "model");
  const plain = fleet.services.find((service) => service.kind === "plain");
  const modelName = model?.kind === "model" ? model.models[0] : "";
  const key = `${Date.now()}-first`;
  console.log(
    `heatherarch serves at ${
      vms.map((entry) => `http://${entry.callers}`).join(" ")
    }`,
  );
  console.log(
    `operators' port: http://${vm.operators}   (heatherarch --vm http://${vm.operators} status)`,
  );
  console.log("try:");
  console.log(
    `  curl -N http://${vm.callers}/v1/chat/completions -H 'content-type: application/json' ` +
      `-d '{"model":"${modelName}","stream":true,"max_tokens":16,` +
      `"messages":[{"role":"user","content":"fare rules?"}]}'`,
  );
  console.log(
    `  curl http://${vm.callers}/services/${plain?.name}/bookings -H 'Idempotency-Key: ${key}' ` +
      `-d '{"passenger":"Reyes"}'`,
  );
  console.log("Ctrl-C stops everything.");
}
