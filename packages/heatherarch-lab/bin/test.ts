/**
 * `npm test`: runs every `*_test.js` of the workspace. Tests listed in KNOWN-RED.txt are run
 * and printed, and do not decide the verdict.
 *
 * @module
 */
import { existsSync, globSync, readFileSync } from "../find_files.ts";
import { run } from "node:test";
import { spec } from "node:test/reporters";

const filter = process.argv[2] ?? "";
const files = globSync("packages", /dist\/.*_test\.js$/).filter((file) =>
  file.includes(filter)
);
const known = existsSync("KNOWN-RED.txt")
  ? readFileSync("KNOWN-RED.txt").split("\n").filter((line) =>
    line && !line.startsWith("#")
  )
  : [];
const knownNames = known.map((line) => line.split("|")[0].trim());
let passed = 0;
let failed = 0;
let red = 0;

const stream = run({ files, concurrency: 4, timeout: 180_000 });
stream.on("test:pass", (event) => {
  if (event.details.type !== "suite" && !event.name.endsWith(".js")) passed++;
});
stream.on("test:fail", (event) => {
  if (event.details.type === "suite" || event.name.endsWith(".js")) {
    if (event.name.endsWith(".js") && !isSubtestFailure(event.details.error)) {
      failed++;
    }
    return;
  }
  if (knownNames.includes(event.name)) red++;
  else failed++;
});
stream.compose(new spec()).pipe(process.stdout);
stream.on("end", () => {
  setTimeout(() => {
    for (const line of known) console.log(`known red: ${line}`);
    console.log(`known red that failed: ${red}`);
    console.log(`${passed} passed, ${failed} failed`);
    process.exit(failed === 0 && passed > 0 ? 0 : 1);
  }, 200);
});

/** A file fails when one of its tests does; that test has been counted. */
function isSubtestFailure(error: unknown): boolean {
  const { failureType } = error as { failureType?: string };
  return failureType === "subtestsFailed" ||
    failureType === "testCodeFailure" && red + failed > 0;
}
