/**
 * The software versions that targets had, as recorded in the platform's store. The records survive
 * the loss of all VMs.
 *
 * The module has no clock: each call carries the time. Ends are Unix times, and the clocks of VMs may
 * differ, so a version counts for a margin longer.
 *
 * @module
 */
import type { KeyedEntry, VersionCoverage, VersionRecord } from "../ports.ts";

/** A version that targets of a service have, or had until `endedAtUnixMs`. */
export type VersionLife = Extract<VersionRecord, { readonly kind: "life" }>;

/** Difference of the clocks of two VMs that is tolerated, milliseconds. */
export const CLOCK_MARGIN_MS = 10_000;
/** Age up to which the records that a VM has read are used to conclude, milliseconds. */
export const MAX_RECORDS_AGE_MS = 500;
/** Time after which no VM concludes from records without a new one, milliseconds. */
const SETTLE_MS = MAX_RECORDS_AGE_MS + 100;
/** Key of the record that tells since when versions are recorded. */
export const COVERAGE_KEY = "coverage";

/** Builds the key under which a version of a service is recorded. */
export function buildLifeKey(service: string, softwareVersion: string): string {
  return `life:${JSON.stringify([service, softwareVersion])}`;
}

/** The records, as this VM last read them. */
export class VersionLives {
  #lives = new Map<string, VersionLife>();
  /** Time since when this VM has read that targets have a version. */
  #recordedSinceMs = new Map<string, number>();
  #coverage: VersionCoverage | undefined;
  #epoch = 0;
  #isLoaded = false;

  /** Whether the records have been read from the store that responds now. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /** Since when all versions are recorded in this epoch of the store; undefined if they aren't. */
  get coverage(): VersionCoverage | undefined {
    return this.#coverage?.epoch === this.#epoch ? this.#coverage : undefined;
  }

  /** Epoch of the store from which the records were read. */
  get epoch(): number {
    return this.#epoch;
  }

  /** Replaces all records. Those of an earlier epoch are obsolete. */
  applyList(
    entries: readonly KeyedEntry<VersionRecord>[],
    epoch: number,
    nowMs: number,
  ): void {
    if (epoch < this.#epoch) return;
    this.#isLoaded = true;
    this.#epoch = epoch;
    this.#coverage = undefined;
    this.#lives = new Map();
    for (const { key, value } of entries) {
      if (value?.kind === "life") this.#lives.set(key, value);
      if (value?.kind === "coverage") this.#coverage = value;
    }
    this.#recordedSinceMs = new Map(
      this.list().filter(({ endedAtUnixMs }) => endedAtUnixMs === undefined)
        .map(({ service, softwareVersion }) => {
          const key = buildLifeKey(service, softwareVersion);
          return [key, this.#recordedSinceMs.get(key) ?? nowMs];
        }),
    );
  }

  /** Forgets the records, as the store came back from a copy that may lack some. */
  handleRestoration(epoch: number): void {
    this.#isLoaded = false;
    this.#epoch = epoch;
    this.#recordedSinceMs.clear();
  }

  /** Lists all recorded versions. */
  list(): VersionLife[] {
    return [...this.#lives.values()];
  }

  /** Finds the record of a version. */
  findLife(service: string, softwareVersion: string): VersionLife | undefined {
    return this.#lives.get(buildLifeKey(service, softwareVersion));
  }

  /** Whether any VM that reads the records now or later finds this version among them. */
  isRecorded(
    service: string,
    softwareVersion: string | undefined,
    nowMs: number,
  ): boolean {
    if (softwareVersion === undefined) return false;
    const key = buildLifeKey(service, softwareVersion);
    const sinceMs = this.#recordedSinceMs.get(key) ?? Infinity;
    return nowMs - sinceMs >= SETTLE_MS;
  }

  /** Whether all versions are recorded that targets had in the last `periodMs`. */
  hasCoverage(periodMs: number, nowUnixMs: number): boolean {
    if (!this.#isLoaded || this.coverage === undefined) return false;
    const sinceMs = nowUnixMs - periodMs - CLOCK_MARGIN_MS;
    return this.coverage.sinceUnixMs <= sinceMs;
  }

  /** Lists the versions that targets of a service may have had in the last `periodMs`. */
  listVersions(
    service: string,
    periodMs: number,
    nowUnixMs: number,
  ): string[] {
    return this.list()
      .filter((life) => life.service === service)
      .filter((life) => !hasEndedBefore(life, periodMs, nowUnixMs))
      .map(({ softwareVersion }) => softwareVersion);
  }
}

/** Whether a version ended more than `periodMs` ago by any VM's clock. */
export function hasEndedBefore(
  { endedAtUnixMs = Infinity }: VersionLife,
  periodMs: number,
  nowUnixMs: number,
): boolean {
  return endedAtUnixMs < nowUnixMs - periodMs - CLOCK_MARGIN_MS;
}
