/**
 * Announces this VM in the platform's list of VMs, and looks at that list: soon after the start,
 * when all VMs come, and rarely from then on.
 *
 * @module
 */
import type { Clock } from "heatherarch-core";
import type { VmRecord } from "../model.ts";
import type { WritableTopicPort } from "../ports.ts";

/** Options of {@linkcode VmListFollower}. */
export interface VmListFollowerOptions {
  readonly self: VmRecord;
  readonly vms: WritableTopicPort<VmRecord>;
  readonly clock: Clock;
  /** Whether hubs tell this VM of the fleet: it has little use for the list then. */
  readonly hasFreshFeed: () => boolean;
  readonly onList: (listed: readonly VmRecord[]) => void;
  readonly onFault: (error: unknown) => void;
}

/** All VMs start together: the list is looked at again soon, then rarely. */
const EARLY_LOOKS_MS = [1000, 2500, 4000];
const LOOK_MS = 12_000;
const FED_LOOK_MS = 60_000;
/** Peers don't know a VM that is not listed: it tries again soon. */
const UNLISTED_LOOK_MS = 1000;

/** The task that follows the list of VMs. */
export class VmListFollower {
  readonly #options: VmListFollowerOptions;
  #stopped = false;
  #isAnnounced = false;
  #looks = 0;
  #lookedAtMs = 0;
  /** Ends the rest before the next look. */
  #endRest: (() => void) | undefined;

  constructor(options: VmListFollowerOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#stopped = true;
    this.#endRest?.();
  }

  /** To be called some times a second: looks when it is time. */
  tick(): void {
    const restedMs = this.#options.clock.readMonotonicMs() - this.#lookedAtMs;
    // A VM that hubs tell no more looks soon, although it had put that off.
    if (restedMs >= this.#pickRestMs()) this.#endRest?.();
  }

  /** Takes this VM off the list. */
  async leave(): Promise<void> {
    const { vms, self, onFault } = this.#options;
    try {
      await vms.put(self.id, undefined);
    } catch (error) {
      onFault(error);
    }
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      try {
        await this.#look();
      } catch (error) {
        this.#options.onFault(error);
      }
      await this.#rest();
    }
  }

  async #look(): Promise<void> {
    const { vms, self, onList } = this.#options;
    if (!this.#isAnnounced) await vms.put(self.id, self);
    this.#isAnnounced = true;
    const { entries } = await vms.load();
    onList(entries.map(({ value }) => value).filter((vm) => vm !== undefined));
  }

  async #rest(): Promise<void> {
    if (this.#stopped) return;
    this.#lookedAtMs = this.#options.clock.readMonotonicMs();
    await new Promise<void>((resolve) => {
      this.#endRest = resolve;
    });
    this.#endRest = undefined;
    this.#looks++;
  }

  #pickRestMs(): number {
    if (!this.#isAnnounced) return UNLISTED_LOOK_MS;
    if (this.#options.hasFreshFeed()) return FED_LOOK_MS;
    return EARLY_LOOKS_MS[this.#looks] ?? LOOK_MS;
  }
}
