/**
 * A small fleet whose engines get more prompts than they can read, of sizes that differ by a
 * factor of ten and more: who is served? Without network and faster than time; queue, placement,
 * read model and ledger are the product's own.
 *
 * Pattern of load: two kinds of request on the same engines, long prompts behind shared beginnings
 * and short ones, in turns of some seconds at up to three times their mean.
 *
 * A caller that is refused comes back once, when it was told to. Not modelled: generating, faults.
 *
 * @module
 */
import { ManualClock, Random } from "heatherarch-core";
import {
  computeCallerTimeoutMs,
  computeRetryAfterMs,
  EngineJitter,
  type EngineTraits,
  type LanePlacement,
  PrefillQueue,
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

/** A stretch of time with its own load. */
export interface OverloadPhase {
  readonly seconds: number;
  /** Load by kind as a multiple of its rate. */
  readonly load: Readonly<Record<string, number>>;
}

/** Options of {@linkcode simulateOverload}. */
export interface OverloadOptions {
  readonly seed: number;
  readonly vms: number;
  /** Slowness of each reading engine. */
  readonly engines: readonly number[];
  readonly kinds: readonly OverloadRequestKind[];
  readonly phases: readonly OverloadPhase[];
}

/** What a run showed. */
export interface OverloadResult {
  /** Share of the worth that was asked for. */
  readonly worth: number;
  readonly kinds: Readonly<Record<string, KindResult>>;
  /** Part of the time for which engines worked. */
  readonly busy: number;
}

/** One try of a caller. */
interface Attempt {
  readonly request: SimulatedRequest;
  readonly vm: number;
  readonly startedAtMs: number;
  readonly isRetry: boolean;
}

interface Vm {
  readonly queue: PrefillQueue;
  readonly model: PrefillTimeModel;
  readonly placer: PromptPlacer;
  readonly workTracker: WorkTracker;
  readonly jitter: EngineJitter;
  isDirty: boolean;
  sentAtMs: number;
}

const STEP_MS = 2;
/** Pause between the looks of a queue. */
const DISPATCH_INTERVAL_MS = 10;
/** VMs tell each other of changes of their work at once, but for this pause between two times. */
const MIN_SEND_GAP_MS = 5;
/** From an engine's last token to its answer at the VM, milliseconds. */
const RESPONSE_DELAY_MS = 16;
/** From the answer to the first token at the caller, milliseconds. */
const FIRST_TOKEN_DELAY_MS = 35;
/** The fleet's bound on readings for late calls. */
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
/** Callers come back as told, within this part of the time that they have left. */
const MAX_RETRY_DELAY_SHARE = 1 / 3;
/** Part of the KV cache that keeps beginnings. */
const PREFIX_CACHE_SHARE = 0.8;

/** Plays one run. */
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
  /** Fresh tokens that each engine has taken in, and the count at each beginning's last use. */
  readonly #acceptedTokens: number[];
  readonly #prefixUses = new Map<string, Map<string, number>>();
  /** What ends at some time, in the order of time. */
  #scheduled: { atMs: number; run: () => void }[] = [];

  constructor(options: OverloadOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
    this.#prompts = new PromptGenerator(this.#random);
    this.#engines = options.engines.map((slowness) =>
      new SimulatedPrefillEngine({ slowdown: slowness })
    );
    this.#targets = options.engines.map((_, i) => buildTarget(i));
    this.#acceptedTokens = options.engines.map(() => 0);
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
    const ledger = new WorkTracker();
    const built: Vm = {
      queue: new PrefillQueue({ clock: this.#clock, isTimerEnabled: false }),
      model,
      placer: new PromptPlacer({ model }),
      workTracker: ledger,
      jitter: new EngineJitter({
        vmId: `vm-${vm}`,
        drawUnit: () => this.#random.drawUnit(),
      }),
      isDirty: false,
      sentAtMs: -Infinity,
    };
    ledger.registerOwnWorkListener(() => {
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
    this.#vms.forEach((vm, from) => {
      if (!vm.isDirty || this.#nowMs - vm.sentAtMs < MIN_SEND_GAP_MS) return;
      vm.isDirty = false;
      vm.sentAtMs = this.#nowMs;
      const rows = vm.workTracker.listOwnRows(this.#nowMs);
      for (const peer of this.#vms) {
        if (peer === vm) continue;
        peer.workTracker.setPeerWork(`vm-${from}`, rows, this.#nowMs);
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
    const wish: SimulatedRequest = {
      kind,
      prompt: this.#prompts.draw(kind),
      arrivedAtMs: this.#nowMs,
      firstTokenAtMs: undefined,
    };
    this.#requests.push(wish);
    this.#enqueue(wish, false);
  }

  #enqueue(wish: SimulatedRequest, isRepeat: boolean): void {
    const vm = this.#random.drawInteger(0, this.#vms.length - 1);
    const call: Attempt = {
      request: wish,
      vm,
      startedAtMs: this.#nowMs,
      isRetry: isRepeat,
    };
    const { kind, prompt } = wish;
    const { queue, model } = this.#vms[vm];
    queue.enqueue({
      lane: kind.lane,
      kind: kind.name,
      tokens: prompt.promptTokens,
      waitStartedAtMs: call.startedAtMs,
      aimMs: kind.aimMs,
      timeoutAtMs: computeTimeout(call),
      firstTokenDelayMs: FIRST_TOKEN_DELAY_MS + model.latencyMs,
      findPlacement: () => this.#findPlacement(call),
      mayPrefillLate: () => this.#mayPrefillLate(vm),
      onOutcome: (verdict) => {
        if (verdict.kind === "placed") this.#prefill(call, verdict.placed);
        else if (verdict.kind === "tooLate") {
          this.#handleRejection(call, verdict.placement);
        }
      },
    });
  }

  #handleRejection(
    { request: wish, startedAtMs: atMs, isRetry: isRepeat }: Attempt,
    { readyMs }: PromptPlacement,
  ): void {
    if (isRepeat) return;
    const { aimMs, deadlineMs } = wish.kind;
    const waitedMs = this.#nowMs - atMs;
    const draw = (): number => this.#random.drawUnit();
    const toldMs = computeRetryAfterMs(waitedMs, readyMs - aimMs, draw);
    const mostMs = (deadlineMs - waitedMs) * MAX_RETRY_DELAY_SHARE;
    this.#scheduled.push({
      atMs: this.#nowMs + Math.min(toldMs, mostMs),
      run: () => this.#enqueue(wish, true),
    });
  }

  #findPlacement(
    { vm, request: { prompt } }: Attempt,
  ): PromptPlacement | undefined {
    const { workTracker: ledger, placer, jitter: spread } = this.#vms[vm];
    const key = placer.findPrefixKey(prompt);
    const holders = key === undefined ? [] : this.#listPrefixHolders(key);
    return placer.pickEngine(prompt, {
      candidates: this.#targets.map((target) => ({
        target,
        backlogMs: ledger.getPrefillBacklogMs(target.id, this.#nowMs),
      })),
      prefillEngines: this.#targets,
      prefixHolders: holders,
      prefixSources: holders,
      traits: TRAITS,
      drawJitterMs: (target) => spread.drawMs(target),
    });
  }

  #listPrefixHolders(key: string): Target[] {
    const held = this.#prefixUses.get(key);
    if (held === undefined) return [];
    return this.#targets.filter(({ id }, i) => {
      const at = held.get(id);
      return at !== undefined &&
        this.#acceptedTokens[i] - at < TRAITS.kvTokens * PREFIX_CACHE_SHARE;
    });
  }

  #mayPrefillLate(vm: number): boolean {
    const { workTracker: ledger } = this.#vms[vm];
    const busy = this.#targets.filter(({ id }) =>
      ledger.hasLatePrefill(id, this.#nowMs)
    );
    const most = Math.max(
      1,
      Math.floor(this.#targets.length * MAX_LATE_PREFILL_SHARE),
    );
    return busy.length < most;
  }

  #prefill(call: Attempt, { placement, lane }: LanePlacement): void {
    const {
      target,
      costMs,
      unloadedMs: aloneMs,
      backlogMs,
      isCold,
      fetchFrom,
    } = placement;
    const { workTracker: ledger, model, placer } = this.#vms[call.vm];
    const startMs = this.#nowMs;
    const latencyMs = model.latencyMs + RESPONSE_MARGIN_MS;
    const endRead = ledger.beginPrefill(
      target.id,
      { costMs, lane, latencyMs },
      startMs,
    );
    const { prompt } = call.request;
    const key = placer.findPrefixKey(prompt);
    const heldTokens = key === undefined || isCold
      ? 0
      : sumPrefixTokens(prompt);
    const freshTokens = prompt.promptTokens - heldTokens;
    const i = this.#targets.indexOf(target);
    this.#acceptedTokens[i] += prompt.promptTokens -
      (fetchFrom ? 0 : heldTokens);
    if (key !== undefined) this.#recordPrefixUse(key, i);
    const finish = (): void => {
      endRead();
      this.#recordFirstToken(call);
      const tookMs = this.#nowMs - startMs;
      if (key === undefined) {
        model.learn(target.id, { costMs, backlogMs, tookMs });
      } else {
        model.learnUnloaded(target.id, {
          unloadedMs: aloneMs,
          backlogMs,
          tookMs,
        });
      }
    };
    this.#engines[i].enqueue({
      freshTokens,
      cachedTokens: heldTokens,
      setupMs: fetchFrom === undefined ? 0 : KV_TRANSFER_MS,
      onPrefilled: (atMs) =>
        this.#scheduled.push({ atMs: atMs + RESPONSE_DELAY_MS, run: finish }),
    }, startMs);
  }

  /** The first token reaches the caller, unless it has left. */
  #recordFirstToken(call: Attempt): void {
    const atMs = this.#nowMs + FIRST_TOKEN_DELAY_MS;
    if (atMs <= computeTimeout(call)) call.request.firstTokenAtMs = atMs;
  }

  #recordPrefixUse(key: string, engine: number): void {
    const held = this.#prefixUses.get(key) ?? new Map<string, number>();
    held.set(this.#targets[engine].id, this.#acceptedTokens[engine]);
    this.#prefixUses.set(key, held);
  }

  #buildResult(endMs: number): OverloadResult {
    const kinds: Record<string, KindResult> = {};
    for (const kind of this.#options.kinds) {
      kinds[kind.name] = summarizeKind(
        this.#requests.filter((wish) => wish.kind === kind),
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

/** When the caller of a try leaves, unless its first token has come. */
function computeTimeout(
  { startedAtMs: atMs, request: { kind, arrivedAtMs: wishedAtMs } }: Attempt,
): number {
  const patienceMs = computeCallerTimeoutMs(kind.aimMs);
  return Math.min(atMs + patienceMs, wishedAtMs + kind.deadlineMs);
}
