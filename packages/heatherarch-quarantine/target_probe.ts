/**
 * Checks whether a process listens at an address: opens a connection and closes it at once.
 *
 * @module
 */
import { connect } from "node:net";
import { splitAddress } from "heatherarch-mesh";
import type { Address } from "heatherarch-core";

/**
 * `accepted`: a process listens; `refused`: none does, or it closed the connection at once; `silent`: no
 * response in time.
 */
export type ProbeResult = "accepted" | "refused" | "silent";

/** About ten round trips between zones. */
const DEFAULT_TIMEOUT_MS = 300;

/** Options of {@linkcode TargetProbe}. */
export interface TargetProbeOptions {
  /** Connection timeout. */
  readonly timeoutMs?: number;
  /** Time for which an accepted connection has to stay open; by default none. */
  readonly holdMs?: number;
}

/** Probes addresses; concurrent probes of one address share a connection. */
export class TargetProbe {
  readonly #timeoutMs: number;
  readonly #holdMs: number;
  readonly #pending = new Map<string, Promise<ProbeResult>>();

  constructor(options: TargetProbeOptions = {}) {
    this.#timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    this.#holdMs = options.holdMs ?? 0;
  }

  /** Probes an address. Never rejects. */
  probe(address: Address): Promise<ProbeResult> {
    let pending = this.#pending.get(address);
    if (pending === undefined) {
      pending = this.#connect(address)
        .finally(() => this.#pending.delete(address));
      this.#pending.set(address, pending);
    }
    return pending;
  }

  #connect(address: Address): Promise<ProbeResult> {
    return new Promise((resolve) => {
      const socket = connect({ ...splitAddress(address) });
      let isOpen = false;
      const finish = (result: ProbeResult): void => {
        socket.destroy();
        resolve(result);
      };
      socket.setTimeout(this.#timeoutMs, () => finish("silent"));
      socket.once("connect", () => {
        if (this.#holdMs === 0) return finish("accepted");
        isOpen = true;
        socket.resume();
        socket.once("end", () => finish("refused"));
        setTimeout(() => finish("accepted"), this.#holdMs);
      });
      socket.once(
        "error",
        (error: NodeJS.ErrnoException) =>
          finish(
            isOpen || error.code === "ECONNREFUSED" ? "refused" : "silent",
          ),
      );
    });
  }
}
