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
  type KindResult,
  type OverloadKind,
  rateKind,
  rateShares,
  type Wish,
} from "./overload_result.ts";
import { PromptDraw } from "./prompt_draw.ts";
import { StepEngine } from "./step_engine.ts";

/** A stretch of time with its own load. */
export interface OverloadPhase {
  readonly seconds: number;
  /** Load by kind as a multiple of its rate. */
  readonly load: Readonly<Record<string, number>>;
}

/** Options of {@linkcode playOverload}. */
export interface OverloadOptions {
  readonly seed: number;
  readonly vms: number;
  /** Slowness of each reading engine. */
  readonly engines: readonly number[];
  readonly kinds: readonly OverloadKind[];
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
interface Call {
  readonly wish: Wish;
  readonly vm: number;
  readonly atMs: number;
  readonly isRepeat: boolean;
}

interface Vm {
  readonly queue: PrefillQueue;
  readonly model: PrefillTimeModel;
  readonly placer: PromptPlacer;
  readonly ledger: WorkTracker;
  readonly spread: EngineJitter;
  hasNews: boolean;
  toldAtMs: number;
}

const STEP_MS = 2;
/** Pause between the looks of a queue. */
const LOOK_MS = 10;
/** VMs tell each other of changes of their work at once, but for this pause between two times. */
const TELL_GAP_MS = 5;
/** From an engine's last token to its answer at the VM, milliseconds. */
const ANSWER_MS = 16;
/** From the answer to the first token at the caller, milliseconds. */
const FIRST_TOKEN_MS = 35;
/** The fleet's bound on readings for late calls. */
const LATE_SHARE = 0.25;
const ANSWER_SLACK_MS = 10;
const FETCH_MS = 15;
const TRAITS: EngineTraits = {
  slots: 64,
  kvTokens: 468_842,
  kvBytesPerToken: 163_840,
  linkMbps: 1_400_000,
  roleChangeMs: 3000,
};
/** Callers come back as told, within this part of the time that they have left. */
const MOST_RETURN_PART = 1 / 3;
/** Part of the KV cache that keeps beginnings. */
const KEPT_PART = 0.8;

/** Plays one run. */
export function playOverload(options: OverloadOptions): OverloadResult {
  return new OverloadWorld(options).play();
}

class OverloadWorld {
  readonly #options: OverloadOptions;
  readonly #random: Random;
  readonly #prompts: PromptDraw;
  readonly #clock = new ManualClock();
  readonly #engines: readonly StepEngine[];
  readonly #targets: readonly Target[];
  readonly #vms: readonly Vm[];
  readonly #wishes: Wish[] = [];
  /** Fresh tokens that each engine has taken in, and the count at each beginning's last use. */
  readonly #taken: number[];
  readonly #held = new Map<string, Map<string, number>>();
  /** What ends at some time, in the order of time. */
  #due: { atMs: number; run: () => void }[] = [];

  constructor(options: OverloadOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
    this.#prompts = new PromptDraw(this.#random);
    this.#engines = options.engines.map((slowness) =>
      new StepEngine({ slowness })
    );
    this.#targets = options.engines.map((_, i) => buildTarget(i));
    this.#taken = options.engines.map(() => 0);
    this.#vms = Array.from({ length: options.vms }, (_, i) => this.#build(i));
  }

  play(): OverloadResult {
    for (const { seconds, load } of this.#options.phases) {
      const endMs = this.#nowMs + seconds * 1000;
      while (this.#nowMs < endMs) this.#step(load);
    }
    const endMs = this.#nowMs;
    while (this.#due.length > 0 || this.#isWaiting) this.#step({});
    return this.#report(endMs);
  }

  #build(vm: number): Vm {
    const model = new PrefillTimeModel();
    const ledger = new WorkTracker();
    const built: Vm = {
      queue: new PrefillQueue({ clock: this.#clock, isTimerEnabled: false }),
      model,
      placer: new PromptPlacer({ model }),
      ledger,
      spread: new EngineJitter({
        vmId: `vm-${vm}`,
        drawUnit: () => this.#random.drawUnit(),
      }),
      hasNews: false,
      toldAtMs: -Infinity,
    };
    ledger.registerOwnWorkListener(() => {
      built.hasNews = true;
    });
    return built;
  }

  get #isWaiting(): boolean {
    return this.#vms.some(({ queue }) => queue.size > 0);
  }

  get #nowMs(): number {
    return this.#clock.readMonotonicMs();
  }

  #step(load: Readonly<Record<string, number>>): void {
    this.#clock.advance(STEP_MS);
    for (const engine of this.#engines) engine.advance(this.#nowMs);
    this.#runDue();
    this.#tellWork();
    this.#drawArrivals(load);
    if (this.#nowMs % LOOK_MS !== 0) return;
    for (const { queue } of this.#vms) if (queue.size > 0) queue.dispatch();
  }

  #runDue(): void {
    const due = this.#due.filter(({ atMs }) => atMs <= this.#nowMs);
    this.#due = this.#due.filter(({ atMs }) => atMs > this.#nowMs);
    for (const { run } of due) run();
  }

  #tellWork(): void {
    this.#vms.forEach((vm, from) => {
      if (!vm.hasNews || this.#nowMs - vm.toldAtMs < TELL_GAP_MS) return;
      vm.hasNews = false;
      vm.toldAtMs = this.#nowMs;
      const rows = vm.ledger.listOwnRows(this.#nowMs);
      for (const peer of this.#vms) {
        if (peer === vm) continue;
        peer.ledger.setPeerWork(`vm-${from}`, rows, this.#nowMs);
      }
    });
  }

  #drawArrivals(load: Readonly<Record<string, number>>): void {
    for (const kind of this.#options.kinds) {
      let expected = kind.rate * (load[kind.name] ?? 0) * STEP_MS / 1000;
      for (; expected > 0; expected--) {
        if (this.#random.drawUnit() < expected) this.#ask(kind);
      }
    }
  }

  #ask(kind: OverloadKind): void {
    const wish: Wish = {
      kind,
      prompt: this.#prompts.draw(kind),
      atMs: this.#nowMs,
      firstTokenAtMs: undefined,
    };
    this.#wishes.push(wish);
    this.#enqueue(wish, false);
  }

  #enqueue(wish: Wish, isRepeat: boolean): void {
    const vm = this.#random.drawInteger(0, this.#vms.length - 1);
    const call: Call = { wish, vm, atMs: this.#nowMs, isRepeat };
    const { kind, prompt } = wish;
    const { queue, model } = this.#vms[vm];
    queue.enqueue({
      lane: kind.lane,
      kind: kind.name,
      tokens: prompt.promptTokens,
      waitStartedAtMs: call.atMs,
      aimMs: kind.aimMs,
      timeoutAtMs: findLeaving(call),
      firstTokenDelayMs: FIRST_TOKEN_MS + model.latencyMs,
      findPlacement: () => this.#place(call),
      mayPrefillLate: () => this.#mayReadLate(vm),
      onOutcome: (verdict) => {
        if (verdict.kind === "placed") this.#read(call, verdict.placed);
        else if (verdict.kind === "tooLate") {
          this.#refuse(call, verdict.placement);
        }
      },
    });
  }

  #refuse({ wish, atMs, isRepeat }: Call, { readyMs }: PromptPlacement): void {
    if (isRepeat) return;
    const { aimMs, deadlineMs } = wish.kind;
    const waitedMs = this.#nowMs - atMs;
    const draw = (): number => this.#random.drawUnit();
    const toldMs = computeRetryAfterMs(waitedMs, readyMs - aimMs, draw);
    const mostMs = (deadlineMs - waitedMs) * MOST_RETURN_PART;
    this.#due.push({
      atMs: this.#nowMs + Math.min(toldMs, mostMs),
      run: () => this.#enqueue(wish, true),
    });
  }

  #place({ vm, wish: { prompt } }: Call): PromptPlacement | undefined {
    const { ledger, placer, spread } = this.#vms[vm];
    const key = placer.findPrefixKey(prompt);
    const holders = key === undefined ? [] : this.#listHolders(key);
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

  #listHolders(key: string): Target[] {
    const held = this.#held.get(key);
    if (held === undefined) return [];
    return this.#targets.filter(({ id }, i) => {
      const at = held.get(id);
      return at !== undefined &&
        this.#taken[i] - at < TRAITS.kvTokens * KEPT_PART;
    });
  }

  #mayReadLate(vm: number): boolean {
    const { ledger } = this.#vms[vm];
    const busy = this.#targets.filter(({ id }) =>
      ledger.hasLatePrefill(id, this.#nowMs)
    );
    const most = Math.max(1, Math.floor(this.#targets.length * LATE_SHARE));
    return busy.length < most;
  }

  #read(call: Call, { placement, lane }: LanePlacement): void {
    const {
      target,
      costMs,
      unloadedMs: aloneMs,
      backlogMs,
      isCold,
      fetchFrom,
    } = placement;
    const { ledger, model, placer } = this.#vms[call.vm];
    const startMs = this.#nowMs;
    const latencyMs = model.latencyMs + ANSWER_SLACK_MS;
    const endRead = ledger.beginPrefill(
      target.id,
      { costMs, lane, latencyMs },
      startMs,
    );
    const { prompt } = call.wish;
    const key = placer.findPrefixKey(prompt);
    const heldTokens = key === undefined || isCold
      ? 0
      : sumPrefixTokens(prompt);
    const freshTokens = prompt.promptTokens - heldTokens;
    const i = this.#targets.indexOf(target);
    this.#taken[i] += prompt.promptTokens - (fetchFrom ? 0 : heldTokens);
    if (key !== undefined) this.#noteHeld(key, i);
    const finish = (): void => {
      endRead();
      this.#answer(call);
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
    this.#engines[i].accept({
      freshTokens,
      heldTokens,
      setupMs: fetchFrom === undefined ? 0 : FETCH_MS,
      onRead: (atMs) => this.#due.push({ atMs: atMs + ANSWER_MS, run: finish }),
    }, startMs);
  }

  /** The first token reaches the caller, unless it has left. */
  #answer(call: Call): void {
    const atMs = this.#nowMs + FIRST_TOKEN_MS;
    if (atMs <= findLeaving(call)) call.wish.firstTokenAtMs = atMs;
  }

  #noteHeld(key: string, engine: number): void {
    const held = this.#held.get(key) ?? new Map<string, number>();
    held.set(this.#targets[engine].id, this.#taken[engine]);
    this.#held.set(key, held);
  }

  #report(endMs: number): OverloadResult {
    const kinds: Record<string, KindResult> = {};
    for (const kind of this.#options.kinds) {
      kinds[kind.name] = rateKind(
        this.#wishes.filter((wish) => wish.kind === kind),
      );
    }
    const busyMs = this.#engines.reduce((sum, e) => sum + e.busyMs, 0);
    const { worth } = rateShares(this.#wishes);
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
function findLeaving({ atMs, wish: { kind, atMs: wishedAtMs } }: Call): number {
  const patienceMs = computeCallerTimeoutMs(kind.aimMs);
  return Math.min(atMs + patienceMs, wishedAtMs + kind.deadlineMs);
}
