/**
 * Whether the loss of a generating engine is waited out.
 *
 * Pattern of load: an engine that crashes is usually back within seconds. A reader that replaces
 * it changes its role twice, there and back, and reads nothing from the first change to the end of
 * the second. A fleet with four readers loses a quarter of its reading for that, mostly while it
 * is short of it. So a loss is waited out for as long as the replacement itself would be away,
 * provided that the engines left have places for the runs of the lost one.
 *
 * Pure: time comes in with each call.
 *
 * @module
 */

/** The generating engines of one service. */
export interface RunnerState {
  /** Whether another engine should generate. */
  readonly isShort: boolean;
  /** Whether one of them has announced that it leaves; it does not come back. */
  readonly hasLeaving: boolean;
  /** Those that answer. */
  readonly answering: number;
  /** Places and KV tokens of each. */
  readonly slots: number;
  readonly kvRoom: number;
  /** Runs in progress and their KV tokens, those of lost engines included. */
  readonly runs: number;
  readonly kvTokens: number;
  readonly roleChangeMs: number;
}

/** Share of the remaining places and KV tokens up to which a loss is waited out. */
const MAX_USE = 0.7;
/** Role changes of a replacement: there and back. */
const REPLACEMENT_CHANGES = 2;

/** Losses of generating engines as one VM sees them. */
export class RunnerCover {
  /** Monotonic times at which the services last had all their generating engines. */
  readonly #completeAtMs = new Map<string, number>();

  /** Whether a replacement is put off. */
  isPutOff(service: string, state: RunnerState, nowMs: number): boolean {
    if (state.hasLeaving) this.#completeAtMs.delete(service);
    else if (!state.isShort) this.#completeAtMs.set(service, nowMs);
    if (!state.isShort || !hasRoom(state)) return false;
    const completeAtMs = this.#completeAtMs.get(service) ?? -Infinity;
    const awayMs = REPLACEMENT_CHANGES * state.roleChangeMs;
    return nowMs - completeAtMs < awayMs;
  }
}

function hasRoom(state: RunnerState): boolean {
  const { answering, slots, kvRoom, runs, kvTokens } = state;
  return runs <= answering * slots * MAX_USE &&
    kvTokens <= answering * kvRoom * MAX_USE &&
    answering > 0;
}
