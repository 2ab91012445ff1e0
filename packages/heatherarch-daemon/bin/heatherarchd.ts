#!/usr/bin/env node
/**
 * `heatherarchd`: the process that runs on every entry VM.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import {
  formatIssues,
  type InputIssue,
  type ProcessSettings,
  readProcessSettings,
} from "heatherarch-settings";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { EntryVm } from "../entry_vm.ts";
import { createLogger } from "../logger.ts";

const EXIT_INVALID_SETTINGS = 2;

// Settings are read at a start only. Without a listener, the signal would end the process.
process.on("SIGHUP", () => undefined);

const args = await yargs(hideBin(process.argv))
  .scriptName("heatherarchd")
  .usage("$0 --settings FILE [--check]")
  .option("settings", {
    type: "string",
    demandOption: true,
    describe: "settings in TOML",
  })
  .option("check", {
    type: "boolean",
    default: false,
    describe: "check the settings and exit",
  })
  .strict()
  .parseAsync();

const settings = readSettings(args.settings);
if (args.check) {
  console.log(`${args.settings}: ok`);
  process.exit(0);
}

const logger = createLogger({ level: settings.logs.level, vm: settings.vm.id });
const vm = new EntryVm({ settings, logger });
process.on("SIGTERM", () => void vm.stop().then(() => process.exit(0)));
process.on("SIGINT", () => void vm.stop().then(() => process.exit(0)));
process.on("unhandledRejection", (error) => {
  logger.error("unhandled rejection", {
    error: String((error as Error)?.stack ?? error),
  });
});
await vm.start();

function readSettings(file: string): ProcessSettings {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    console.error(`${file}: ${(error as Error).message}`);
    process.exit(EXIT_INVALID_SETTINGS);
  }
  const parsed = readProcessSettings(text);
  if (parsed.ok) return parsed.val as ProcessSettings;
  console.error(`${file}:\n${formatIssues(parsed.val as InputIssue[])}`);
  process.exit(EXIT_INVALID_SETTINGS);
}
