/**
 * The pace at which a VM sends while the fleet asks for more than the room. A turn that could not be
 * used lapses: VMs that kept it would all send at the same time later.
 *
 * @module
 */

/** Turns of one VM. */
export class Pace {
  #turns: number;
  #updatedAtMs = 0;

  /** `firstTurns` is in [0, 1), different for each VM, so that they don't send together. */
  constructor(firstTurns: number) {
    this.#turns = firstTurns;
  }

  /** Adds the turns since the last update, at a rate per millisecond. */
  update(turnsPerMs: number, maxTurns: number, nowMs: number): void {
    const elapsedMs = nowMs - this.#updatedAtMs;
    this.#updatedAtMs = nowMs;
    this.#turns = Math.min(
      Math.max(1, maxTurns),
      this.#turns + turnsPerMs * elapsedMs,
    );
  }

  /** Whether it is the VM's turn. */
  get isDue(): boolean {
    return this.#turns >= 1;
  }

  /** Takes a turn for a call that is sent, also if it wasn't due, or for one that lapses. */
  take(): void {
    this.#turns = Math.max(-1, this.#turns - 1);
  }
}
