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
export interface PlacementRequestKind {
  readonly name: string;
  /** Requests a second for each reading engine. */
  readonly rate: number;
  readonly sharedTokens: number;
  readonly uniqueTokens: number;
  readonly aimMs: number;
  readonly lane: number;
  readonly worth: number;
  readonly lateWorth: number;
}

/** Options of {@linkcode simulatePlacement}. */
export interface PlacementSimulationOptions {
  readonly seed: number;
  readonly vms: number;
  /** Engines that read. */
  readonly engines: number;
  readonly seconds: number;
  readonly kinds: readonly PlacementRequestKind[];
  /** Load in the middle third of the time, as a multiple. */
  readonly burst: number;
  /** Age of the sums at their arrival, and the pause between them, milliseconds. */
  readonly digestAgeMs: number;
  readonly digestIntervalMs: number;
  /** Longest wait that a VM adds to an engine in its choice, milliseconds. */
  readonly maxJitterMs: number;
  /** Every VM knows at once what all have given. */
  readonly isOracle?: boolean;
}

/** What a run earned, by kind. */
export interface PlacementSimulationResult {
  /** Share of the worth that was asked for. */
  readonly worth: number;
  readonly onTime: Readonly<Record<string, number>>;
  readonly refused: number;
  /** Work of the engine that read most, in means. */
  readonly busiest: number;
  readonly coldShare: number;
}

interface RunningPrefill {
  readonly vm: number;
  readonly finishAtMs: number;
  readonly costMs: number;
}

interface ArrivedRequest {
  readonly vm: number;
  readonly arrivedAtMs: number;
  readonly kind: PlacementRequestKind;
  readonly prompt: GenerationParams;
}

const STEP_MS = 5;
/** Beginnings that a kind's requests share. */
const PREFIXES_PER_KIND = 400;
const PREFIX_RETENTION_MS = 11_000;
/** From the end of the reading to the first token at the caller, milliseconds. */
const FIRST_TOKEN_DELAY_MS = 45;
const CALLER_TIMEOUT_MS = 1750;
const TRAITS = {
  slots: 64,
  kvTokens: 455_109,
  kvBytesPerToken: 163_840,
  linkMbps: 1_800_000,
  roleChangeMs: 3000,
};

/** Plays one run. */
export function simulatePlacement(
  options: PlacementSimulationOptions,
): PlacementSimulationResult {
  return new PlacementSimulation(options).run();
}

class PlacementSimulation {
  readonly #options: PlacementSimulationOptions;
  readonly #random: Random;
  readonly #clock = new ManualClock();
  readonly #model = new PrefillTimeModel();
  readonly #placer: PromptPlacer;
  readonly #engines: readonly Target[];
  /** Readings in progress by engine, and those of some time ago. */
  readonly #prefills: RunningPrefill[][];
  #history: { atMs: number; prefills: RunningPrefill[][] }[] = [];
  readonly #snapshots: RunningPrefill[][][];
  readonly #queues: PrefillQueue[];
  readonly #jitters: EngineJitter[];
  /** Engines that hold a beginning, with the time of its last use. */
  readonly #prefixUses = new Map<string, Map<string, number>>();
  readonly #prefillMs: number[];
  #offeredWorth = 0;
  #earnedWorth = 0;
  #refusedCount = 0;
  #requestCount = 0;
  #coldCount = 0;
  #prefixedCount = 0;
  readonly #countsByKind = new Map<string, { asked: number; onTime: number }>();

  constructor(options: PlacementSimulationOptions) {
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
    this.#prefills = this.#engines.map(() => []);
    this.#prefillMs = this.#engines.map(() => 0);
    this.#snapshots = Array.from({ length: vms }, () => this.#prefills);
    this.#queues = Array.from(
      { length: vms },
      () => new PrefillQueue({ clock: this.#clock, isTimerEnabled: false }),
    );
    this.#jitters = Array.from({ length: vms }, (_, i) =>
      new EngineJitter({
        vmId: `vm-${i}`,
        drawUnit: () => this.#random.drawUnit(),
        maxMs: options.maxJitterMs,
      }));
  }

  run(): PlacementSimulationResult {
    const { seconds } = this.#options;
    const endMs = seconds * 1000;
    while (this.#nowMs < endMs + CALLER_TIMEOUT_MS) {
      this.#clock.advance(STEP_MS);
      this.#dropFinishedPrefills();
      this.#updateSnapshots();
      if (this.#nowMs < endMs) this.#drawArrivals();
      for (const queue of this.#queues) if (queue.size > 0) queue.dispatch();
    }
    return this.#buildResult();
  }

  get #nowMs(): number {
    return this.#clock.readMonotonicMs();
  }

  #dropFinishedPrefills(): void {
    this.#prefills.forEach((readings, i) => {
      if (readings.length === 0) return;
      this.#prefills[i] = readings.filter((r) => r.finishAtMs > this.#nowMs);
    });
  }

  /** Each VM hears, in turn, what was going on some time ago. */
  #updateSnapshots(): void {
    const { digestAgeMs: ageMs, digestIntervalMs: sumMs, vms } = this.#options;
    this.#history.push({ atMs: this.#nowMs, prefills: [...this.#prefills] });
    const known = this.#history.findLastIndex(({ atMs }) =>
      atMs <= this.#nowMs - ageMs
    );
    if (known > 0) this.#history = this.#history.slice(known);
    if (known < 0) return;
    const turns = sumMs / STEP_MS;
    const turn = Math.round(this.#nowMs / STEP_MS) % turns;
    for (let vm = turn; vm < vms; vm += turns) {
      this.#snapshots[vm] = this.#history[0].prefills;
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
          arrivedAtMs: this.#nowMs,
          kind,
          prompt: this.#drawPrompt(kind),
        });
      }
    }
  }

  #drawPrompt(
    { name, sharedTokens, uniqueTokens: ownTokens }: PlacementRequestKind,
  ): GenerationParams {
    const key = `${name}-${this.#random.drawInteger(0, PREFIXES_PER_KIND - 1)}`;
    const own = Math.round(this.#random.drawExponential(ownTokens));
    return {
      model: "m",
      promptTokens: sharedTokens + own,
      maxOutputTokens: 20,
      parts: [{ id: key, tokens: sharedTokens }, { id: "own", tokens: own }],
    };
  }

  #enqueue(job: ArrivedRequest): void {
    const { kind, arrivedAtMs: atMs, vm, prompt } = job;
    this.#requestCount++;
    this.#offeredWorth += kind.worth;
    const count = this.#countsByKind.get(kind.name) ?? { asked: 0, onTime: 0 };
    count.asked++;
    this.#countsByKind.set(kind.name, count);
    this.#queues[vm].enqueue({
      lane: kind.lane,
      kind: kind.name,
      tokens: prompt.promptTokens,
      waitStartedAtMs: atMs,
      aimMs: kind.aimMs,
      timeoutAtMs: atMs + CALLER_TIMEOUT_MS,
      firstTokenDelayMs: FIRST_TOKEN_DELAY_MS,
      findPlacement: () => this.#findPlacement(job),
      mayPrefillLate: () => true,
      onOutcome: (verdict) => {
        if (verdict.kind === "placed") {
          this.#startPrefill(job, verdict.placed.placement);
        } else this.#refusedCount++;
      },
    });
  }

  #findPlacement({ vm, prompt }: ArrivedRequest): PromptPlacement | undefined {
    const candidates = this.#engines.map((target, i): PrefillCandidate => ({
      target,
      backlogMs: this.#estimateBacklog(vm, i),
    }));
    const key = this.#placer.findPrefixKey(prompt) ?? "";
    const held = this.#prefixUses.get(key) ?? new Map<string, number>();
    const holders = this.#engines.filter(({ id }) =>
      this.#nowMs - (held.get(id) ?? -Infinity) < PREFIX_RETENTION_MS
    );
    return this.#placer.pickEngine(prompt, {
      candidates,
      prefillEngines: this.#engines,
      prefixHolders: holders,
      prefixSources: holders,
      traits: TRAITS,
      drawJitterMs: (target) => this.#jitters[vm].drawMs(target),
    });
  }

  /** Own readings are known at once, those of others from the last sum. */
  #estimateBacklog(vm: number, engine: number): number {
    const now = this.#prefills[engine];
    if (this.#options.isOracle) return sumRemainingMs(now, this.#nowMs);
    const others = this.#snapshots[vm][engine].filter((r) => r.vm !== vm);
    const own = now.filter((r) => r.vm === vm);
    return sumRemainingMs(others, this.#nowMs) +
      sumRemainingMs(own, this.#nowMs);
  }

  #startPrefill(
    { vm, kind, arrivedAtMs: atMs, prompt }: ArrivedRequest,
    placement: PromptPlacement,
  ): void {
    const i = this.#engines.indexOf(placement.target);
    const { costMs } = placement;
    const last = this.#prefills[i].at(-1)?.finishAtMs ?? this.#nowMs;
    const finishAtMs = last + costMs;
    this.#prefills[i] = [...this.#prefills[i], { vm, finishAtMs, costMs }];
    this.#prefillMs[i] += costMs;
    this.#recordPrefixUse(placement, prompt);
    const isOnTime = finishAtMs + FIRST_TOKEN_DELAY_MS <= atMs + kind.aimMs;
    this.#earnedWorth += isOnTime ? kind.worth : kind.lateWorth;
    const count = this.#countsByKind.get(kind.name);
    if (isOnTime && count !== undefined) count.onTime++;
  }

  #recordPrefixUse(placement: PromptPlacement, prompt: GenerationParams): void {
    const key = this.#placer.findPrefixKey(prompt);
    if (key === undefined) return;
    this.#prefixedCount++;
    if (placement.isCold) this.#coldCount++;
    const held = this.#prefixUses.get(key) ?? new Map<string, number>();
    held.set(placement.target.id, this.#nowMs);
    this.#prefixUses.set(key, held);
  }

  #buildResult(): PlacementSimulationResult {
    const mean = this.#prefillMs.reduce((a, b) => a + b, 0) /
      this.#prefillMs.length;
    const onTime: Record<string, number> = {};
    for (const [name, count] of this.#countsByKind) {
      onTime[name] = count.onTime / count.asked;
    }
    return {
      worth: this.#earnedWorth / this.#offeredWorth,
      onTime,
      refused: this.#refusedCount / this.#requestCount,
      busiest: Math.max(...this.#prefillMs) / mean,
      coldShare: this.#coldCount / Math.max(1, this.#prefixedCount),
    };
  }
}

/** What is left to read, milliseconds. */
function sumRemainingMs(
  readings: readonly RunningPrefill[],
  nowMs: number,
): number {
  let leftMs = 0;
  for (const { finishAtMs, costMs } of readings) {
    leftMs += Math.max(0, Math.min(costMs, finishAtMs - nowMs));
  }
  return leftMs;
}
