/**
 * The routing configuration in force on this VM. Its version never decreases while the process
 * runs.
 *
 * @module
 */
import {
  type Clock,
  computeElapsedMs,
  DISTANT_PAST,
  type Moment,
} from "heatherarch-core";
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

/** Options of {@linkcode ActiveConfig}. */
export interface ActiveConfigOptions {
  readonly clock: Clock;
}

/** Knowledge that a version was the newest one at `asOf` or later. */
interface NewestVersion {
  readonly version: number;
  readonly asOf: Moment;
}

/** Holds the newest configuration received from any source. */
export class ActiveConfig {
  readonly #clock: Clock;
  #table: RouteTable | undefined;
  /** Moment as of which the configuration in force was the newest one. */
  #newestAsOf = DISTANT_PAST;
  /** A newer version that a hub has confirmed before this VM received it. */
  #awaited: NewestVersion | undefined;
  readonly #listeners = new Set<ConfigListener>();

  constructor(options: ActiveConfigOptions) {
    this.#clock = options.clock;
  }

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
    const awaited = this.#awaited;
    if (awaited !== undefined) this.recordNewest(awaited.version, awaited.asOf);
    for (const listener of this.#listeners) listener({ table, before, source });
    return true;
  }

  /**
   * Records that `version` was the newest one at the moment `asOf` or later: a read that was sent
   * then has shown so, here or at a hub.
   */
  recordNewest(version: number, asOf: Moment): void {
    if (version < 0) return;
    if (version > this.version) {
      this.#awaited = { version, asOf };
      return;
    }
    this.#awaited = undefined;
    // Each clock stands for an age of its own, of which the greater one counts.
    this.#newestAsOf = {
      monotonicMs: Math.max(this.#newestAsOf.monotonicMs, asOf.monotonicMs),
      bootMs: Math.max(this.#newestAsOf.bootMs, asOf.bootMs),
    };
  }

  /**
   * Time since the configuration in force was last known to be the newest one, milliseconds;
   * Infinity before that.
   */
  getAgeMs(): number {
    return computeElapsedMs(this.#clock, this.#newestAsOf);
  }

  /** Registers a listener and returns a function that removes it. */
  registerListener(listener: ConfigListener): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }
}
