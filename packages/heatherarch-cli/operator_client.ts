/**
 * Client of the operators' HTTP interface.
 *
 * @module
 */
import { request } from "undici";
import { sleep } from "heatherarch-core";
import { CommandError } from "./exit_codes.ts";

/** Options of {@linkcode OperatorClient}. */
export interface OperatorClientOptions {
  /** Base URLs of operators' ports; the first that answers is used. */
  readonly urls: readonly string[];
  readonly token?: string;
  /** Name for the audit trail where the VM has no operators configured. */
  readonly operator?: string;
  readonly timeoutMs?: number;
}

/** A configuration as `GET /v1/config` gives it. */
export interface ConfigAnswer {
  readonly offset: number;
  readonly fleetRevision: number;
  readonly fleet: unknown;
  readonly profiles: Record<
    string,
    { revision: number; profile: Record<string, unknown> }
  >;
  readonly directives: Record<string, { revision: number; directive: string }>;
}

/** The part of the status that `--wait` needs. */
export interface StatusAnswer {
  readonly vm: {
    id: string;
    availabilityZone: string;
    leaving: boolean;
    inFlight: number;
  };
  readonly config: {
    offset: number;
    platformUp: boolean;
    staleMs: number | null;
  };
  readonly lease: {
    holder: string | null;
    fencing: number | null;
    roleChanges: number;
  };
  readonly members: readonly {
    id: string;
    availabilityZone: string;
    status: string;
    configOffset: number;
    lastHeardMs: number | null;
  }[];
  readonly availabilityZones: Record<
    string,
    { configOffset: number; vms: number }
  >;
  readonly targets: readonly {
    id: string;
    service: string;
    availabilityZone: string;
    role: string;
    directive: string;
    usable: boolean;
    reason: string;
    running: number;
    outstandingHere: number;
  }[];
}

/** Verdict on a publication. */
export interface ChangeAnswer {
  readonly verdict: "accepted" | "spreading";
  readonly offset: number;
  readonly reason?: string;
}

const DEFAULT_TIMEOUT_MS = 15_000;
const WAIT_POLL_MS = 100;

/** Talks to the operators' port of one of several VMs. */
export class OperatorClient {
  readonly #options: OperatorClientOptions;

  constructor(options: OperatorClientOptions) {
    this.#options = options;
  }

  async readConfig(): Promise<ConfigAnswer> {
    return await this.call("GET", "/v1/config") as ConfigAnswer;
  }

  async readStatus(): Promise<StatusAnswer> {
    return await this.call("GET", "/v1/status") as StatusAnswer;
  }

  /** Publishes a change. Throws {@linkcode CommandError} where it was rejected. */
  async publish(change: unknown, baseRevision: number): Promise<ChangeAnswer> {
    return await this.call("POST", "/v1/changes", {
      change,
      baseRevision,
    }) as ChangeAnswer;
  }

  /** Waits until every live VM of every zone has applied `offset`. */
  async waitInForce(offset: number, timeoutMs: number): Promise<void> {
    const until = Date.now() + timeoutMs;
    let behind: string[] = ["all"];
    while (Date.now() < until) {
      behind = listBehind(await this.readStatus(), offset);
      if (behind.length === 0) return;
      await sleep(WAIT_POLL_MS);
    }
    throw new CommandError(
      "waitTimedOut",
      `not in force yet at: ${behind.join(", ")}`,
    );
  }

  /** Makes one call. Throws {@linkcode CommandError}. */
  async call(
    method: "GET" | "POST",
    path: string,
    body?: unknown,
  ): Promise<unknown> {
    let last = "";
    for (const url of this.#options.urls) {
      const answer = await this.#send(url + path, method, body).catch(
        (error: Error) => {
          last = `${url}: ${error.message}`;
          return undefined;
        },
      );
      if (answer === undefined) continue;
      if (answer.status === 200) return answer.body;
      throw buildCommandError(answer.status, answer.body);
    }
    throw new CommandError("unreachable", `no VM answered (${last})`);
  }

  async #send(
    url: string,
    method: "GET" | "POST",
    body: unknown,
  ): Promise<{ status: number; body: unknown }> {
    const { token, operator, timeoutMs } = this.#options;
    const headers: Record<string, string> = {
      "content-type": "application/json",
    };
    if (token) headers.authorization = `Bearer ${token}`;
    if (operator) headers["x-operator"] = operator;
    const answer = await request(url, {
      method,
      headers,
      body: body === undefined ? undefined : JSON.stringify(body),
      signal: AbortSignal.timeout(timeoutMs ?? DEFAULT_TIMEOUT_MS),
    });
    return { status: answer.statusCode, body: await answer.body.json() };
  }
}

function listBehind(status: StatusAnswer, offset: number): string[] {
  const behind = status.members
    .filter((member) =>
      member.status === "live" && member.configOffset < offset
    )
    .map((member) => member.id);
  if (status.config.offset < offset) behind.push(status.vm.id);
  for (const [zone, summary] of Object.entries(status.availabilityZones)) {
    if (summary.configOffset < offset) behind.push(`zone ${zone}`);
  }
  return behind;
}

function buildCommandError(status: number, body: unknown): CommandError {
  const error = (body as { error?: { kind?: string; message?: string } }).error;
  const message = `${error?.kind ?? status}: ${error?.message ?? ""}`;
  if (error?.kind === "conflict") return new CommandError("rejected", message);
  if (error?.kind === "platformUnavailable") {
    return new CommandError("platformUnavailable", message);
  }
  return new CommandError(status < 500 ? "badInput" : "failed", message);
}
