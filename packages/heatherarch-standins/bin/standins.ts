/**
 * Runs the stand-ins of a deployment. The first argument is the path of a JSON file with the
 * fields of {@linkcode StandinSetOptions} and `ports`.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { StandinSet, type StandinSetOptions } from "../mod.ts";

interface StandinFile extends StandinSetOptions {
  readonly ports: { readonly platform: number; readonly control: number };
}

const file = JSON.parse(readFileSync(process.argv[2], "utf8")) as StandinFile;
const standins = new StandinSet(file);
await standins.start(file.ports);
console.log(JSON.stringify({ ready: true }));
process.on("SIGTERM", () => process.exit(0));
