/**
 * A small fleet whose engines get more prompts than they can read, of sizes that differ by a
 * factor of ten and more: who is served? Without network and faster than time; queue, placement,
 * read model and ledger are the product's own.
 *
 * Pattern of load: two kinds of request on the same engines, long prompts behind shared beginnings
 * and short ones, in turns of some seconds at up to three times their mean.
 *
 * Not modelled: generating, faults, callers that come back.
 *
 * @module
 */
import { ManualClock, Random } from "heatherarch-core";
import {
  computeCallerPatienceMs,
  EngineSpread,
  type EngineTraits,
  type GenerationFacts,
  type LanePlacement,
  type PromptPlacement,
  PromptPlacer,
  ReadModel,
  ReadQueue,
  sumShared,
  type Target,
  WorkLedger,
} from "heatherarch-forward";
import { StepEngine } from "./step_engine.ts";

/** A kind of request. Sizes are lognormal. */
export interface OverloadKind {
  readonly name: string;
  /** Requests a second of the whole fleet. */
  readonly rate: number;
  readonly sharedTokens: number;
  /** Standard deviation of the shared sizes as a part of their mean. */
  readonly sharedSpread: number;
  /** Beginnings that the requests share. */
  readonly beginnings: number;
  readonly ownTokens: number;
  readonly ownSpread: number;
  readonly aimMs: number;
  readonly lane: number;
}

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

/** Shares of requests, 0 to 1. */
export interface Shares {
  readonly served: number;
  readonly onTime: number;
}

/** What became of one kind of request. */
export interface KindResult extends Shares {
  readonly asked: number;
  readonly largestTenth: Shares;
  readonly fifthBelow: Shares;
}

/** What a run showed. */
export interface OverloadResult {
  readonly kinds: Readonly<Record<string, KindResult>>;
  /** Part of the time for which engines worked. */
  readonly busy: number;
}

interface Call {
  readonly vm: number;
  readonly atMs: number;
  readonly kind: OverloadKind;
  readonly prompt: GenerationFacts;
  readAtMs: number | undefined;
}

interface Vm {
  readonly queue: ReadQueue;
  readonly model: ReadModel;
  readonly placer: PromptPlacer;
  readonly ledger: WorkLedger;
  readonly spread: EngineSpread;
}

const STEP_MS = 5;
/** Pause between the looks of a queue, and between the rows that VMs tell each other. */
const LOOK_MS = 10;
const TELL_MS = 30;
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
/** Part of the KV cache that keeps beginnings. */
const KEPT_PART = 0.8;
const LARGEST_TENTH = 0.9;
const FIFTH_BELOW = 0.7;

/** Plays one run. */
export function playOverload(options: OverloadOptions): OverloadResult {
  return new OverloadWorld(options).play();
}

class OverloadWorld {
  readonly #options: OverloadOptions;
  readonly #random: Random;
  readonly #clock = new ManualClock();
  readonly #engines: readonly StepEngine[];
  readonly #targets: readonly Target[];
  readonly #vms: readonly Vm[];
  readonly #calls: Call[] = [];
  readonly #sharedSizes = new Map<string, number>();
  /** Fresh tokens that each engine has taken in, and the count at each beginning's last use. */
  readonly #taken: number[];
  readonly #held = new Map<string, Map<string, number>>();
  /** What ends at some time, in the order of time. */
  #due: { atMs: number; run: () => void }[] = [];

  constructor(options: OverloadOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
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
    while (this.#vms.some(({ queue }) => queue.size > 0)) this.#step({});
    return this.#report(endMs);
  }

  #build(vm: number): Vm {
    const model = new ReadModel();
    return {
      queue: new ReadQueue({ clock: this.#clock, isTimed: false }),
      model,
      placer: new PromptPlacer({ model }),
      ledger: new WorkLedger(),
      spread: new EngineSpread({
        vmId: `vm-${vm}`,
        drawUnit: () => this.#random.drawUnit(),
      }),
    };
  }

  get #nowMs(): number {
    return this.#clock.readMonotonicMs();
  }

  #step(load: Readonly<Record<string, number>>): void {
    this.#clock.advance(STEP_MS);
    for (const engine of this.#engines) engine.advance(this.#nowMs);
    this.#runDue();
    if (this.#nowMs % TELL_MS === 0) this.#tellWork();
    this.#drawArrivals(load);
    if (this.#nowMs % LOOK_MS !== 0) return;
    for (const { queue } of this.#vms) if (queue.size > 0) queue.look();
  }

  #runDue(): void {
    const due = this.#due.filter(({ atMs }) => atMs <= this.#nowMs);
    this.#due = this.#due.filter(({ atMs }) => atMs > this.#nowMs);
    for (const { run } of due) run();
  }

  #tellWork(): void {
    this.#vms.forEach(({ ledger }, from) => {
      const rows = ledger.listOwnRows(this.#nowMs);
      this.#vms.forEach((peer, to) => {
        if (to === from) return;
        peer.ledger.notePeer(`vm-${from}`, rows, this.#nowMs);
      });
    });
  }

  #drawArrivals(load: Readonly<Record<string, number>>): void {
    for (const kind of this.#options.kinds) {
      let expected = kind.rate * (load[kind.name] ?? 0) * STEP_MS / 1000;
      for (; expected > 0; expected--) {
        if (this.#random.drawUnit() < expected) this.#enqueue(kind);
      }
    }
  }

  #drawPrompt(kind: OverloadKind): GenerationFacts {
    const id = `${kind.name}-${
      this.#random.drawInteger(0, kind.beginnings - 1)
    }`;
    let shared = this.#sharedSizes.get(id);
    if (shared === undefined) {
      shared = this.#drawSize(kind.sharedTokens, kind.sharedSpread);
      this.#sharedSizes.set(id, shared);
    }
    const own = this.#drawSize(kind.ownTokens, kind.ownSpread);
    return {
      model: "m",
      promptTokens: shared + own,
      maxOutputTokens: 20,
      parts: [{ id, tokens: shared }, { id: "own", tokens: own }],
    };
  }

  /** Lognormal by its mean and its standard deviation as a part of the mean. */
  #drawSize(mean: number, spread: number): number {
    const variance = Math.log(1 + spread * spread);
    const a = Math.sqrt(-2 * Math.log(1 - this.#random.drawUnit()));
    const normal = a * Math.cos(2 * Math.PI * this.#random.drawUnit());
    const size = mean * Math.exp(normal * Math.sqrt(variance) - variance / 2);
    return Math.max(1, Math.round(size));
  }

  #enqueue(kind: OverloadKind): void {
    const call: Call = {
      vm: this.#random.drawInteger(0, this.#vms.length - 1),
      atMs: this.#nowMs,
      kind,
      prompt: this.#drawPrompt(kind),
      readAtMs: undefined,
    };
    this.#calls.push(call);
    const { queue, model } = this.#vms[call.vm];
    queue.enqueue({
      lane: kind.lane,
      sinceMs: call.atMs,
      aimMs: kind.aimMs,
      leavesAtMs: call.atMs + computeCallerPatienceMs(kind.aimMs),
      tailMs: FIRST_TOKEN_MS + model.latencyMs,
      place: () => this.#place(call),
      mayReadLate: () => this.#mayReadLate(call.vm),
      onVerdict: (verdict) => {
        if (verdict.kind === "placed") this.#read(call, verdict.placed);
      },
    });
  }

  #place({ vm, prompt }: Call): PromptPlacement | undefined {
    const { ledger, placer, spread } = this.#vms[vm];
    const key = placer.findKey(prompt);
    const holders = key === undefined ? [] : this.#listHolders(key);
    return placer.pickReader(prompt, {
      candidates: this.#targets.map((target) => ({
        target,
        backlogMs: ledger.getReadMs(target.id, this.#nowMs),
      })),
      readers: this.#targets,
      holders,
      sources: holders,
      traits: TRAITS,
      drawSpreadMs: (target) => spread.drawMs(target),
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
      ledger.isReadingLate(id, this.#nowMs)
    );
    const most = Math.max(1, Math.floor(this.#targets.length * LATE_SHARE));
    return busy.length < most;
  }

  #read(call: Call, { placement, lane }: LanePlacement): void {
    const { target, costMs, backlogMs, isCold, fetchFrom } = placement;
    const { ledger, model, placer } = this.#vms[call.vm];
    const startMs = this.#nowMs;
    const latencyMs = model.latencyMs + ANSWER_SLACK_MS;
    const endRead = ledger.beginRead(
      target.id,
      { costMs, lane, latencyMs },
      startMs,
    );
    const key = placer.findKey(call.prompt);
    const heldTokens = key === undefined || isCold ? 0 : sumShared(call.prompt);
    const freshTokens = call.prompt.promptTokens - heldTokens;
    const i = this.#targets.indexOf(target);
    this.#taken[i] += call.prompt.promptTokens - (fetchFrom ? 0 : heldTokens);
    if (key !== undefined) this.#noteHeld(key, i);
    const finish = (): void => {
      endRead();
      call.readAtMs = this.#nowMs;
      const tookMs = this.#nowMs - startMs;
      if (key === undefined) {
        model.learn(target.id, { costMs, backlogMs, tookMs });
      }
    };
    this.#engines[i].accept({
      freshTokens,
      heldTokens,
      setupMs: fetchFrom === undefined ? 0 : FETCH_MS,
      onRead: (atMs) => this.#due.push({ atMs: atMs + ANSWER_MS, run: finish }),
    }, startMs);
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
        this.#calls.filter((call) => call.kind === kind),
      );
    }
    const busyMs = this.#engines.reduce((sum, e) => sum + e.busyMs, 0);
    return { kinds, busy: busyMs / (endMs * this.#engines.length) };
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

function rateKind(calls: readonly Call[]): KindResult {
  const bySize = [...calls]
    .sort((a, b) => a.prompt.promptTokens - b.prompt.promptTokens);
  const tenthAt = Math.floor(bySize.length * LARGEST_TENTH);
  const fifthAt = Math.floor(bySize.length * FIFTH_BELOW);
  return {
    asked: calls.length,
    ...rateShares(bySize),
    largestTenth: rateShares(bySize.slice(tenthAt)),
    fifthBelow: rateShares(bySize.slice(fifthAt, tenthAt)),
  };
}

function rateShares(calls: readonly Call[]): Shares {
  const served = calls.filter(isServed).length;
  const onTime = calls.filter((call) =>
    computeFirstTokenMs(call) <= call.kind.aimMs
  );
  const count = Math.max(1, calls.length);
  return { served: served / count, onTime: onTime.length / count };
}

/** Whether the first token reached the caller before it left. */
function isServed(call: Call): boolean {
  return computeFirstTokenMs(call) <= computeCallerPatienceMs(call.kind.aimMs);
}

function computeFirstTokenMs({ readAtMs, atMs }: Call): number {
  return (readAtMs ?? Infinity) + FIRST_TOKEN_MS - atMs;
}
