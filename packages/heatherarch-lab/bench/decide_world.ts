/**
 * A model of many VMs that place prompts at engines by what they know of each other, without
 * network and faster than time. The decisions are the product's own: queue, placement, read model.
 *
 * What is modelled: arrivals by kind with bursts, engines that read first come, first served, the
 * age of the sums by which VMs know of each other's work, caches that keep a beginning for a time.
 * What is not: generating, faults, and messages that get lost.
 *
 * @module
 */
import { ManualClock, Random } from "heatherarch-core";
import {
  EngineJitter,
  type GenerationParams,
  type PrefillCandidate,
  PrefillQueue,
  PrefillTimeModel,
  type PromptPlacement,
  PromptPlacer,
  type Target,
} from "heatherarch-forward";

/** A kind of request. */
export interface DecideKind {
  readonly name: string;
  /** Requests a second for each reading engine. */
  readonly rate: number;
  readonly sharedTokens: number;
  readonly ownTokens: number;
  readonly aimMs: number;
  readonly lane: number;
  readonly worth: number;
  readonly lateWorth: number;
}

/** Options of {@linkcode playDecisions}. */
export interface DecideOptions {
  readonly seed: number;
  readonly vms: number;
  /** Engines that read. */
  readonly engines: number;
  readonly seconds: number;
  readonly kinds: readonly DecideKind[];
  /** Load in the middle third of the time, as a multiple. */
  readonly burst: number;
  /** Age of the sums at their arrival, and the pause between them, milliseconds. */
  readonly ageMs: number;
  readonly sumMs: number;
  /** Longest wait that a VM adds to an engine in its choice, milliseconds. */
  readonly spreadMs: number;
  /** Every VM knows at once what all have given. */
  readonly isOracle?: boolean;
}

/** What a run earned, by kind. */
export interface DecideResult {
  /** Share of the worth that was asked for. */
  readonly worth: number;
  readonly onTime: Readonly<Record<string, number>>;
  readonly refused: number;
  /** Work of the engine that read most, in means. */
  readonly busiest: number;
  readonly coldShare: number;
}

interface Reading {
  readonly vm: number;
  readonly finishAtMs: number;
  readonly costMs: number;
}

interface Job {
  readonly vm: number;
  readonly atMs: number;
  readonly kind: DecideKind;
  readonly prompt: GenerationParams;
}

const STEP_MS = 5;
/** Beginnings that a kind's requests share. */
const BEGINNINGS = 400;
const KEPT_MS = 11_000;
/** From the end of the reading to the first token at the caller, milliseconds. */
const TAIL_MS = 45;
const PATIENCE_MS = 1750;
const TRAITS = {
  slots: 64,
  kvTokens: 455_109,
  kvBytesPerToken: 163_840,
  linkMbps: 1_800_000,
  roleChangeMs: 3000,
};

/** Plays one run. */
export function playDecisions(options: DecideOptions): DecideResult {
  return new DecideWorld(options).play();
}

class DecideWorld {
  readonly #options: DecideOptions;
  readonly #random: Random;
  readonly #clock = new ManualClock();
  readonly #model = new PrefillTimeModel();
  readonly #placer: PromptPlacer;
  readonly #engines: readonly Target[];
  /** Readings in progress by engine, and those of some time ago. */
  readonly #readings: Reading[][];
  #seen: { atMs: number; readings: Reading[][] }[] = [];
  readonly #snapshotOf: Reading[][][];
  readonly #queues: PrefillQueue[];
  readonly #spreads: EngineJitter[];
  /** Engines that hold a beginning, with the time of its last use. */
  readonly #held = new Map<string, Map<string, number>>();
  readonly #readMs: number[];
  #asked = 0;
  #earned = 0;
  #refused = 0;
  #calls = 0;
  #cold = 0;
  #long = 0;
  readonly #byKind = new Map<string, { asked: number; onTime: number }>();

  constructor(options: DecideOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
    this.#placer = new PromptPlacer({ model: this.#model });
    const { vms, engines } = options;
    this.#engines = Array.from({ length: engines }, (_, i): Target => ({
      id: `engine-${i}`,
      service: "s",
      address: "127.0.0.1:1",
      availabilityZone: `zone-${i % 3}`,
      slots: TRAITS.slots,
      leaving: false,
      role: "prefill",
    }));
    this.#readings = this.#engines.map(() => []);
    this.#readMs = this.#engines.map(() => 0);
    this.#snapshotOf = Array.from({ length: vms }, () => this.#readings);
    this.#queues = Array.from(
      { length: vms },
      () => new PrefillQueue({ clock: this.#clock, isTimerEnabled: false }),
    );
    this.#spreads = Array.from({ length: vms }, (_, i) =>
      new EngineJitter({
        vmId: `vm-${i}`,
        drawUnit: () => this.#random.drawUnit(),
        maxMs: options.spreadMs,
      }));
  }

  play(): DecideResult {
    const { seconds } = this.#options;
    const endMs = seconds * 1000;
    while (this.#nowMs < endMs + PATIENCE_MS) {
      this.#clock.advance(STEP_MS);
      this.#endReadings();
      this.#tellSums();
      if (this.#nowMs < endMs) this.#drawArrivals();
      for (const queue of this.#queues) if (queue.size > 0) queue.dispatch();
    }
    return this.#report();
  }

  get #nowMs(): number {
    return this.#clock.readMonotonicMs();
  }

  #endReadings(): void {
    this.#readings.forEach((readings, i) => {
      if (readings.length === 0) return;
      this.#readings[i] = readings.filter((r) => r.finishAtMs > this.#nowMs);
    });
  }

  /** Each VM hears, in turn, what was going on some time ago. */
  #tellSums(): void {
    const { ageMs, sumMs, vms } = this.#options;
    this.#seen.push({ atMs: this.#nowMs, readings: [...this.#readings] });
    const known = this.#seen.findLastIndex(({ atMs }) =>
      atMs <= this.#nowMs - ageMs
    );
    if (known > 0) this.#seen = this.#seen.slice(known);
    if (known < 0) return;
    const turns = sumMs / STEP_MS;
    const turn = Math.round(this.#nowMs / STEP_MS) % turns;
    for (let vm = turn; vm < vms; vm += turns) {
      this.#snapshotOf[vm] = this.#seen[0].readings;
    }
  }

  #drawArrivals(): void {
    const { kinds, engines, seconds, burst, vms } = this.#options;
    const third = this.#nowMs / (seconds * 1000);
    const factor = third > 1 / 3 && third < 2 / 3 ? burst : 1;
    for (const kind of kinds) {
      let expected = kind.rate * engines * factor * STEP_MS / 1000;
      for (; expected > 0; expected--) {
        if (this.#random.drawUnit() >= expected) continue;
        this.#enqueue({
          vm: this.#random.drawInteger(0, vms - 1),
          atMs: this.#nowMs,
          kind,
          prompt: this.#drawPrompt(kind),
        });
      }
    }
  }

  #drawPrompt({ name, sharedTokens, ownTokens }: DecideKind): GenerationParams {
    const key = `${name}-${this.#random.drawInteger(0, BEGINNINGS - 1)}`;
    const own = Math.round(this.#random.drawExponential(ownTokens));
    return {
      model: "m",
      promptTokens: sharedTokens + own,
      maxOutputTokens: 20,
      parts: [{ id: key, tokens: sharedTokens }, { id: "own", tokens: own }],
    };
  }

  #enqueue(job: Job): void {
    const { kind, atMs, vm, prompt } = job;
    this.#calls++;
    this.#asked += kind.worth;
    const count = this.#byKind.get(kind.name) ?? { asked: 0, onTime: 0 };
    count.asked++;
    this.#byKind.set(kind.name, count);
    this.#queues[vm].enqueue({
      lane: kind.lane,
      kind: kind.name,
      tokens: prompt.promptTokens,
      waitStartedAtMs: atMs,
      aimMs: kind.aimMs,
      timeoutAtMs: atMs + PATIENCE_MS,
      firstTokenDelayMs: TAIL_MS,
      findPlacement: () => this.#place(job),
      mayPrefillLate: () => true,
      onOutcome: (verdict) => {
        if (verdict.kind === "placed") {
          this.#read(job, verdict.placed.placement);
        } else this.#refused++;
      },
    });
  }

  #place({ vm, prompt }: Job): PromptPlacement | undefined {
    const candidates = this.#engines.map((target, i): PrefillCandidate => ({
      target,
      backlogMs: this.#estimateBacklog(vm, i),
    }));
    const key = this.#placer.findPrefixKey(prompt) ?? "";
    const held = this.#held.get(key) ?? new Map<string, number>();
    const holders = this.#engines.filter(({ id }) =>
      this.#nowMs - (held.get(id) ?? -Infinity) < KEPT_MS
    );
    return this.#placer.pickEngine(prompt, {
      candidates,
      prefillEngines: this.#engines,
      prefixHolders: holders,
      prefixSources: holders,
      traits: TRAITS,
      drawJitterMs: (target) => this.#spreads[vm].drawMs(target),
    });
  }

  /** Own readings are known at once, those of others from the last sum. */
  #estimateBacklog(vm: number, engine: number): number {
    const now = this.#readings[engine];
    if (this.#options.isOracle) return sumLeft(now, this.#nowMs);
    const others = this.#snapshotOf[vm][engine].filter((r) => r.vm !== vm);
    const own = now.filter((r) => r.vm === vm);
    return sumLeft(others, this.#nowMs) + sumLeft(own, this.#nowMs);
  }

  #read({ vm, kind, atMs, prompt }: Job, placement: PromptPlacement): void {
    const i = this.#engines.indexOf(placement.target);
    const { costMs } = placement;
    const last = this.#readings[i].at(-1)?.finishAtMs ?? this.#nowMs;
    const finishAtMs = last + costMs;
    this.#readings[i] = [...this.#readings[i], { vm, finishAtMs, costMs }];
    this.#readMs[i] += costMs;
    this.#noteHeld(placement, prompt);
    const isOnTime = finishAtMs + TAIL_MS <= atMs + kind.aimMs;
    this.#earned += isOnTime ? kind.worth : kind.lateWorth;
    const count = this.#byKind.get(kind.name);
    if (isOnTime && count !== undefined) count.onTime++;
  }

  #noteHeld(placement: PromptPlacement, prompt: GenerationParams): void {
    const key = this.#placer.findPrefixKey(prompt);
    if (key === undefined) return;
    this.#long++;
    if (placement.isCold) this.#cold++;
    const held = this.#held.get(key) ?? new Map<string, number>();
    held.set(placement.target.id, this.#nowMs);
    this.#held.set(key, held);
  }

  #report(): DecideResult {
    const mean = this.#readMs.reduce((a, b) => a + b, 0) / this.#readMs.length;
    const onTime: Record<string, number> = {};
    for (const [name, count] of this.#byKind) {
      onTime[name] = count.onTime / count.asked;
    }
    return {
      worth: this.#earned / this.#asked,
      onTime,
      refused: this.#refused / this.#calls,
      busiest: Math.max(...this.#readMs) / mean,
      coldShare: this.#cold / Math.max(1, this.#long),
    };
  }
}

/** What is left to read, milliseconds. */
function sumLeft(readings: readonly Reading[], nowMs: number): number {
  let leftMs = 0;
  for (const { finishAtMs, costMs } of readings) {
    leftMs += Math.max(0, Math.min(costMs, finishAtMs - nowMs));
  }
  return leftMs;
}
