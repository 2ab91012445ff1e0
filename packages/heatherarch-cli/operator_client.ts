/**
 * HTTP client of the operator interface.
 *
 * @module
 */
import { request } from "undici";
import { readBytes, sleep } from "heatherarch-core";
import { CommandError } from "./exit_codes.ts";

/** Options of {@linkcode OperatorClient}. */
export interface OperatorClientOptions {
  /** Base URLs of operator ports. They are tried in order until one responds. */
  readonly urls: readonly string[];
  readonly token?: string;
  /** Author in the audit log if the VM has no operators configured. */
  readonly operator?: string;
  readonly timeoutMs?: number;
}

/** Body of `GET /v1/config`. */
export interface ConfigResponse {
  readonly offset: number;
  readonly fleetRevision: number;
  readonly fleet: unknown;
  readonly profiles: Record<
    string,
    { revision: number; profile: Record<string, unknown> }
  >;
  readonly directives: Record<string, { revision: number; directive: string }>;
}

/** Body of `GET /v1/status`: the fields that `status` and `--wait` use. */
export interface StatusResponse {
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

/** Body of `GET /fleet` on the metrics port of a VM that forwards calls. */
export interface FleetStatusResponse {
  readonly vm: string;
  readonly config: { version: number; ageMs: number | null };
  readonly accounts: readonly { name: string; keys: number }[] | null;
  /** Missing at VMs of an older version. */
  readonly shares?: readonly {
    service: string;
    account: string;
    weight: number;
    use: number;
    share: number;
    rank: number;
  }[];
  /** Absent in the response of an older VM. */
  readonly returns?: readonly {
    service: string;
    booked: number;
    due: number;
  }[];
  /** Absent in the response of an older VM, as are the unreadable entries and the loads. */
  readonly queues?: readonly {
    service: string;
    kind: string;
    waiting: number;
    /** Calls per second; null if unknown. */
    ratePerS: number | null;
  }[];
  readonly unreadable?: readonly {
    topic: string;
    keys: readonly string[];
    others: number;
  }[];
  readonly loads?: readonly {
    service: string;
    targets: readonly {
      target: string;
      running: number;
      waiting: number;
      slots: number;
      /** Null if the target doesn't report it. */
      slowdown: number | null;
      expectedSlowdown: number;
      ageMs: number;
    }[];
    others: number;
    withoutReport: number;
  }[];
  readonly duties: {
    holder?: string;
    fencing: number;
    lastFinalWindow?: number;
    lastReportedWindow?: number;
    wanted: readonly {
      service: string;
      availabilityZone: string;
      standard: number;
      spot: number;
    }[];
    orders: readonly {
      service: string;
      availabilityZone: string;
      kind: string;
      count: number;
      outcome: string;
      reason: string;
    }[];
  } | null;
}

/** Body of `POST /v1/changes`: the verdict on a published change. */
export interface ChangeResponse {
  readonly verdict: "accepted" | "spreading";
  readonly offset: number;
  readonly reason?: string;
}

const DEFAULT_TIMEOUT_MS = 15_000;
const WAIT_POLL_MS = 100;
/** The audit trail of a large fleet takes some MiB. */
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

/** Sends requests to the operator port of one of several VMs. */
export class OperatorClient {
  readonly #options: OperatorClientOptions;

  constructor(options: OperatorClientOptions) {
    this.#options = options;
  }

  async readConfig(): Promise<ConfigResponse> {
    return await this.sendRequest("GET", "/v1/config") as ConfigResponse;
  }

  async readStatus(): Promise<StatusResponse> {
    return await this.sendRequest("GET", "/v1/status") as StatusResponse;
  }

  async readFleetStatus(): Promise<FleetStatusResponse> {
    return await this.sendRequest("GET", "/fleet") as FleetStatusResponse;
  }

  /** Publishes a change. Throws {@linkcode CommandError} if it is rejected. */
  async publish(
    change: unknown,
    baseRevision: number,
  ): Promise<ChangeResponse> {
    return await this.sendRequest("POST", "/v1/changes", {
      change,
      baseRevision,
    }) as ChangeResponse;
  }

  /** Waits until every live VM in every availability zone has applied `offset`. */
  async waitUntilApplied(offset: number, timeoutMs: number): Promise<void> {
    const deadlineAtMs = Date.now() + timeoutMs;
    let lagging: string[] = ["all"];
    while (Date.now() < deadlineAtMs) {
      lagging = listLagging(await this.readStatus(), offset);
      if (lagging.length === 0) return;
      await sleep(WAIT_POLL_MS);
    }
    throw new CommandError(
      "waitTimedOut",
      `not in force yet on: ${lagging.join(", ")}`,
    );
  }

  /**
   * Sends a request to the first VM that responds and returns the body. Throws
   * {@linkcode CommandError} if no VM responds or the status isn't 200. A change that may have
   * reached a VM is not sent to another one: it could be in force already, and would then be rejected
   * as if another operator had made it.
   */
  async sendRequest(
    method: "GET" | "POST",
    path: string,
    body?: unknown,
  ): Promise<unknown> {
    let lastFailure = "";
    for (const url of this.#options.urls) {
      const response = await this.#send(url + path, method, body).catch(
        (error: Error) => {
          lastFailure = `${url}: ${error.message}`;
          if (method === "POST" && !isConnectFailure(error)) {
            throw new CommandError(
              "failed",
              `no response (${lastFailure}); the change may be in force`,
            );
          }
          return undefined;
        },
      );
      if (response === undefined) continue;
      if (response.status === 200) return response.body;
      throw buildCommandError(response.status, response.body);
    }
    throw new CommandError("unreachable", `no VM responded (${lastFailure})`);
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
    const response = await request(url, {
      method,
      headers,
      body: body === undefined ? undefined : JSON.stringify(body),
      signal: AbortSignal.timeout(timeoutMs ?? DEFAULT_TIMEOUT_MS),
    });
    const bytes = await readBytes(response.body, {
      maxBytes: MAX_RESPONSE_BYTES,
    });
    return {
      status: response.statusCode,
      body: JSON.parse(bytes.toString("utf8")),
    };
  }
}

/** Codes of errors after which nothing was sent. */
const CONNECT_FAILURE_CODES: ReadonlySet<unknown> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "UND_ERR_CONNECT_TIMEOUT",
]);

function isConnectFailure(error: Error): boolean {
  return CONNECT_FAILURE_CODES.has((error as NodeJS.ErrnoException).code);
}

function listLagging(status: StatusResponse, offset: number): string[] {
  const lagging = status.members
    .filter((member) =>
      member.status === "live" && member.configOffset < offset
    )
    .map((member) => member.id);
  if (status.config.offset < offset) lagging.push(status.vm.id);
  for (const [zone, summary] of Object.entries(status.availabilityZones)) {
    if (summary.configOffset < offset) lagging.push(`zone ${zone}`);
  }
  return lagging;
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
