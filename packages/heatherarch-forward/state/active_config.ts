/**
 * The routing configuration in force on this VM. Its version never decreases while the process
 * runs.
 *
 * @module
 */
import type { RoutingConfig } from "../model.ts";
import { RouteTable } from "./route_table.ts";

/** A change of the configuration in force. */
export interface ConfigChange {
  readonly table: RouteTable;
  /** Version that was in force before, or -1 if there was none. */
  readonly before: number;
  /** Where the configuration came from: `store`, or `peer` followed by the peer's id. */
  readonly source: string;
}

/** Receives each change of the configuration. */
export type ConfigListener = (change: ConfigChange) => void;

/** Holds the newest configuration received from any source. */
export class ActiveConfig {
  #table: RouteTable | undefined;
  #storeReadAtMs = -Infinity;
  readonly #listeners = new Set<ConfigListener>();

  /** The route table in force, or undefined before the first configuration. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** Version in force, or -1 before the first configuration. */
  get version(): number {
    return this.#table?.version ?? -1;
  }

  /** Applies a configuration. Returns false if it is not newer than the one in force. */
  applyConfig(config: RoutingConfig, source: string): boolean {
    const before = this.version;
    if (config.version <= before) return false;
    const table = new RouteTable(config);
    this.#table = table;
    for (const listener of this.#listeners) listener({ table, before, source });
    return true;
  }

  /** Records a successful read of the store whose request was sent at `sentAtMs`. */
  recordStoreRead(sentAtMs: number): void {
    this.#storeReadAtMs = Math.max(this.#storeReadAtMs, sentAtMs);
  }

  /**
   * Time since this VM sent its latest successful read to the store; Infinity before the first
   * one.
   */
  getAgeMs(nowMs: number): number {
    return nowMs - this.#storeReadAtMs;
  }

  /** Registers a listener and returns a function that removes it. */
  registerListener(listener: ConfigListener): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }
}
