/**
 * Clients of the simulation of returns, and the shares of them that were served.
 *
 * @module
 */

/** A client, with the outcome of its calls. */
export interface Client {
  readonly kind: ClientKind;
  readonly arrivedAtMs: number;
  readonly isImpatient: boolean;
  rejections: number;
  isServed: boolean;
  isInTime: boolean;
}

/** A kind of client. */
export interface ClientKind {
  readonly name: string;
  readonly aimMs: number;
  readonly timeoutMs: number;
}

/** Shares of the clients, 0 to 1. */
export interface ClientSummary {
  /** Clients that were served before they gave up, and within the latency objective. */
  readonly served: number;
  readonly inTime: number;
  /** Share served of the kind of client that is served least. */
  readonly worstKind: number;
  /** Share of the clients that wait as told, and of the others, that were served. */
  readonly patientServed: number;
  readonly impatientServed: number;
  /** Share of the clients that were rejected twice or more often. */
  readonly rejectedTwice: number;
}

/** Objectives and client timeouts of plain calls in the two deployments. */
export const CLIENT_KINDS: readonly ClientKind[] = [
  { name: "hasty", aimMs: 152, timeoutMs: 1611 },
  { name: "patient", aimMs: 396, timeoutMs: 4109 },
];
/** Longest client timeout, milliseconds. */
export const LONGEST_TIMEOUT_MS = Math.max(
  ...CLIENT_KINDS.map(({ timeoutMs }) => timeoutMs),
);

/** Summarizes the outcomes of all clients. */
export function summarizeClients(clients: readonly Client[]): ClientSummary {
  const isServed = (client: Client): boolean => client.isServed;
  const servedByKind = CLIENT_KINDS.map((kind) =>
    computeShare(clients.filter((client) => client.kind === kind), isServed)
  );
  return {
    served: computeShare(clients, isServed),
    inTime: computeShare(clients, ({ isInTime }) => isInTime),
    worstKind: Math.min(...servedByKind),
    patientServed: computeShare(
      clients.filter(({ isImpatient }) => !isImpatient),
      isServed,
    ),
    impatientServed: computeShare(
      clients.filter(({ isImpatient }) => isImpatient),
      isServed,
    ),
    rejectedTwice: computeShare(clients, ({ rejections }) => rejections > 1),
  };
}

function computeShare(
  clients: readonly Client[],
  matches: (client: Client) => boolean,
): number {
  return clients.filter(matches).length / Math.max(1, clients.length);
}
