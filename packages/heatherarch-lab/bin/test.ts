/**
 * `npm test`: runs every `*_test.js` of the workspace. Tests listed in KNOWN-RED.txt are run
 * and printed, and do not decide the verdict.
 *
 * @module
 */
import { existsSync, findFiles, readTextFile } from "../find_files.ts";
import { basename } from "node:path";
import { run } from "node:test";
import { spec } from "node:test/reporters";

/** Built test files. */
const TEST_FILE = /dist\/.*_test\.js$/;

const filter = process.argv[2] ?? "";
const files = [
  ...findFiles("packages", TEST_FILE),
  ...findFiles("platform", TEST_FILE),
].filter((file) => file.includes(filter));
const known = existsSync("KNOWN-RED.txt")
  ? readTextFile("KNOWN-RED.txt").split("\n").filter((line) =>
    line && !line.startsWith("#")
  )
  : [];
const knownNames = known.map((line) => line.split("|")[0].trim());
let passed = 0;
let failed = 0;
let red = 0;
const filesWithFailures = new Set<string>();

const stream = run({ files, concurrency: 4, timeout: 180_000 });
stream.on("test:pass", (event) => {
  if (event.details.type !== "suite" && !event.name.endsWith(".js")) passed++;
});
stream.on("test:fail", (event) => {
  if (event.details.type === "suite") return;
  if (!event.name.endsWith(".js")) {
    filesWithFailures.add(basename(event.file ?? ""));
    if (knownNames.includes(event.name)) red++;
    else failed++;
    return;
  }
  // A file fails with its tests, which have been counted; one that failed without any crashed.
  if (!filesWithFailures.has(basename(event.name))) failed++;
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
