/**
 * Commands of the `heatherarch` command line.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { isDeepStrictEqual } from "node:util";
import {
  formatIssues,
  type InputIssue,
  parseFleet,
  parseProfile,
  parseToml,
} from "heatherarch-settings";
import { CommandError } from "./exit_codes.ts";
import type {
  ChangeResponse,
  FleetStatusResponse,
  OperatorClient,
  StatusResponse,
} from "./operator_client.ts";

/** Client, output format and wait options of a command. */
export interface CommandContext {
  readonly client: OperatorClient;
  readonly json: boolean;
  /** Whether to wait until the change is in force on every live VM. */
  readonly wait: boolean;
  readonly waitTimeoutMs: number;
  readonly print: (line: string) => void;
}

/** Reads a `.json` file as JSON and any other file as TOML. */
export function readDocument(file: string): unknown {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    throw new CommandError("badInput", (error as Error).message);
  }
  if (file.endsWith(".json")) {
    try {
      return JSON.parse(text);
    } catch (error) {
      throw new CommandError(
        "badInput",
        `${file}: ${(error as Error).message}`,
      );
    }
  }
  const parsed = parseToml(text);
  if (!parsed.ok) throw buildInputError(file, parsed.val as InputIssue[]);
  return parsed.val;
}

/** Reads and validates a fleet configuration, and fills in its defaults. */
export function readFleetFile(file: string): unknown {
  const fleet = parseFleet(readDocument(file));
  if (!fleet.ok) throw buildInputError(file, fleet.val as InputIssue[]);
  return fleet.val;
}

/** `config publish FILE` */
export async function publishFleet(
  context: CommandContext,
  file: string,
  base: number | undefined,
): Promise<void> {
  const fleet = readFleetFile(file);
  const baseRevision = base ??
    (await context.client.readConfig()).fleetRevision;
  const response = await context.client.publish(
    { kind: "publishFleet", fleet },
    baseRevision,
  );
  await reportChange(context, response, "fleet");
}

/** `config check FILE` */
export function checkFleet(context: CommandContext, file: string): void {
  readFleetFile(file);
  context.print(`${file}: ok`);
}

/** `config show` */
export async function showConfig(context: CommandContext): Promise<void> {
  context.print(JSON.stringify(await context.client.readConfig(), null, 2));
}

/** `config diff FILE` */
export async function diffFleet(
  context: CommandContext,
  file: string,
): Promise<void> {
  const { fleet, fleetRevision } = await context.client.readConfig();
  const lines = listDifferences(fleet, readFleetFile(file), "");
  if (context.json) {
    context.print(JSON.stringify({ fleetRevision, differences: lines }));
  } else for (const line of lines) context.print(line);
  if (lines.length === 0 && !context.json) context.print("no difference");
}

/** `profile list` */
export async function listProfiles(context: CommandContext): Promise<void> {
  const { profiles } = await context.client.readConfig();
  if (context.json) {
    context.print(JSON.stringify(profiles));
    return;
  }
  for (const [name, { revision }] of Object.entries(profiles)) {
    context.print(`${name}\trevision ${revision}`);
  }
}

/** `profile get NAME` */
export async function getProfile(
  context: CommandContext,
  name: string,
): Promise<void> {
  const { profiles } = await context.client.readConfig();
  const entry = profiles[name];
  if (entry === undefined) {
    throw new CommandError("badInput", `no profile is named ${name}`);
  }
  context.print(JSON.stringify(entry, null, 2));
}

/** `profile put FILE`: creates a profile, or replaces its revision `base`. */
export async function putProfile(
  context: CommandContext,
  file: string,
  base: number | undefined,
): Promise<void> {
  const profile = parseProfile(readDocument(file));
  if (!profile.ok) throw buildInputError(file, profile.val as InputIssue[]);
  const { name } = profile.val as { name: string };
  const baseRevision = base ?? -1;
  const response = await context.client.publish({
    kind: "putProfile",
    profile: profile.val,
  }, baseRevision);
  await reportChange(context, response, `profile ${name}`);
}

/** `profile revise NAME KEY=VALUE…`: changes fields of the current revision. */
export async function reviseProfile(
  context: CommandContext,
  name: string,
  change: { assignments: readonly string[]; base: number | undefined },
): Promise<void> {
  const { profiles } = await context.client.readConfig();
  const entry = profiles[name];
  if (entry === undefined) {
    throw new CommandError("badInput", `no profile is named ${name}`);
  }
  const revised = { ...entry.profile };
  for (const assignment of change.assignments) {
    const [key, value] = parseAssignment(assignment);
    revised[key] = value;
  }
  const profile = parseProfile(revised);
  if (!profile.ok) throw buildInputError(name, profile.val as InputIssue[]);
  const baseRevision = change.base ?? entry.revision;
  const response = await context.client.publish({
    kind: "putProfile",
    profile: profile.val,
  }, baseRevision);
  await reportChange(context, response, `profile ${name}`);
}

/** `profile delete NAME` */
export async function deleteProfile(
  context: CommandContext,
  name: string,
): Promise<void> {
  const { profiles } = await context.client.readConfig();
  const revision = profiles[name]?.revision ?? -1;
  const response = await context.client.publish(
    { kind: "deleteProfile", name },
    revision,
  );
  await reportChange(context, response, `profile ${name}`);
}

/** `drain|withdraw|restore TARGET` and `replace TARGET FILE` */
export async function publishDirective(
  context: CommandContext,
  directive: string,
  options: { target: string; replacementFile?: string },
): Promise<void> {
  const { target, replacementFile } = options;
  const { directives } = await context.client.readConfig();
  const replacement = replacementFile === undefined
    ? undefined
    : readDocument(replacementFile);
  const change = {
    kind: "directTarget",
    target,
    directive,
    ...(replacement ? { replacement } : {}),
  };
  const response = await context.client.publish(
    change,
    directives[target]?.revision ?? -1,
  );
  await reportChange(context, response, `${directive} ${target}`);
}

/** `status` */
export async function showStatus(context: CommandContext): Promise<void> {
  const status = await context.client.readStatus();
  if (context.json) {
    context.print(JSON.stringify(status));
    return;
  }
  for (const line of formatStatus(status)) context.print(line);
}

/** `audit` */
export async function showAudit(
  context: CommandContext,
  limit: number,
): Promise<void> {
  const { entries } = await context.client.sendRequest("GET", "/v1/audit") as {
    entries: AuditEntry[];
  };
  const recent = entries.slice(-limit);
  if (context.json) {
    context.print(JSON.stringify(recent));
    return;
  }
  for (const entry of recent) {
    const when = new Date(entry.atMs).toISOString();
    const reason = entry.reason ? ` (${entry.reason})` : "";
    const { offset, author, what, baseRevision, verdict } = entry;
    context.print(
      `${offset}\t${when}\t${author}\t${what}\tfrom ${baseRevision}\t${verdict}${reason}`,
    );
  }
}

interface AuditEntry {
  readonly offset: number;
  readonly atMs: number;
  readonly author: string;
  readonly what: string;
  readonly baseRevision: number;
  readonly verdict: string;
  readonly reason?: string;
}

async function reportChange(
  context: CommandContext,
  response: ChangeResponse,
  subject: string,
): Promise<void> {
  if (context.json) context.print(JSON.stringify(response));
  else if (response.verdict === "accepted") {
    context.print(`${subject}: accepted at offset ${response.offset}`);
  } else {context.print(
      `${subject}: propagating between the VMs only; publish again once the platform is available`,
    );}
  if (response.verdict !== "accepted") {
    throw new CommandError(
      "platformUnavailable",
      response.reason ?? "platform unavailable",
    );
  }
  if (!context.wait) return;
  await context.client.waitUntilApplied(response.offset, context.waitTimeoutMs);
  if (!context.json) context.print("in force everywhere");
}

function formatStatus(status: StatusResponse): string[] {
  const { vm, config, lease } = status;
  const stale = config.staleMs === null
    ? "never up to date"
    : `${config.staleMs} ms old`;
  const lines = [
    `vm ${vm.id} in ${vm.availabilityZone}${
      vm.leaving ? " (leaving)" : ""
    }, ${vm.inFlight} in flight`,
    `config offset ${config.offset}, ${stale}, platform ${
      config.platformUp ? "up" : "down"
    }`,
    `lease ${lease.holder ?? "none"}, fencing ${
      lease.fencing ?? "-"
    }, ${lease.roleChanges} role changes`,
    "members:",
  ];
  for (const member of status.members) {
    const heard = member.lastHeardMs === null
      ? "never"
      : `${member.lastHeardMs} ms ago`;
    lines.push(
      `  ${member.id}\t${member.availabilityZone}\t${member.status}\toffset ${member.configOffset}\theard ${heard}`,
    );
  }
  lines.push("targets:");
  for (const target of status.targets) {
    const state = target.usable ? "in service" : target.reason;
    lines.push(
      `  ${target.id}\t${target.service}\t${target.availabilityZone}\t${target.role}\t${state}\trunning ${target.running}\there ${target.outstandingHere}`,
    );
  }
  return lines;
}

/** Prints the client accounts and the duties of a fleet that forwards calls. */
export async function showFleet(context: CommandContext): Promise<void> {
  const status = await context.client.readFleetStatus();
  if (context.json) return context.print(JSON.stringify(status));
  for (const line of formatFleetStatus(status)) context.print(line);
}

/** Formats the status of a fleet, a line each. */
export function formatFleetStatus(status: FleetStatusResponse): string[] {
  const { vm, config, accounts, shares = [], duties } = status;
  const freshness = config.ageMs === null
    ? "not known to be the newest"
    : `known to be the newest ${config.ageMs} ms ago`;
  const lines = [
    `${vm}: configuration ${config.version}, ${freshness}`,
    accounts === null
      ? "client accounts: none, calls need no API key"
      : `client accounts: ${accounts.length}`,
    ...(accounts ?? []).map(({ name, keys }) => `  ${name}\t${keys} keys`),
    ...shares.map(({ service, account, weight, use, share, rank }) =>
      `  share\t${service}\t${account}\tuses ${formatPercent(use)} of ${
        formatPercent(share)
      }\tweight ${weight}\trank ${rank}`
    ),
    ...(status.returns ?? []).map(({ service, booked, due }) =>
      `returns\t${service}\t${booked} booked here\t${due} due in the fleet`
    ),
    ...formatQueues(status.queues ?? []),
    ...(status.loads ?? []).flatMap(formatLoads),
    ...(status.unreadable ?? []).flatMap(formatUnreadable),
  ];
  if (duties === null) return [...lines, "duties: none"];
  lines.push(
    `duties: held by ${duties.holder ?? "nobody"}, fencing ${duties.fencing}`,
    `usage: window ${duties.lastFinalWindow ?? "-"} final, window ${
      duties.lastReportedWindow ?? "-"
    } reported`,
  );
  for (const { service, availabilityZone, standard, spot } of duties.wanted) {
    lines.push(
      `  wanted\t${service}\t${availabilityZone}\t${standard} standard\t${spot} spot`,
    );
  }
  for (const order of duties.orders) {
    const { service, availabilityZone, kind, count, outcome, reason } = order;
    lines.push(
      `  ordered\t${service}\t${availabilityZone}\t${count} ${kind}\t${outcome}\t${reason}`,
    );
  }
  return lines;
}

function formatQueues(
  queues: NonNullable<FleetStatusResponse["queues"]>,
): string[] {
  return queues.map(({ service, kind, waiting, ratePerS }) =>
    `waiting\t${service}\t${waiting} ${kind} calls here\t${
      ratePerS === null ? "dispatch rate unknown" : `${ratePerS} dispatched/s`
    }`
  );
}

function formatLoads(
  { service, targets, others, withoutReport }: NonNullable<
    FleetStatusResponse["loads"]
  >[number],
): string[] {
  return [
    `loads\t${service}\t${targets.length} targets listed\t${others} others\t${withoutReport} without a report`,
    ...targets.map((load) => {
      const { target, running, waiting, slots, slowdown, ageMs } = load;
      return `  load\t${service}\t${target}\t${running} running\t${waiting} waiting\t${slots} slots\tslowdown ${
        slowdown ?? "not reported"
      }\texpected ${load.expectedSlowdown}\t${ageMs} ms ago`;
    }),
  ];
}

/** Keys are quoted, as another writer may put control characters of the terminal into them. */
function formatUnreadable(
  { topic, keys, others }: NonNullable<
    FleetStatusResponse["unreadable"]
  >[number],
): string[] {
  return [
    `unreadable\t${topic}\t${keys.length} entries listed\t${others} others`,
    ...keys.map((key) => `  entry\t${topic}\t${JSON.stringify(key)}`),
  ];
}

function formatPercent(part: number): string {
  return `${(part * 100).toFixed(1)}%`;
}

/** Lists the paths at which two documents differ, with both values, one line per path. */
export function listDifferences(
  before: unknown,
  after: unknown,
  path: string,
): string[] {
  if (isDeepStrictEqual(before, after)) return [];
  const isContainer = (value: unknown): value is Record<string, unknown> =>
    typeof value === "object" && value !== null;
  if (!isContainer(before) || !isContainer(after)) {
    return [
      `${path || "(document)"}: ${JSON.stringify(before)} -> ${
        JSON.stringify(after)
      }`,
    ];
  }
  const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...keys].flatMap((key) =>
    listDifferences(
      before[key],
      after[key],
      path === "" ? key : `${path}.${key}`,
    )
  );
}

function parseAssignment(assignment: string): [string, unknown] {
  const separator = assignment.indexOf("=");
  if (separator < 1) {
    throw new CommandError("badInput", `${assignment}: expected KEY=VALUE`);
  }
  const text = assignment.slice(separator + 1);
  try {
    return [assignment.slice(0, separator), JSON.parse(text)];
  } catch {
    return [assignment.slice(0, separator), text];
  }
}

function buildInputError(
  file: string,
  issues: readonly InputIssue[],
): CommandError {
  return new CommandError("badInput", `${file}:\n${formatIssues(issues)}`);
}
