/**
 * A simulated target: it serves as many calls at a time as it has slots, in order of arrival, with
 * its own speed and with spans of time in which its machine is slow.
 *
 * @module
 */
import type { Random } from "heatherarch-core";
import type { EventQueue } from "./event_queue.ts";

/** Spans of time in which a target is slow. */
export interface SlowSpanOptions {
  /** Share of the time in which the target is slow. */
  readonly share: number;
  readonly spanMs: number;
  /** Duration of work in such a span, relative to the usual. */
  readonly slowdown: number;
}

/** Options of {@linkcode SimulatedTarget}. */
export interface SimulatedTargetOptions {
  readonly events: EventQueue;
  readonly random: Random;
  readonly slots: number;
  /** Duration of work on this target, relative to others. */
  readonly speed?: number;
  readonly slow?: SlowSpanOptions;
}

interface WaitingWork {
  readonly workMs: number;
  readonly onEnd: (tookMs: number) => void;
}

/** A target with a queue. */
export class SimulatedTarget {
  readonly slots: number;
  readonly speed: number;
  readonly #options: SimulatedTargetOptions;
  #slowdown = 1;
  #running = 0;
  readonly #waiting: WaitingWork[] = [];
  #firstWaiting = 0;

  constructor(options: SimulatedTargetOptions) {
    this.#options = options;
    this.slots = options.slots;
    this.speed = options.speed ?? 1;
    const { slow, random } = options;
    if (slow === undefined) return;
    const isSlow = random.drawUnit() < slow.share;
    this.#startSpan(isSlow, isSlow ? random.drawUnit() * slow.spanMs : 0);
  }

  /** Duration of work now, relative to the usual. */
  get slowdown(): number {
    return this.#slowdown;
  }

  /** Number of calls that run. */
  get running(): number {
    return this.#running;
  }

  /** Number of calls that wait for a slot. */
  get waiting(): number {
    return this.#waiting.length - this.#firstWaiting;
  }

  /** Takes a call; `onEnd` gets the duration of its work without the wait. */
  accept(workMs: number, onEnd: (tookMs: number) => void): void {
    this.#waiting.push({ workMs, onEnd });
    this.#startWork();
  }

  #startWork(): void {
    const { events } = this.#options;
    while (this.#running < this.slots && this.waiting > 0) {
      const { workMs, onEnd } = this.#waiting[this.#firstWaiting++];
      this.#trimWaiting();
      const tookMs = workMs * this.speed * this.#slowdown;
      this.#running++;
      events.delay(tookMs, () => {
        this.#running--;
        this.#startWork();
        onEnd(tookMs);
      });
    }
  }

  /** Drops the calls that have started, once they are the larger part of the list. */
  #trimWaiting(): void {
    if (this.#firstWaiting * 2 < this.#waiting.length) return;
    this.#waiting.splice(0, this.#firstWaiting);
    this.#firstWaiting = 0;
  }

  #startSpan(isSlow: boolean, leftMs: number): void {
    const { events, random, slow } = this.#options;
    if (slow === undefined) return;
    this.#slowdown = isSlow ? slow.slowdown : 1;
    const usualMs = slow.spanMs * (1 - slow.share) / slow.share;
    const durationMs = leftMs > 0
      ? leftMs
      : isSlow
      ? slow.spanMs
      : random.drawExponential(usualMs);
    events.delay(durationMs, () => this.#startSpan(!isSlow, 0));
  }
}
