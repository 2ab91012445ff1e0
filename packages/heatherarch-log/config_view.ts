/**
 * The configuration as one process has applied it: grows by records or by a whole state from
 * a snapshot or a peer, and never goes back. Pure.
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

/** Guards of the view; the proofs switch them off one at a time. */
export const CONFIG_VIEW_GUARDS = ["neverLowerOffset"] as const;
/** Name of a guard. */
export type ConfigViewGuard = typeof CONFIG_VIEW_GUARDS[number];

/** Options of {@linkcode ConfigView}. */
export interface ConfigViewOptions extends ConfigFoldOptions {
  /** Records kept for peers that lag behind. */
  readonly maxRecentRecords?: number;
  readonly disabledViewGuards?: ReadonlySet<ConfigViewGuard>;
}

/** What a peer that asks from an offset is given. */
export type ConfigUpdate =
  | { readonly kind: "records"; readonly records: readonly LogRecord[] }
  | { readonly kind: "state"; readonly state: ConfigState };

const DEFAULT_MAX_RECENT_RECORDS = 1000;

/** Applied configuration. */
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

  /** Applies the records that follow the present state; returns whether any did. */
  applyRecords(records: readonly LogRecord[]): boolean {
    const before = this.#state.offset;
    for (const record of records) {
      if (record.offset === this.#state.offset + 1) this.#apply(record);
    }
    return this.#state.offset > before;
  }

  /** Takes a whole state where it is newer; returns whether it was. */
  loadState(state: ConfigState): boolean {
    const newer = state.offset > this.#state.offset;
    if (this.#options.disabledViewGuards?.has("neverLowerOffset")) {
      this.#state = state;
      return true;
    }
    if (!newer) return false;
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

  /** What a peer needs that wants to go on from offset `from`. */
  buildUpdate(from: number): ConfigUpdate {
    const first = this.#recentRecords[0]?.offset ?? this.#state.offset + 1;
    if (from < first) return { kind: "state", state: this.#state };
    return {
      kind: "records",
      records: this.#recentRecords.slice(from - first),
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
