import assert from "node:assert/strict";
import { test } from "node:test";
import { hashApiKey } from "heatherarch-accounts";
import {
  ManualClock,
  type Moment,
  readMoment,
  subtractFromMoment,
} from "heatherarch-core";
import {
  AccountAdmission,
  ActiveConfig,
  type ForwardedCall,
  planConfigReads,
} from "../../mod.ts";
import { buildConfig, buildRoute } from "./fixtures.ts";

const BOUND_MS = 5000;
const STEP_MS = 10;
const HUB_HEARTBEAT_MS = 100;
const VM_HEARTBEAT_MS = 250;
const TIMING = planConfigReads({
  configBoundMs: 3000,
  configWaitMs: 1500,
  requestTimeoutMs: 1500,
  revokeBoundMs: BOUND_MS,
});
const CALL: ForwardedCall = {
  id: "c",
  method: "GET",
  path: "/a/x",
  host: "a.example",
  headers: [],
  body: Buffer.alloc(0),
  arrivedAtMs: 0,
  apiKey: "key",
};

/** What happens to the store, to the link between hub and VM, and to the VM. */
interface Script {
  /** The store does not respond in this time, milliseconds. */
  readonly outage: readonly [number, number];
  /** Messages between hub and VM are held back in this time. */
  readonly cut: readonly [number, number];
  /** The VM is suspended in this time: its monotonic clock stands still. */
  readonly suspension: readonly [number, number];
  readonly revokedAtMs: number;
  readonly lengthMs: number;
}

const NEVER = [Infinity, Infinity] as const;
const BASE: Script = {
  outage: NEVER,
  cut: NEVER,
  suspension: NEVER,
  revokedAtMs: 4000,
  lengthMs: 14_000,
};

/** A read in progress at the hub. */
interface Read {
  readonly sentAt: Moment;
  readonly sentAtMs: number;
  /** Whether the store has it in an outage, so that it is never answered. */
  isLost: boolean;
}

function isWithin(ms: number, [from, to]: readonly [number, number]): boolean {
  return ms >= from && ms < to;
}

/** A store whose second version revokes the key, a hub that reads it, and a VM that the hub tells. */
class Simulation {
  readonly #script: Script;
  readonly #hubClock = new ManualClock();
  readonly #vmClock = new ManualClock();
  readonly #hub: ActiveConfig;
  readonly #vm: ActiveConfig;
  readonly #admission: AccountAdmission;
  #read: Read | undefined;
  #retryAtMs = 0;
  #nowMs = 0;
  /** Moments at which the VM sent heartbeats that the hub has received. */
  #heardFromVm: Moment | undefined;
  readonly #toHub: { arriveMs: number; sentAt: Moment }[] = [];
  readonly #toVm: { arriveMs: number; deliver: () => void }[] = [];
  /** Times at which the VM admitted a call, milliseconds. */
  readonly admitted: number[] = [];

  constructor(script: Script) {
    this.#script = script;
    this.#hub = new ActiveConfig({ clock: this.#hubClock });
    this.#vm = new ActiveConfig({ clock: this.#vmClock });
    this.#admission = new AccountAdmission({
      activeConfig: this.#vm,
      revokeBoundMs: BOUND_MS,
      drawUnit: () => 0,
    });
  }

  run(): number[] {
    for (; this.#nowMs < this.#script.lengthMs; this.#nowMs += STEP_MS) {
      this.#hubClock.advance(STEP_MS);
      const isSuspended = isWithin(this.#nowMs, this.#script.suspension);
      if (isSuspended) this.#vmClock.suspend(STEP_MS);
      else this.#vmClock.advance(STEP_MS);
      this.#stepHub();
      if (!isSuspended) this.#stepVm();
    }
    return this.admitted;
  }

  get #storeVersion(): number {
    return this.#nowMs >= this.#script.revokedAtMs ? 2 : 1;
  }

  #stepHub(): void {
    const isDown = isWithin(this.#nowMs, this.#script.outage);
    if (this.#read === undefined && this.#nowMs >= this.#retryAtMs) {
      this.#read = {
        sentAt: readMoment(this.#hubClock),
        sentAtMs: this.#nowMs,
        isLost: isDown,
      };
    }
    if (this.#read !== undefined) this.#stepRead(this.#read, isDown);
    while (this.#toHub.length > 0 && this.#toHub[0].arriveMs <= this.#nowMs) {
      this.#heardFromVm = this.#toHub.shift()?.sentAt;
    }
    if (this.#nowMs % HUB_HEARTBEAT_MS === 0) this.#sendDigest();
  }

  #stepRead(read: Read, isDown: boolean): void {
    if (isDown) read.isLost = true;
    const heldMs = this.#nowMs - read.sentAtMs;
    const isAnswered = !read.isLost &&
      (heldMs >= TIMING.waitMs || this.#storeVersion > this.#hub.version);
    if (isAnswered) {
      this.#hub.applyConfig(buildVersion(this.#storeVersion), "store");
      this.#hub.recordNewest(this.#hub.version, read.sentAt);
      this.#read = undefined;
    } else if (heldMs >= TIMING.waitMs + TIMING.answerMs) {
      this.#read = undefined;
      this.#retryAtMs = this.#nowMs + TIMING.retryMs;
    }
  }

  #sendDigest(): void {
    const { version } = this.#hub;
    const ageMs = this.#hub.getAgeMs();
    const heardAfter = this.#heardFromVm;
    if (heardAfter === undefined || version < 0) return;
    this.#toVm.push({
      arriveMs: this.#computeArrivalMs(),
      deliver: () => {
        this.#vm.applyConfig(buildVersion(version), "hub");
        this.#vm.recordNewest(version, subtractFromMoment(heardAfter, ageMs));
      },
    });
  }

  #stepVm(): void {
    while (this.#toVm.length > 0 && this.#toVm[0].arriveMs <= this.#nowMs) {
      // A call that is read before the messages that have waited is decided by old knowledge.
      this.#tryCall();
      this.#toVm.shift()?.deliver();
    }
    this.#tryCall();
    if (this.#nowMs % VM_HEARTBEAT_MS !== 0) return;
    this.#toHub.push({
      arriveMs: this.#computeArrivalMs(),
      sentAt: readMoment(this.#vmClock),
    });
  }

  #computeArrivalMs(): number {
    const { cut } = this.#script;
    return isWithin(this.#nowMs, cut) ? cut[1] : this.#nowMs + STEP_MS;
  }

  #tryCall(): void {
    try {
      this.#admission.admit(CALL, buildRoute());
      this.admitted.push(this.#nowMs);
    } catch {
      // Rejected; the test looks at what was admitted.
    }
  }
}

function buildVersion(version: number) {
  const keyDigests = version === 1 ? [hashApiKey("key")] : [];
  return buildConfig({ version, accounts: [{ name: "a", keyDigests }] });
}

/** Runs a script for each phase of its faults against the reads and heartbeats. */
function runPhases(build: (phaseMs: number) => Partial<Script>): number[][] {
  const runs: number[][] = [];
  for (let phaseMs = 0; phaseMs < TIMING.waitMs; phaseMs += 50) {
    const script = { ...BASE, ...build(phaseMs) };
    const admitted = new Simulation(script).run();
    const last = admitted.at(-1) ?? 0;
    assert.ok(
      last < script.revokedAtMs + BOUND_MS,
      `phase ${phaseMs}: ${last}`,
    );
    runs.push(admitted);
  }
  return runs;
}

test("a key that is revoked as the store falls silent is unused after the bound", () => {
  for (const lastsMs of [1500, 3000, 4500, 9000]) {
    runPhases((phaseMs) => ({
      outage: [3990 + phaseMs, 3990 + phaseMs + lastsMs],
      revokedAtMs: 4000 + phaseMs,
    }));
  }
});

test("a key that is revoked during a cut between hub and VM is unused after the bound", () => {
  for (const lastsMs of [2000, 5500, 8000]) {
    runPhases((phaseMs) => ({
      cut: [3500 + phaseMs, 3500 + phaseMs + lastsMs],
    }));
  }
});

test("a key that is revoked while the VM is suspended is unused after the bound", () => {
  for (const lastsMs of [1000, 4000, 6000]) {
    runPhases((phaseMs) => ({
      suspension: [3800 + phaseMs, 3800 + phaseMs + lastsMs],
      cut: [3800 + phaseMs, 3800 + phaseMs + lastsMs],
    }));
  }
});

test("keys stay usable for more than half of the bound while the store is silent", () => {
  const runs = runPhases((phaseMs) => ({
    outage: [3000 + phaseMs, 9000 + phaseMs],
    revokedAtMs: 100_000,
  }));
  for (const [i, admitted] of runs.entries()) {
    const outageStartMs = 3000 + i * 50;
    const lastInOutage = admitted.filter((ms) => ms < outageStartMs + 5900)
      .at(-1) ?? 0;
    const usableMs = lastInOutage - outageStartMs;
    assert.ok(usableMs > BOUND_MS / 2 && usableMs < BOUND_MS, `${usableMs}`);
  }
});
