/**
 * The configuration in force on this VM. Its version never goes down in the process's life.
 *
 * @module
 */
import type { RoutingConfig } from "../model.ts";
import { RouteTable } from "./route_table.ts";

/** A configuration that comes into force. */
export interface ConfigChange {
  readonly table: RouteTable;
  /** Version in force before; -1 without one. */
  readonly before: number;
  /** Who told it: `store`, or `peer` and its id. */
  readonly source: string;
}

/** Called with each change. */
export type ConfigListener = (change: ConfigChange) => void;

/** Holds the newest configuration seen, from whichever source. */
export class ActiveConfig {
  #table: RouteTable | undefined;
  #checkedAtMs = -Infinity;
  readonly #listeners = new Set<ConfigListener>();

  /** The table in force; undefined before the first configuration. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  get version(): number {
    return this.#table?.version ?? -1;
  }

  /** Takes a configuration in; false where it is not newer than the one in force. */
  applyConfig(config: RoutingConfig, source: string): boolean {
    const before = this.version;
    if (config.version <= before) return false;
    const table = new RouteTable(config);
    this.#table = table;
    for (const listener of this.#listeners) listener({ table, before, source });
    return true;
  }

  /** This VM has read the store without fault, with a read that was sent at `atMs`. */
  recordStoreRead(atMs: number): void {
    this.#checkedAtMs = Math.max(this.#checkedAtMs, atMs);
  }

  /** Time since this VM last asked the store and was answered; Infinity before the first answer. */
  getAgeMs(nowMs: number): number {
    return nowMs - this.#checkedAtMs;
  }

  /** Registers a listener and returns its undo. */
  registerListener(listener: ConfigListener): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }
}
