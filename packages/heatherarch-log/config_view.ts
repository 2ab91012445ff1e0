/**
 * Configuration that one process has applied. It advances by records, or by a whole state from a
 * snapshot or a peer, and never returns to an older offset. It is pure.
 *
 * @module
 */
import { assertInvariant } from "heatherarch-core";
import {
  applyConfigRecord,
  type ConfigFoldOptions,
  type ConfigState,
  EMPTY_CONFIG_STATE,
} from "./config_fold.ts";
import type { LogRecord } from "./log_port.ts";

/** Safety rules of the view. The proofs disable them one at a time. */
export const CONFIG_VIEW_GUARDS = ["neverLowerOffset"] as const;
/** Name of a guard. */
export type ConfigViewGuard = typeof CONFIG_VIEW_GUARDS[number];

/** Options of {@linkcode ConfigView}. */
export interface ConfigViewOptions extends ConfigFoldOptions {
  /** Maximum number of recent records that are kept for peers that lag behind. */
  readonly maxRecentRecords?: number;
  readonly disabledViewGuards?: ReadonlySet<ConfigViewGuard>;
}

/** Reply to a peer that requests the configuration from an offset on. */
export type ConfigUpdate =
  | { readonly kind: "records"; readonly records: readonly LogRecord[] }
  | { readonly kind: "state"; readonly state: ConfigState };

const DEFAULT_MAX_RECENT_RECORDS = 1000;

/** The applied configuration and the records that led to it. */
export class ConfigView {
  readonly #options: ConfigViewOptions;
  #state: ConfigState = EMPTY_CONFIG_STATE;
  #recentRecords: LogRecord[] = [];

  constructor(options: ConfigViewOptions = {}) {
    this.#options = options;
  }

  get state(): ConfigState {
    return this.#state;
  }

  /** Applies the records that follow the current state. Returns whether the state changed. */
  applyRecords(records: readonly LogRecord[]): boolean {
    const before = this.#state.offset;
    for (const record of records) {
      if (record.offset === this.#state.offset + 1) this.#apply(record);
    }
    return this.#state.offset > before;
  }

  /** Loads a whole state if it is newer. Returns whether it was loaded. */
  loadState(state: ConfigState): boolean {
    const isNewer = state.offset > this.#state.offset;
    if (this.#options.disabledViewGuards?.has("neverLowerOffset")) {
      this.#state = state;
      return true;
    }
    if (!isNewer) return false;
    const before = this.#state.offset;
    this.#state = state;
    this.#recentRecords = [];
    assertInvariant(
      this.#state.offset > before,
      "config-never-reverts",
      `${before}`,
    );
    return true;
  }

  /** Builds the update for a peer that continues at offset `from`. */
  buildUpdate(from: number): ConfigUpdate {
    const oldestOffset = this.#recentRecords[0]?.offset ??
      this.#state.offset + 1;
    if (from < oldestOffset) return { kind: "state", state: this.#state };
    return {
      kind: "records",
      records: this.#recentRecords.slice(from - oldestOffset),
    };
  }

  #apply(record: LogRecord): void {
    this.#state = applyConfigRecord(this.#state, record, this.#options);
    this.#recentRecords.push(record);
    if (
      this.#recentRecords.length >
        (this.#options.maxRecentRecords ?? DEFAULT_MAX_RECENT_RECORDS)
    ) {
      this.#recentRecords.shift();
    }
  }
}
