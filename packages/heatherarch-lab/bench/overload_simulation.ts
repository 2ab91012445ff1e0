/**
 * Simulates a small fleet whose prefill engines get more prompts than they can process. Prompt
 * sizes differ by a factor of ten and more, and the result shows which sizes are served.
 *
 * The simulation runs in simulated time without a network. Prefill queue, placement, prefill time
 * model and work tracker are those of the product.
 *
 * Two kinds of request use the same engines: long prompts with shared prefixes, and short prompts.
 * They alternate in bursts of some seconds, at up to three times their mean rate.
 *
 * A rejected client retries once, after the delay that the rejection states. Decode and faults are
 * not simulated.
 *
 * @module
 */
import { ManualClock, Random } from "heatherarch-core";
import {
  CallQueue,
  computeClientTimeoutMs,
  computeRetryAfterMs,
  EngineJitter,
  type EngineTraits,
  type LanePlacement,
  PrefillTimeModel,
  type PromptPlacement,
  PromptPlacer,
  sumPrefixTokens,
  type Target,
  WorkTracker,
} from "heatherarch-forward";
import {
  computeServedShares,
  type KindResult,
  type OverloadRequestKind,
  type SimulatedRequest,
  summarizeKind,
} from "./overload_result.ts";
import { PromptGenerator } from "./prompt_generator.ts";
import { SimulatedPrefillEngine } from "./simulated_prefill_engine.ts";

/** A period with a constant load. */
export interface OverloadPhase {
  readonly seconds: number;
  /** Load of each kind of request as a multiple of its rate. */
  readonly load: Readonly<Record<string, number>>;
}

/** Options of {@linkcode simulateOverload}. */
export interface OverloadOptions {
  readonly seed: number;
  readonly vms: number;
  /** Slowdown factor of each prefill engine. */
  readonly engines: readonly number[];
  readonly kinds: readonly OverloadRequestKind[];
  readonly phases: readonly OverloadPhase[];
}

/** Result of a simulation. */
export interface OverloadResult {
  /** Earned share of the offered worth. */
  readonly worth: number;
  readonly kinds: Readonly<Record<string, KindResult>>;
  /** Utilization of the engines, 0 to 1. */
  readonly busy: number;
}

/** One attempt of a client. */
interface Attempt {
  readonly request: SimulatedRequest;
  readonly vm: number;
  readonly startedAtMs: number;
  readonly isRetry: boolean;
}

interface Vm {
  readonly queue: CallQueue;
  readonly model: PrefillTimeModel;
  readonly placer: PromptPlacer;
  readonly workTracker: WorkTracker;
  readonly jitter: EngineJitter;
  /** Whether the VM's own work has changed since it was last sent. */
  isDirty: boolean;
  sentAtMs: number;
}

const STEP_MS = 2;
const DISPATCH_INTERVAL_MS = 10;
/** VMs send changes of their work to each other immediately, but not more often than this. */
const MIN_SEND_GAP_MS = 5;
/** Time from the last prefilled token to the arrival of the engine's response at the VM. */
const RESPONSE_DELAY_MS = 16;
/** Time from the engine's response to the first token at the client. */
const FIRST_TOKEN_DELAY_MS = 35;
/** Maximum share of the engines that may prefill late requests at the same time. */
const MAX_LATE_PREFILL_SHARE = 0.25;
const RESPONSE_MARGIN_MS = 10;
const KV_TRANSFER_MS = 15;
const TRAITS: EngineTraits = {
  slots: 64,
  kvTokens: 468_842,
  kvBytesPerToken: 163_840,
  linkMbps: 1_400_000,
  roleChangeMs: 3000,
};
/** Clients wait as long as the rejection states, at most this share of the time to the deadline. */
const MAX_RETRY_DELAY_SHARE = 1 / 3;
/** Share of the KV cache that retains prefixes. */
const PREFIX_CACHE_SHARE = 0.8;

/** Runs one simulation. */
export function simulateOverload(options: OverloadOptions): OverloadResult {
  return new OverloadSimulation(options).run();
}

class OverloadSimulation {
  readonly #options: OverloadOptions;
  readonly #random: Random;
  readonly #prompts: PromptGenerator;
  readonly #clock = new ManualClock();
  readonly #engines: readonly SimulatedPrefillEngine[];
  readonly #targets: readonly Target[];
  readonly #vms: readonly Vm[];
  readonly #requests: SimulatedRequest[] = [];
  /** Number of tokens that each engine has added to its KV cache. */
  readonly #addedKvTokens: number[];
  /** For each prefix, the value of that number at its last use on each engine. */
  readonly #prefixUses = new Map<string, Map<string, number>>();
  /** Callbacks with the time at which they are due, in the order in which they were added. */
  #scheduled: { atMs: number; run: () => void }[] = [];

  constructor(options: OverloadOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
    this.#prompts = new PromptGenerator(this.#random);
    this.#engines = options.engines.map((slowdown) =>
      new SimulatedPrefillEngine({ slowdown })
    );
    this.#targets = options.engines.map((_, i) => buildTarget(i));
    this.#addedKvTokens = options.engines.map(() => 0);
    this.#vms = Array.from({ length: options.vms }, (_, i) => this.#buildVm(i));
  }

  run(): OverloadResult {
    for (const { seconds, load } of this.#options.phases) {
      const endMs = this.#nowMs + seconds * 1000;
      while (this.#nowMs < endMs) this.#advance(load);
    }
    const endMs = this.#nowMs;
    while (this.#scheduled.length > 0 || this.#hasBacklog) this.#advance({});
    return this.#buildResult(endMs);
  }

  #buildVm(vm: number): Vm {
    const model = new PrefillTimeModel();
    const workTracker = new WorkTracker();
    const built: Vm = {
      queue: new CallQueue({ clock: this.#clock, isTimerEnabled: false }),
      model,
      placer: new PromptPlacer({ model }),
      workTracker,
      jitter: new EngineJitter({
        vmId: `vm-${vm}`,
        drawUnit: () => this.#random.drawUnit(),
      }),
      isDirty: false,
      sentAtMs: -Infinity,
    };
    workTracker.registerOwnWorkListener(() => {
      built.isDirty = true;
    });
    return built;
  }

  get #hasBacklog(): boolean {
    return this.#vms.some(({ queue }) => queue.size > 0);
  }

  get #nowMs(): number {
    return this.#clock.readMonotonicMs();
  }

  #advance(load: Readonly<Record<string, number>>): void {
    this.#clock.advance(STEP_MS);
    for (const engine of this.#engines) engine.advance(this.#nowMs);
    this.#runScheduled();
    this.#sendWork();
    this.#drawArrivals(load);
    if (this.#nowMs % DISPATCH_INTERVAL_MS !== 0) return;
    for (const { queue } of this.#vms) if (queue.size > 0) queue.dispatch();
  }

  #runScheduled(): void {
    const due = this.#scheduled.filter(({ atMs }) => atMs <= this.#nowMs);
    this.#scheduled = this.#scheduled.filter(({ atMs }) => atMs > this.#nowMs);
    for (const { run } of due) run();
  }

  #sendWork(): void {
    this.#vms.forEach((vm, sender) => {
      if (!vm.isDirty || this.#nowMs - vm.sentAtMs < MIN_SEND_GAP_MS) return;
      vm.isDirty = false;
      vm.sentAtMs = this.#nowMs;
      const rows = vm.workTracker.listOwnRows(this.#nowMs);
      for (const peer of this.#vms) {
        if (peer === vm) continue;
        peer.workTracker.setPeerWork(`vm-${sender}`, rows, this.#nowMs);
      }
    });
  }

  #drawArrivals(load: Readonly<Record<string, number>>): void {
    for (const kind of this.#options.kinds) {
      let expected = kind.rate * (load[kind.name] ?? 0) * STEP_MS / 1000;
      for (; expected > 0; expected--) {
        if (this.#random.drawUnit() < expected) this.#createRequest(kind);
      }
    }
  }

  #createRequest(kind: OverloadRequestKind): void {
    const request: SimulatedRequest = {
      kind,
      prompt: this.#prompts.draw(kind),
      arrivedAtMs: this.#nowMs,
      firstTokenAtMs: undefined,
    };
    this.#requests.push(request);
    this.#enqueue(request, false);
  }

  #enqueue(request: SimulatedRequest, isRetry: boolean): void {
    const vm = this.#random.drawInteger(0, this.#vms.length - 1);
    const attempt: Attempt = { request, vm, startedAtMs: this.#nowMs, isRetry };
    const { kind, prompt } = request;
    const { queue, model } = this.#vms[vm];
    queue.enqueue({
      lane: kind.lane,
      kind: kind.name,
      tokens: prompt.promptTokens,
      waitStartedAtMs: attempt.startedAtMs,
      aimMs: kind.aimMs,
      timeoutAtMs: computeTimeout(attempt),
      responseDelayMs: FIRST_TOKEN_DELAY_MS + model.latencyMs,
      findPlacement: () => this.#findPlacement(attempt),
      mayPlaceLate: () => this.#mayPrefillLate(vm),
      onOutcome: (outcome) => {
        if (outcome.kind === "placed") this.#prefill(attempt, outcome.placed);
        else if (outcome.kind === "tooLate") {
          this.#handleRejection(attempt, outcome);
        }
      },
    });
  }

  #handleRejection(
    { request, startedAtMs, isRetry }: Attempt,
    { readyMs }: { readonly readyMs: number },
  ): void {
    if (isRetry) return;
    const { aimMs, deadlineMs } = request.kind;
    const waitedMs = this.#nowMs - startedAtMs;
    const drawUnit = (): number => this.#random.drawUnit();
    const retryAfterMs = computeRetryAfterMs(
      waitedMs,
      readyMs - aimMs,
      drawUnit,
    );
    const maxMs = (deadlineMs - waitedMs) * MAX_RETRY_DELAY_SHARE;
    this.#scheduled.push({
      atMs: this.#nowMs + Math.min(retryAfterMs, maxMs),
      run: () => this.#enqueue(request, true),
    });
  }

  #findPlacement(
    { vm, request: { prompt } }: Attempt,
  ): PromptPlacement | undefined {
    const { workTracker, placer, jitter } = this.#vms[vm];
    const key = placer.findPrefixKey(prompt);
    const holders = key === undefined ? [] : this.#listPrefixHolders(key);
    return placer.pickEngine(prompt, {
      candidates: this.#targets.map((target) => ({
        target,
        backlogMs: workTracker.getPrefillBacklogMs(target.id, this.#nowMs),
      })),
      prefillEngines: this.#targets,
      prefixHolders: holders,
      prefixSources: holders,
      traits: TRAITS,
      drawJitterMs: (target) => jitter.drawMs(target),
    });
  }

  #listPrefixHolders(key: string): Target[] {
    const uses = this.#prefixUses.get(key);
    if (uses === undefined) return [];
    return this.#targets.filter(({ id }, i) => {
      const tokensAtUse = uses.get(id);
      return tokensAtUse !== undefined &&
        this.#addedKvTokens[i] - tokensAtUse <
          TRAITS.kvTokens * PREFIX_CACHE_SHARE;
    });
  }

  #mayPrefillLate(vm: number): boolean {
    const { workTracker } = this.#vms[vm];
    const lateEngines = this.#targets.filter(({ id }) =>
      workTracker.hasLatePrefill(id, this.#nowMs)
    );
    const max = Math.max(
      1,
      Math.floor(this.#targets.length * MAX_LATE_PREFILL_SHARE),
    );
    return lateEngines.length < max;
  }

  #prefill(attempt: Attempt, { placement, lane }: LanePlacement): void {
    const {
      target,
      costMs,
      unloadedMs,
      backlogMs,
      isCold,
      fetchFrom,
    } = placement;
    const { workTracker, model, placer } = this.#vms[attempt.vm];
    const startMs = this.#nowMs;
    const latencyMs = model.latencyMs + RESPONSE_MARGIN_MS;
    const endPrefill = workTracker.beginPrefill(
      target.id,
      { costMs, lane, latencyMs },
      startMs,
    );
    const { prompt } = attempt.request;
    const key = placer.findPrefixKey(prompt);
    const cachedTokens = key === undefined || isCold
      ? 0
      : sumPrefixTokens(prompt);
    const freshTokens = prompt.promptTokens - cachedTokens;
    const i = this.#targets.indexOf(target);
    this.#addedKvTokens[i] += prompt.promptTokens -
      (fetchFrom ? 0 : cachedTokens);
    if (key !== undefined) this.#recordPrefixUse(key, i);
    const finish = (): void => {
      endPrefill();
      this.#recordFirstToken(attempt);
      const tookMs = this.#nowMs - startMs;
      if (key === undefined) {
        model.learn(target.id, { costMs, backlogMs, tookMs });
      } else {
        model.learnUnloaded(target.id, { unloadedMs, backlogMs, tookMs });
      }
    };
    this.#engines[i].enqueue({
      freshTokens,
      cachedTokens,
      setupMs: fetchFrom === undefined ? 0 : KV_TRANSFER_MS,
      onPrefilled: (atMs) =>
        this.#scheduled.push({ atMs: atMs + RESPONSE_DELAY_MS, run: finish }),
    }, startMs);
  }

  /** Records the first token, unless the client has timed out before it arrives. */
  #recordFirstToken(attempt: Attempt): void {
    const atMs = this.#nowMs + FIRST_TOKEN_DELAY_MS;
    if (atMs <= computeTimeout(attempt)) attempt.request.firstTokenAtMs = atMs;
  }

  #recordPrefixUse(key: string, engine: number): void {
    const uses = this.#prefixUses.get(key) ?? new Map<string, number>();
    uses.set(this.#targets[engine].id, this.#addedKvTokens[engine]);
    this.#prefixUses.set(key, uses);
  }

  #buildResult(endMs: number): OverloadResult {
    const kinds: Record<string, KindResult> = {};
    for (const kind of this.#options.kinds) {
      kinds[kind.name] = summarizeKind(
        this.#requests.filter((request) => request.kind === kind),
      );
    }
    const busyMs = this.#engines.reduce((sum, e) => sum + e.busyMs, 0);
    const { worth } = computeServedShares(this.#requests);
    return { worth, kinds, busy: busyMs / (endMs * this.#engines.length) };
  }
}

function buildTarget(i: number): Target {
  return {
    id: `engine-${i}`,
    service: "s",
    address: "127.0.0.1:1",
    availabilityZone: `zone-${i % 3}`,
    slots: TRAITS.slots,
    leaving: false,
    role: "prefill",
  };
}

/** Returns when the client of an attempt times out if it has not received its first token. */
function computeTimeout(
  { startedAtMs, request: { kind, arrivedAtMs } }: Attempt,
): number {
  const timeoutMs = computeClientTimeoutMs(kind.aimMs);
  return Math.min(startedAtMs + timeoutMs, arrivedAtMs + kind.deadlineMs);
}
