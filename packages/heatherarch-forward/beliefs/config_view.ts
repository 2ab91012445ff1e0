/**
 * The configuration in force on this VM. Its version never goes down in the process's life.
 *
 * @module
 */
import type { RoutingConfig } from "../model.ts";
import { RouteTable } from "./route_table.ts";

/** Called with each table that comes into force. */
export type TableListener = (table: RouteTable) => void;

/** Holds the newest configuration seen, from whichever source. */
export class ConfigView {
  #table: RouteTable | undefined;
  readonly #listeners = new Set<TableListener>();

  /** The table in force; undefined before the first configuration. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  get version(): number {
    return this.#table?.version ?? -1;
  }

  /** Takes a configuration in; false where it is not newer than the one in force. */
  applyConfig(config: RoutingConfig): boolean {
    if (config.version <= this.version) return false;
    this.#table = new RouteTable(config);
    for (const listener of this.#listeners) listener(this.#table);
    return true;
  }

  /** Registers a listener and returns its undo. */
  registerListener(listener: TableListener): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }
}
