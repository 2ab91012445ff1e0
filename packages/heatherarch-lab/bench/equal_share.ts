/**
 * A way to share limits that models compare with the one in use.
 *
 * @module
 */
import type { FleetShare } from "heatherarch-forward";

/** Options of {@linkcode EqualShare}. */
export interface EqualShareOptions {
  /** VMs that share the limits. */
  readonly vms: number;
}

/** Gives each VM the same share, whatever it receives. */
export class EqualShare implements FleetShare {
  readonly #options: EqualShareOptions;

  constructor(options: EqualShareOptions) {
    this.#options = options;
  }

  computeShare(): number {
    return 1 / this.#options.vms;
  }
}
