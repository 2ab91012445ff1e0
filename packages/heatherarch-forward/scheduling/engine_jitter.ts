/**
 * Keeps VMs that know the same from choosing the same engine.
 *
 * Pattern of load: what VMs know of each other's work is 30 ms old in a small fleet and 100 ms and
 * more over hubs. With 195 VMs some 50 prompts are placed meanwhile, and every one goes to the
 * engine that looked idlest: VMs that know the same choose the same.
 *
 * Each VM adds a wait of its own to each engine, so that engines that look nearly the same are
 * taken by different VMs. Half of it is drawn anew for each prompt; the other half stays, so that
 * a VM goes back to engines to which it has connections.
 *
 * @module
 */
import { computeRendezvousWeight } from "heatherarch-core";

/** Options of {@linkcode EngineJitter}. */
export interface EngineJitterOptions {
  readonly vmId: string;
  /** Uniform in [0, 1). */
  readonly drawUnit: () => number;
  /** Longest added wait, milliseconds. */
  readonly maxMs?: number;
}

/** About a short prompt: where engines are few, more leaves the idle ones to others. */
const DEFAULT_MOST_MS = 20;
const MAX_WEIGHT = 2 ** 32;
/** Part of the added wait that stays. */
const LASTING_PART = 0.5;

/** The waits that one VM adds. */
export class EngineJitter {
  readonly #options: Required<EngineJitterOptions>;
  readonly #lasting = new Map<string, number>();

  constructor(options: EngineJitterOptions) {
    this.#options = { maxMs: DEFAULT_MOST_MS, ...options };
  }

  /** Wait that is added to an engine in the choice for one prompt, milliseconds. */
  drawMs(target: string): number {
    const { maxMs: mostMs, drawUnit } = this.#options;
    const lasting = this.#getLasting(target) * LASTING_PART;
    return mostMs * (lasting + drawUnit() * (1 - LASTING_PART));
  }

  /** An engine has gone. */
  forget(target: string): void {
    this.#lasting.delete(target);
  }

  /** In [0, 1), always the same for this VM and that engine. */
  #getLasting(target: string): number {
    let lasting = this.#lasting.get(target);
    if (lasting === undefined) {
      const { vmId } = this.#options;
      lasting = computeRendezvousWeight(vmId, target) / MAX_WEIGHT;
      this.#lasting.set(target, lasting);
    }
    return lasting;
  }
}
