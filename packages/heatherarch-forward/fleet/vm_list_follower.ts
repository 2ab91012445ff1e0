/**
 * Announces this VM in the platform's VM list and polls that list: often after the start, when all
 * VMs join, and rarely later. A store that came back from a copy may lack the entry.
 *
 * @module
 */
import type { Clock } from "heatherarch-core";
import type { VmRecord } from "../model.ts";
import type { KeyedEntry, WritableTopicPort } from "../ports.ts";

/** Options of {@linkcode VmListFollower}. */
export interface VmListFollowerOptions {
  readonly self: VmRecord;
  readonly vms: WritableTopicPort<VmRecord>;
  readonly clock: Clock;
  /** Whether hubs inform this VM about the fleet, so that it rarely needs the list. */
  readonly hasFreshFeed: () => boolean;
  /** Called with the VMs of each list that was read. */
  readonly onList: (listed: readonly VmRecord[]) => void;
  /** Called with all entries of each list that was read, before the VMs. */
  readonly onEntries?: (entries: readonly KeyedEntry<VmRecord>[]) => void;
  /** Called when the list could not be read or written. */
  readonly onError: (error: unknown) => void;
}

/** Pauses between the first polls. VMs that start together appear in the list soon. */
const STARTUP_POLL_INTERVALS_MS = [1000, 2500, 4000];
const POLL_INTERVAL_MS = 12_000;
const POLL_INTERVAL_WITH_FEED_MS = 60_000;
/** Peers don't know a VM that is not listed, so it retries soon. */
const UNLISTED_POLL_INTERVAL_MS = 1000;

/** The task that follows the VM list. */
export class VmListFollower {
  readonly #options: VmListFollowerOptions;
  #stopped = false;
  #hasLeft = false;
  #isAnnounced = false;
  #pollCount = 0;
  #polledAtMs = 0;
  /** Ends the pause before the next poll. */
  #endPause: (() => void) | undefined;

  constructor(options: VmListFollowerOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#stopped = true;
    this.#endPause?.();
  }

  /** Polls the list when due. To be called several times a second. */
  tick(): void {
    const pausedMs = this.#options.clock.readMonotonicMs() - this.#polledAtMs;
    // The pause is computed anew, since it shortens when hubs no longer inform this VM.
    if (pausedMs >= this.#pickPauseMs()) this.#endPause?.();
  }

  /** Polls the list as often as after the start, as the store came back from a copy. */
  handleRestoration(): void {
    this.#pollCount = 0;
    this.#endPause?.();
  }

  /** Removes this VM from the list. */
  async leave(): Promise<void> {
    const { vms, self, onError } = this.#options;
    this.#hasLeft = true;
    try {
      await vms.put(self.id, undefined);
    } catch (error) {
      onError(error);
    }
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      try {
        await this.#poll();
      } catch (error) {
        this.#options.onError(error);
      }
      await this.#pause();
    }
  }

  async #poll(): Promise<void> {
    const { vms, self, onList, onEntries } = this.#options;
    if (this.#hasLeft) return;
    if (!this.#isAnnounced) await vms.put(self.id, self);
    this.#isAnnounced = true;
    const { entries } = await vms.load();
    this.#isAnnounced = entries.some(({ key, value }) =>
      key === self.id && value?.incarnation === self.incarnation
    );
    onEntries?.(entries);
    onList(entries.map(({ value }) => value).filter((vm) => vm !== undefined));
  }

  async #pause(): Promise<void> {
    if (this.#stopped) return;
    this.#polledAtMs = this.#options.clock.readMonotonicMs();
    await new Promise<void>((resolve) => {
      this.#endPause = resolve;
    });
    this.#endPause = undefined;
    this.#pollCount++;
  }

  #pickPauseMs(): number {
    if (!this.#isAnnounced) return UNLISTED_POLL_INTERVAL_MS;
    if (this.#options.hasFreshFeed()) return POLL_INTERVAL_WITH_FEED_MS;
    return STARTUP_POLL_INTERVALS_MS[this.#pollCount] ?? POLL_INTERVAL_MS;
  }
}
