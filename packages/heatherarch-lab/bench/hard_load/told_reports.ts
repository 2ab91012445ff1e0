/**
 * What simulated VMs tell each other from time to time, and what of it has reached the others.
 *
 * @module
 */

interface ToldReport<T> {
  readonly atMs: number;
  readonly report: T;
}

/**
 * Reports of each VM. Once one VM knows a report, those before it are dropped for all, so a VM whose
 * information is older misses the reporting VM until its next look.
 */
export class ToldReports<T> {
  /** Reports by VM, oldest first. */
  readonly #told: ToldReport<T>[][];

  constructor(vms: number) {
    this.#told = Array.from({ length: vms }, () => []);
  }

  /** Records what a VM tells. */
  record(vm: number, atMs: number, report: T): void {
    this.#told[vm].push({ atMs, report });
  }

  /** Takes what the VMs other than `vm` had told last by a time. */
  takeOthers(vm: number, atMs: number): T[] {
    const reports: T[] = [];
    this.#told.forEach((told, other) => {
      while (told.length > 1 && told[1].atMs <= atMs) told.shift();
      if (other === vm || told.length === 0 || told[0].atMs > atMs) return;
      reports.push(told[0].report);
    });
    return reports;
  }
}
