/**
 * Bookings of one group of targets by slots of time. Booked work fills the slots in order, each up to
 * its capacity. A call with more work than a slot holds also uses the slots that follow, because the
 * capacity of a VM in a large fleet is less than one call for each slot.
 *
 * @module
 */

/** Duration of a slot, milliseconds. */
export const SLOT_MS = 50;
/**
 * Longest delay that is booked, milliseconds: a third of a client timeout of 90 s. It bounds the
 * number of slots.
 */
export const MAX_DELAY_MS = 30_000;
const MAX_SLOTS = MAX_DELAY_MS / SLOT_MS;

interface Slot {
  workMs: number;
  returns: number;
}

/** Slots that a booking may use, and their capacity. */
export interface SlotChoice {
  /** First slot that the booking may use. */
  readonly first: number;
  /** Last slot in which the return may begin. */
  readonly last: number;
  /** Work that one slot holds, milliseconds. */
  readonly capacityMs: number;
}

/** Returns the number of the slot that contains a time. */
export function computeSlot(atMs: number): number {
  return Math.floor(atMs / SLOT_MS);
}

/** Booked slots of one group. */
export class BookedSlots {
  readonly #slots = new Map<number, Slot>();

  /** Number of slots that are kept. */
  get size(): number {
    return this.#slots.size;
  }

  /** Books work and returns the slot in which the return begins. */
  book(workMs: number, choice: SlotChoice): number {
    const slot = this.#pickSlot(choice);
    this.#getSlot(slot).returns++;
    this.#addWork(slot, workMs, choice.capacityMs);
    return slot;
  }

  /** Counts the returns that begin in the slots from `first` to `last`. */
  countReturns(first: number, last: number): number {
    let sum = 0;
    for (const [index, { returns }] of this.#slots) {
      if (index >= first && index <= last) sum += returns;
    }
    return sum;
  }

  /** Booked work of a slot, milliseconds. */
  getWorkMs(slot: number): number {
    return this.#slots.get(slot)?.workMs ?? 0;
  }

  /** Removes the slots before `first`. */
  removeBefore(first: number): void {
    for (const index of this.#slots.keys()) {
      if (index < first) this.#slots.delete(index);
    }
  }

  /** Picks the first slot with capacity. If there is none, the least booked one is used. */
  #pickSlot({ first, last, capacityMs }: SlotChoice): number {
    let least = first;
    for (let index = first; index <= last; index++) {
      const workMs = this.getWorkMs(index);
      if (workMs < capacityMs) return index;
      if (workMs < this.getWorkMs(least)) least = index;
    }
    return least;
  }

  /** Adds work to a slot and, once that is full, to the next ones with room. */
  #addWork(first: number, workMs: number, capacityMs: number): void {
    const isFull = this.getWorkMs(first) >= capacityMs;
    let restMs = workMs;
    const end = isFull ? first : first + MAX_SLOTS;
    for (let index = first; index < end && restMs > 0; index++) {
      const roomMs = capacityMs - this.getWorkMs(index);
      if (roomMs <= 0) continue;
      const usedMs = Math.min(roomMs, restMs);
      this.#getSlot(index).workMs += usedMs;
      restMs -= usedMs;
    }
    // The slot is overbooked: its return is expected there all the same.
    if (restMs > 0) this.#getSlot(first).workMs += restMs;
  }

  #getSlot(index: number): Slot {
    let slot = this.#slots.get(index);
    if (slot === undefined) {
      slot = { workMs: 0, returns: 0 };
      this.#slots.set(index, slot);
    }
    return slot;
  }
}
