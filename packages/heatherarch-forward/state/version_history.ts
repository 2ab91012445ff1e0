/**
 * Knows which software versions the targets of a service have had of late. A stream that is taken up
 * may have begun at a version that is no longer listed, so the list of now does not tell.
 *
 * The module has no clock: each observation carries the time.
 *
 * @module
 */
import type { KeyedEntry } from "../ports.ts";
import type { Target } from "../model.ts";
import type { TargetDirectory } from "./target_directory.ts";

/** Options of {@linkcode VersionHistory}. */
export interface VersionHistoryOptions {
  readonly directory: Pick<
    TargetDirectory,
    "listAll" | "listChanges" | "validAtMs"
  >;
  /** Age up to which the target list is current, milliseconds. */
  readonly maxListAgeMs: number;
}

/** Undefined for targets that name no version. */
type SoftwareVersion = string | undefined;

/** A version, and when it was last listed. */
export interface ObservedVersion {
  readonly softwareVersion: SoftwareVersion;
  readonly atMs: number;
}

/** The software versions that this VM has seen in its target list. */
export class VersionHistory {
  readonly #options: VersionHistoryOptions;
  /** Time at which each version was last listed, by service. */
  #lastListedAtMs = new Map<string, Map<SoftwareVersion, number>>();
  /** Targets at the last observation. */
  #listed: readonly Target[] = [];
  #changeCursor: number | undefined;
  #validAtMs = -Infinity;
  /** Time from which on the list has been known without a gap. */
  #knownSinceMs = Infinity;

  constructor(options: VersionHistoryOptions) {
    this.#options = options;
  }

  /** Observes the target list. To be called several times a second. */
  observe(nowMs: number): void {
    const { directory, maxListAgeMs } = this.#options;
    const { validAtMs } = directory;
    if (validAtMs - this.#validAtMs > maxListAgeMs) this.#knownSinceMs = nowMs;
    this.#validAtMs = validAtMs;
    const changes = directory.listChanges(this.#changeCursor);
    this.#changeCursor = changes.cursor;
    // A target that left since the last observation may have served until now.
    this.#recordListed(this.#listed, nowMs);
    this.#recordListed(listValues(changes.entries), nowMs);
    this.#listed = directory.listAll();
    this.#recordListed(this.#listed, nowMs);
  }

  /** Forgets since when the list has been known, as the store came back from a copy. */
  handleRestoration(nowMs: number): void {
    this.#knownSinceMs = nowMs;
  }

  /** Whether this VM's list is current. */
  isCurrent(nowMs: number): boolean {
    return nowMs - this.#validAtMs <= this.#options.maxListAgeMs;
  }

  /** Whether this VM's list contains all that was listed at the monotonic time `atMs`. */
  isReadSince(atMs: number): boolean {
    return this.#validAtMs >= atMs;
  }

  /** Age up to which the list is current, milliseconds. */
  get maxListAgeMs(): number {
    return this.#options.maxListAgeMs;
  }

  /** Whether this VM's list has been known without a gap for the last `periodMs`. */
  hasHistory(periodMs: number, nowMs: number): boolean {
    return nowMs - this.#knownSinceMs >= periodMs;
  }

  /** Lists the versions that targets of a service were seen with in the last `periodMs`. */
  listVersions(
    service: string,
    periodMs: number,
    nowMs: number,
  ): ObservedVersion[] {
    return [...this.#lastListedAtMs.get(service) ?? []]
      .map(([softwareVersion, atMs]) => ({ softwareVersion, atMs }))
      .filter(({ atMs }) => nowMs - atMs <= periodMs);
  }

  /** Drops what was last listed more than `periodMs` ago. */
  expire(nowMs: number, periodMs: number): void {
    for (const [service, versions] of this.#lastListedAtMs) {
      for (const [version, atMs] of versions) {
        if (nowMs - atMs > periodMs) versions.delete(version);
      }
      if (versions.size === 0) this.#lastListedAtMs.delete(service);
    }
  }

  #recordListed(targets: readonly Target[], nowMs: number): void {
    for (const { service, softwareVersion } of targets) {
      const versions = this.#lastListedAtMs.get(service) ?? new Map();
      this.#lastListedAtMs.set(service, versions.set(softwareVersion, nowMs));
    }
  }
}

function listValues(entries: readonly KeyedEntry<Target>[]): Target[] {
  return entries.flatMap(({ value }) => value === undefined ? [] : [value]);
}
