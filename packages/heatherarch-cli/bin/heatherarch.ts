#!/usr/bin/env node
/**
 * `heatherarch`: the command line for operators.
 *
 * @module
 */
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import {
  checkFleet,
  type CommandContext,
  deleteProfile,
  diffFleet,
  getProfile,
  listProfiles,
  publishDirective,
  publishFleet,
  putProfile,
  reviseProfile,
  showAudit,
  showConfig,
  showFleet,
  showStatus,
} from "../commands.ts";
import { CommandError, EXIT_CODES } from "../exit_codes.ts";
import { OperatorClient } from "../operator_client.ts";

const DEFAULT_URL = "http://127.0.0.1:9080";

interface GlobalArguments {
  readonly vm?: string[];
  readonly token?: string;
  readonly operator?: string;
  readonly json?: boolean;
  readonly wait?: boolean;
  readonly waitTimeoutMs?: number;
}

function buildContext(parsed: object): CommandContext {
  const args = parsed as GlobalArguments;
  const environmentUrls = process.env.HEATHERARCH_VM?.split(",");
  const client = new OperatorClient({
    urls: args.vm ?? environmentUrls ?? [DEFAULT_URL],
    token: args.token ?? process.env.HEATHERARCH_TOKEN,
    operator: args.operator ?? process.env.USER,
  });
  return {
    client,
    json: args.json ?? false,
    wait: args.wait ?? false,
    waitTimeoutMs: args.waitTimeoutMs ?? 30_000,
    print: (line) => console.log(line),
  };
}

const REQUIRED_STRING = { type: "string", demandOption: true } as const;
const BASE_REVISION = {
  type: "number",
  describe: "revision on which the change is based",
} as const;

const parser = yargs(hideBin(process.argv))
  .scriptName("heatherarch")
  .option("vm", {
    type: "string",
    array: true,
    describe: "URL of an operator port (repeatable); HEATHERARCH_VM",
  })
  .option("token", {
    type: "string",
    describe: "operator token; HEATHERARCH_TOKEN",
  })
  .option("operator", {
    type: "string",
    describe: "author in the audit log if the port needs no token",
  })
  .option("json", { type: "boolean", describe: "print JSON" })
  .option("wait", {
    type: "boolean",
    describe: "wait until the change is in force everywhere",
  })
  .option("wait-timeout-ms", { type: "number", default: 30_000 })
  .command("config", "manage the fleet configuration", (config) =>
    config
      .command(
        "publish <file>",
        "publish a fleet configuration",
        (y) =>
          y.positional("file", REQUIRED_STRING).option("base", BASE_REVISION),
        (args) => publishFleet(buildContext(args), args.file, args.base),
      )
      .command("check <file>", "check a file without publishing it", (y) =>
        y.positional("file", REQUIRED_STRING), (args) =>
        checkFleet(buildContext(args), args.file))
      .command(
        "diff <file>",
        "compare a file with the configuration in force",
        (y) =>
          y.positional("file", REQUIRED_STRING),
        (args) =>
          diffFleet(buildContext(args), args.file),
      )
      .command("show", "print the configuration in force", {}, (args) =>
        showConfig(buildContext(args)))
      .demandCommand(1))
  .command("profile", "manage profiles", (profile) =>
    profile
      .command("list", "list profiles", {}, (args) =>
        listProfiles(buildContext(args)))
      .command("get <name>", "print a profile", (y) =>
        y.positional("name", REQUIRED_STRING), (args) =>
        getProfile(buildContext(args), args.name))
      .command(
        "put <file>",
        "create a profile, or replace revision --base",
        (y) =>
          y.positional("file", REQUIRED_STRING).option("base", BASE_REVISION),
        (args) =>
          putProfile(buildContext(args), args.file, args.base),
      )
      .command(
        "revise <name> <assignments..>",
        "change fields: KEY=VALUE…",
        (y) =>
          y.positional("name", REQUIRED_STRING)
            .positional("assignments", {
              type: "string",
              array: true,
              demandOption: true,
            })
            .option("base", BASE_REVISION),
        (args) =>
          reviseProfile(buildContext(args), args.name, {
            assignments: args.assignments,
            base: args.base,
          }),
      )
      .command("delete <name>", "delete a profile", (y) =>
        y.positional("name", REQUIRED_STRING), (args) =>
        deleteProfile(buildContext(args), args.name))
      .demandCommand(1))
  .command(
    "drain <target>",
    "send no new requests to a target",
    (y) => y.positional("target", REQUIRED_STRING),
    (args) =>
      publishDirective(buildContext(args), "drain", { target: args.target }),
  )
  .command(
    "withdraw <target>",
    "withdraw a target from service",
    (y) => y.positional("target", REQUIRED_STRING),
    (args) =>
      publishDirective(buildContext(args), "withdraw", { target: args.target }),
  )
  .command(
    "restore <target>",
    "put a target back in service",
    (y) => y.positional("target", REQUIRED_STRING),
    (args) =>
      publishDirective(buildContext(args), "restore", { target: args.target }),
  )
  .command(
    "replace <target> <file>",
    "drain a target and add the one in FILE",
    (y) =>
      y.positional("target", REQUIRED_STRING).positional(
        "file",
        REQUIRED_STRING,
      ),
    (args) =>
      publishDirective(buildContext(args), "replace", {
        target: args.target,
        replacementFile: args.file,
      }),
  )
  .command(
    "status",
    "show VMs, availability zones, targets, the lease and staleness",
    {},
    (args) => showStatus(buildContext(args)),
  )
  .command(
    "fleet",
    "show client accounts and duties; --vm is the metrics port of a VM that forwards calls",
    {},
    (args) => showFleet(buildContext(args)),
  )
  .command(
    "audit",
    "list changes with author, time and verdict",
    (y) => y.option("limit", { type: "number", default: 50 }),
    (args) => showAudit(buildContext(args), args.limit),
  )
  .demandCommand(1)
  .strict()
  .epilogue(
    "exit codes: " +
      Object.entries(EXIT_CODES).map(([name, code]) => `${code} ${name}`).join(
        ", ",
      ),
  )
  .fail((message, error) => {
    const isCommandError = error instanceof CommandError;
    console.error(isCommandError ? error.message : message ?? String(error));
    process.exit(
      isCommandError
        ? error.exitCode
        : error
        ? EXIT_CODES.failed
        : EXIT_CODES.badInput,
    );
  });

await parser.parseAsync();
