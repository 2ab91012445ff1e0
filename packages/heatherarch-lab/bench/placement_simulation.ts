/**
 * Simulates many VMs that place prompts on engines, each with its own knowledge of the other VMs'
 * work. The simulation runs in simulated time without a network. Prefill queue, placement and
 * prefill time model are those of the product.
 *
 * The simulation covers arrivals by kind of request with a burst, engines that prefill in order of
 * arrival, the age of the digests through which VMs know of each other's work, and caches that
 * retain a prefix for a fixed time. Decode, faults and lost messages are not simulated.
 *
 * @module
 */
import { ManualClock, Random } from "heatherarch-core";
import {
  CallQueue,
  EngineJitter,
  type GenerationParams,
  type PrefillCandidate,
  PrefillTimeModel,
  type PromptPlacement,
  PromptPlacer,
  type Target,
} from "heatherarch-forward";

/** A kind of request. */
export interface PlacementRequestKind {
  readonly name: string;
  /** Requests per second for each prefill engine. */
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
  /** Number of prefill engines. */
  readonly engines: number;
  readonly seconds: number;
  readonly kinds: readonly PlacementRequestKind[];
  /** Factor by which the load is higher in the middle third of the time. */
  readonly burst: number;
  /** Age of the digests when they arrive, in milliseconds. */
  readonly digestAgeMs: number;
  /** Interval between digests, in milliseconds. */
  readonly digestIntervalMs: number;
  /** Longest jitter that a VM adds to its estimate of an engine, in milliseconds. */
  readonly maxJitterMs: number;
  /** Whether every VM knows the current work of all VMs without delay. */
  readonly isOracle?: boolean;
}

/** Result of a simulation. */
export interface PlacementSimulationResult {
  /** Earned share of the offered worth. */
  readonly worth: number;
  /** Share of requests on time, by kind. */
  readonly onTime: Readonly<Record<string, number>>;
  readonly refused: number;
  /** Prefill time of the busiest engine as a multiple of the mean over all engines. */
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
const PREFIXES_PER_KIND = 400;
const PREFIX_RETENTION_MS = 11_000;
/** Time from the end of the prefill to the first token at the client. */
const FIRST_TOKEN_DELAY_MS = 45;
const CLIENT_TIMEOUT_MS = 1750;
const TRAITS = {
  slots: 64,
  kvTokens: 455_109,
  kvBytesPerToken: 163_840,
  linkMbps: 1_800_000,
  roleChangeMs: 3000,
};

/** Runs one simulation. */
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
  /** Prefills in progress, by engine. */
  readonly #prefills: RunningPrefill[][];
  /** Earlier values of `#prefills`, oldest first. */
  #history: { atMs: number; prefills: RunningPrefill[][] }[] = [];
  /** For each VM, the prefills of all VMs as it knows them from its last digest. */
  readonly #snapshots: RunningPrefill[][][];
  readonly #queues: CallQueue[];
  readonly #jitters: EngineJitter[];
  /** For each prefix, the time of its last use on each engine that holds it. */
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
      () => new CallQueue({ clock: this.#clock, isTimerEnabled: false }),
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
    while (this.#nowMs < endMs + CLIENT_TIMEOUT_MS) {
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
    this.#prefills.forEach((prefills, i) => {
      if (prefills.length === 0) return;
      this.#prefills[i] = prefills.filter((p) => p.finishAtMs > this.#nowMs);
    });
  }

  /** Gives the VMs whose turn it is the state of all prefills as of `digestAgeMs` ago. */
  #updateSnapshots(): void {
    const { digestAgeMs, digestIntervalMs, vms } = this.#options;
    this.#history.push({ atMs: this.#nowMs, prefills: [...this.#prefills] });
    const latest = this.#history.findLastIndex(({ atMs }) =>
      atMs <= this.#nowMs - digestAgeMs
    );
    if (latest > 0) this.#history = this.#history.slice(latest);
    if (latest < 0) return;
    const turns = digestIntervalMs / STEP_MS;
    const turn = Math.round(this.#nowMs / STEP_MS) % turns;
    for (let vm = turn; vm < vms; vm += turns) {
      this.#snapshots[vm] = this.#history[0].prefills;
    }
  }

  #drawArrivals(): void {
    const { kinds, engines, seconds, burst, vms } = this.#options;
    const elapsedShare = this.#nowMs / (seconds * 1000);
    const factor = elapsedShare > 1 / 3 && elapsedShare < 2 / 3 ? burst : 1;
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
    { name, sharedTokens, uniqueTokens }: PlacementRequestKind,
  ): GenerationParams {
    const prefixId = `${name}-${
      this.#random.drawInteger(0, PREFIXES_PER_KIND - 1)
    }`;
    const unique = Math.round(this.#random.drawExponential(uniqueTokens));
    return {
      model: "m",
      promptTokens: sharedTokens + unique,
      maxOutputTokens: 20,
      parts: [{ id: prefixId, tokens: sharedTokens }, {
        id: "own",
        tokens: unique,
      }],
    };
  }

  #enqueue(request: ArrivedRequest): void {
    const { kind, arrivedAtMs, vm, prompt } = request;
    this.#requestCount++;
    this.#offeredWorth += kind.worth;
    const count = this.#countsByKind.get(kind.name) ?? { asked: 0, onTime: 0 };
    count.asked++;
    this.#countsByKind.set(kind.name, count);
    this.#queues[vm].enqueue({
      lane: kind.lane,
      kind: kind.name,
      tokens: prompt.promptTokens,
      waitStartedAtMs: arrivedAtMs,
      aimMs: kind.aimMs,
      timeoutAtMs: arrivedAtMs + CLIENT_TIMEOUT_MS,
      responseDelayMs: FIRST_TOKEN_DELAY_MS,
      findPlacement: () => this.#findPlacement(request),
      mayPlaceLate: () => true,
      onOutcome: (outcome) => {
        if (outcome.kind === "placed") {
          this.#startPrefill(request, outcome.placed.placement);
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
    const uses = this.#prefixUses.get(key) ?? new Map<string, number>();
    const holders = this.#engines.filter(({ id }) =>
      this.#nowMs - (uses.get(id) ?? -Infinity) < PREFIX_RETENTION_MS
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

  /**
   * Sums the VM's own prefills, which it knows at once, and those of other VMs in its last digest.
   */
  #estimateBacklog(vm: number, engine: number): number {
    const current = this.#prefills[engine];
    if (this.#options.isOracle) return sumRemainingMs(current, this.#nowMs);
    const others = this.#snapshots[vm][engine].filter((p) => p.vm !== vm);
    const own = current.filter((p) => p.vm === vm);
    return sumRemainingMs(others, this.#nowMs) +
      sumRemainingMs(own, this.#nowMs);
  }

  #startPrefill(
    { vm, kind, arrivedAtMs, prompt }: ArrivedRequest,
    placement: PromptPlacement,
  ): void {
    const i = this.#engines.indexOf(placement.target);
    const { costMs } = placement;
    const startAtMs = this.#prefills[i].at(-1)?.finishAtMs ?? this.#nowMs;
    const finishAtMs = startAtMs + costMs;
    this.#prefills[i] = [...this.#prefills[i], { vm, finishAtMs, costMs }];
    this.#prefillMs[i] += costMs;
    this.#recordPrefixUse(placement, prompt);
    const isOnTime =
      finishAtMs + FIRST_TOKEN_DELAY_MS <= arrivedAtMs + kind.aimMs;
    this.#earnedWorth += isOnTime ? kind.worth : kind.lateWorth;
    const count = this.#countsByKind.get(kind.name);
    if (isOnTime && count !== undefined) count.onTime++;
  }

  #recordPrefixUse(placement: PromptPlacement, prompt: GenerationParams): void {
    const key = this.#placer.findPrefixKey(prompt);
    if (key === undefined) return;
    this.#prefixedCount++;
    if (placement.isCold) this.#coldCount++;
    const uses = this.#prefixUses.get(key) ?? new Map<string, number>();
    uses.set(placement.target.id, this.#nowMs);
    this.#prefixUses.set(key, uses);
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

/** Sums the remaining prefill time, in milliseconds. */
function sumRemainingMs(
  prefills: readonly RunningPrefill[],
  nowMs: number,
): number {
  let remainingMs = 0;
  for (const { finishAtMs, costMs } of prefills) {
    remainingMs += Math.max(0, Math.min(costMs, finishAtMs - nowMs));
  }
  return remainingMs;
}
