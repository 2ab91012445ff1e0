/**
 * Simulates VMs that send plain calls and prompts to targets which differ in speed and are slow for
 * short spans of time, to compare what VMs know of the targets and how they choose.
 *
 * Every call is sent at once; targets serve calls in order of arrival. Queues at the VMs, caches,
 * decoding, faults and false reports are not simulated.
 *
 * @module
 */
import { Random } from "heatherarch-core";
import { EngineJitter } from "heatherarch-forward";
import { TargetLoads, TargetSpeeds } from "heatherarch-load";
import { EventQueue } from "./event_queue.ts";
import { computeAgeMs, type FleetSize } from "./fleet_size.ts";
import { LaggedWork } from "./lagged_work.ts";
import { drawIndex, type LoadChoice, pickBestOfFew } from "./load_choice.ts";
import {
  LOAD_KINDS,
  type LoadKind,
  type PoolName,
  POOLS,
  SLOW_SPANS,
} from "./load_model.ts";
import { LoadNews } from "./load_news.ts";
import { type LoadSummary, LoadTally } from "./load_tally.ts";
import { computeRowTraffic } from "./row_traffic.ts";
import { SimulatedTarget } from "./simulated_target.ts";

/** What a VM knows of targets. */
export const LOAD_KNOWLEDGE = [
  /**
   * No reports. Prefill engines have learned speeds from the start. Plain targets are chosen by the
   * work that is known, and a speed that is learned during the simulation.
   */
  "ignored",
  /** Learned speeds of all targets, no reports. */
  "speeds",
  /** Also reports that the VM itself received. */
  "own",
  /** Also reports that peers received. */
  "shared",
  /** Current slowdowns, speeds and work of all VMs. */
  "oracle",
] as const;

/** Name of what a VM knows. */
export type LoadKnowledge = typeof LOAD_KNOWLEDGE[number];

/** Options of {@linkcode simulateLoad}. */
export interface LoadSimulationOptions {
  readonly seed: number;
  readonly size: FleetSize;
  readonly knows: LoadKnowledge;
  readonly choice: LoadChoice;
  readonly seconds?: number;
  /** Mean utilization of the targets. */
  readonly load?: number;
}

/** Result of {@linkcode simulateLoad}; shares are 0 to 1. */
export interface LoadResult extends LoadSummary {
  /** Bytes per second that an ordinary VM sends and receives for reports. */
  readonly bytesPerSecond: number;
  readonly droppedNews: number;
  /** Processor time of a decision, microseconds. */
  readonly decisionMicros: number;
}

interface Pool {
  /** Index of its first target. */
  readonly first: number;
  readonly targets: readonly SimulatedTarget[];
  readonly meanWorkMs: number;
  readonly jitters: readonly EngineJitter[];
}

interface Vm {
  readonly index: number;
  readonly loads: TargetLoads;
  readonly speeds: TargetSpeeds;
  /** Whether the sample that is recorded is news to peers. */
  hasNews: boolean;
}

/** Factor of the load in the middle third of the time. */
const BURST = 1.4;
/** Responses of a target that a VM has learned from before the simulation begins. */
const LEARNED_RESPONSES = 60;
/** Relative measurement noise of a reported slowdown. */
const REPORT_NOISE = 0.05;
/** Utilizations of plain targets closer than this are ordered at random today. */
const TIE_BREAK_RANGE = 0.02;
/** Longest jitter as a share of the mean work at a target, 20 ms for prompts. */
const JITTER_SHARE = 0.15;
/** Encoded size of a row: target id of 12 characters, three counts, slowdown and age. */
const ROW_BYTES = 24;
const DEFAULTS = { seconds: 9, load: 0.6 };

/** Runs one simulation. */
export function simulateLoad(options: LoadSimulationOptions): LoadResult {
  return new LoadSimulation(options).run();
}

class LoadSimulation {
  readonly #options: Required<LoadSimulationOptions>;
  readonly #random: Random;
  readonly #events = new EventQueue();
  readonly #targets: SimulatedTarget[];
  readonly #ids: string[];
  readonly #pools: Record<PoolName, Pool>;
  readonly #work: LaggedWork;
  readonly #news: LoadNews;
  readonly #vms: Vm[];
  /** Sums of the VMs' weights, to draw one. */
  readonly #weightSums: number[] = [];
  readonly #tally = new LoadTally();
  #decisions = 0;
  #decisionMs = 0;

  constructor(options: LoadSimulationOptions) {
    this.#options = {
      ...options,
      seconds: options.seconds ?? DEFAULTS.seconds,
      load: options.load ?? DEFAULTS.load,
    };
    const { seed, size } = options;
    this.#random = new Random(seed);
    this.#pools = this.#buildPools(size);
    const { plain, prefill, uneven } = this.#pools;
    this.#targets = [plain, prefill, uneven].flatMap(({ targets }) => targets);
    this.#ids = this.#targets.map((_, i) => `target-${i}`);
    this.#work = new LaggedWork({
      events: this.#events,
      vms: size.vms,
      targets: this.#targets.length,
      maxAgeMs: size.maxAgeMs,
    });
    this.#news = new LoadNews(size.vms);
    this.#vms = Array.from({ length: size.vms }, (_, i) => this.#buildVm(i));
  }

  run(): LoadResult {
    const { seconds } = this.#options;
    for (const kind of LOAD_KINDS) this.#scheduleArrival(kind);
    const longestMs = Math.max(...LOAD_KINDS.map(({ timeoutMs }) => timeoutMs));
    this.#events.runUntil(seconds * 1000 + longestMs);
    return this.#buildResult();
  }

  #buildPools(size: FleetSize): Record<PoolName, Pool> {
    const plain = this.#buildTargets("plain", size.plainTargets);
    const engines = this.#buildTargets("prefill", size.prefillEngines);
    const uneven = this.#buildTargets("uneven", size.unevenTargets);
    const firstUneven = plain.length + engines.length;
    return {
      plain: this.#buildPool("plain", 0, plain),
      prefill: this.#buildPool("prefill", plain.length, engines),
      uneven: this.#buildPool("uneven", firstUneven, uneven),
    };
  }

  #buildTargets(pool: PoolName, count: number): SimulatedTarget[] {
    const { slots, speeds, slow } = POOLS[pool];
    return Array.from({ length: count }, (_, i) =>
      new SimulatedTarget({
        events: this.#events,
        random: this.#random,
        slots,
        speed: speeds[i % speeds.length],
        slow,
      }));
  }

  #buildPool(
    name: PoolName,
    first: number,
    targets: readonly SimulatedTarget[],
  ): Pool {
    const kinds = LOAD_KINDS.filter(({ pool }) => pool === name);
    const calls = kinds.reduce(
      (sum, { workShare, meanWorkMs }) => sum + workShare / meanWorkMs,
      0,
    );
    const meanWorkMs = 1 / calls;
    const maxMs = meanWorkMs * JITTER_SHARE;
    const drawUnit = () => this.#random.drawUnit();
    const jitters = Array.from(
      { length: this.#options.size.vms },
      (_, i) => new EngineJitter({ vmId: `vm-${i}`, drawUnit, maxMs }),
    );
    return { first, targets, meanWorkMs, jitters };
  }

  #buildVm(index: number): Vm {
    const vm = {
      index,
      loads: new TargetLoads(),
      speeds: new TargetSpeeds(),
      hasNews: false,
    };
    vm.loads.registerListener(() => vm.hasNews = true);
    const weight = 0.2 + 1.6 * this.#random.drawUnit();
    this.#weightSums.push((this.#weightSums.at(-1) ?? 0) + weight);
    const { knows } = this.#options;
    this.#targets.forEach((target, i) => {
      const isLearned = knows !== "ignored" || target.slots === 1;
      for (let n = 0; isLearned && n < LEARNED_RESPONSES; n++) {
        const isSlow = this.#random.drawUnit() < SLOW_SPANS.share;
        const slowdown = isSlow ? SLOW_SPANS.slowdown : 1;
        const tookMs = target.speed * slowdown;
        this.#learnSpeed(vm, i, { tookMs, expectedMs: 1, slowdown });
      }
    });
    return vm;
  }

  #learnSpeed(
    vm: Vm,
    target: number,
    sample: { tookMs: number; expectedMs: number; slowdown: number },
  ): void {
    const { knows } = this.#options;
    const hasReports = knows === "own" || knows === "shared";
    const slowdown = hasReports ? sample.slowdown : 1;
    vm.speeds.learn(this.#ids[target], { ...sample, slowdown });
  }

  #scheduleArrival(kind: LoadKind): void {
    const { seconds } = this.#options;
    const endMs = seconds * 1000;
    const burstRate = this.#computeRate(kind) * BURST;
    this.#events.delay(this.#random.drawExponential(1 / burstRate), () => {
      const { nowMs } = this.#events;
      if (nowMs >= endMs) return;
      const isBurst = nowMs > endMs / 3 && nowMs < endMs * 2 / 3;
      const isDrawn = isBurst || this.#random.drawUnit() < 1 / BURST;
      if (isDrawn) this.#sendCall(kind);
      this.#scheduleArrival(kind);
    });
  }

  /** Calls per millisecond at the mean load. */
  #computeRate(kind: LoadKind): number {
    const { slow } = POOLS[kind.pool];
    const slowdown = 1 + slow.share * (slow.slowdown - 1);
    const capacity = this.#pools[kind.pool].targets.reduce(
      (sum, { slots, speed }) => sum + slots / speed / slowdown,
      0,
    );
    return this.#options.load * capacity * kind.workShare / kind.meanWorkMs;
  }

  #sendCall(kind: LoadKind): void {
    const vm = this.#drawVm();
    const workMs = kind.meanWorkMs *
      (1 + kind.workSpread * (2 * this.#random.drawUnit() - 1));
    const startedAt = performance.now();
    const index = this.#pickTarget(vm, this.#pools[kind.pool], workMs);
    this.#decisionMs += performance.now() - startedAt;
    this.#decisions++;
    const target = this.#targets[index];
    const atMs = this.#events.nowMs;
    this.#work.add(vm.index, index, workMs);
    target.accept(workMs, (tookMs) => {
      this.#work.add(vm.index, index, -workMs);
      this.#tally.record(kind, this.#events.nowMs - atMs, workMs);
      this.#recordReport(vm, index, target);
      const slowdown = tookMs / (workMs * target.speed);
      this.#learnSpeed(vm, index, { tookMs, expectedMs: workMs, slowdown });
    });
  }

  #drawVm(): Vm {
    const total = this.#weightSums[this.#weightSums.length - 1];
    const drawn = this.#random.drawUnit() * total;
    let low = 0;
    let high = this.#weightSums.length - 1;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.#weightSums[middle] <= drawn) low = middle + 1;
      else high = middle;
    }
    return this.#vms[low];
  }

  #pickTarget(vm: Vm, pool: Pool, workMs: number): number {
    const { size, knows, choice } = this.#options;
    const { nowMs } = this.#events;
    const ageMs = computeAgeMs(size, vm.index, nowMs);
    if (knows === "shared") {
      for (const sample of this.#news.take(vm.index, nowMs - ageMs)) {
        vm.loads.mergePeerSample(sample);
      }
    }
    const work = knows === "oracle"
      ? this.#work.current
      : this.#work.copyKnown(vm.index, ageMs);
    const times = pool.targets.map((target, i) =>
      this.#predictMs(vm, target, {
        pool,
        index: pool.first + i,
        knownMs: work[pool.first + i],
        workMs,
      })
    );
    switch (choice) {
      case "best":
        return pool.first + this.#findBest(vm, pool, times);
      case "draw":
        return pool.first + drawIndex(times, this.#random);
      case "few":
        return pool.first + pickBestOfFew(times, this.#random);
    }
  }

  /** Predicts when a target would have finished a call. */
  #predictMs(
    vm: Vm,
    target: SimulatedTarget,
    { pool, index, knownMs, workMs }: {
      pool: Pool;
      index: number;
      knownMs: number;
      workMs: number;
    },
  ): number {
    const { knows } = this.#options;
    const { slots } = target;
    const factor = this.#getFactor(vm, index, target);
    if (knows === "ignored" && slots > 1) {
      return Math.max(0, knownMs) / slots * factor;
    }
    const waitMs = Math.max(0, knownMs - (slots - 1) * pool.meanWorkMs) / slots;
    return (waitMs + workMs) * factor;
  }

  #getFactor(vm: Vm, index: number, target: SimulatedTarget): number {
    const id = this.#ids[index];
    switch (this.#options.knows) {
      case "oracle":
        return target.speed * target.slowdown;
      case "own":
      case "shared":
        return vm.speeds.getFactor(id) *
          vm.loads.estimateSlowdown(id, this.#events.nowMs);
      default:
        return vm.speeds.getFactor(id);
    }
  }

  #findBest(vm: Vm, pool: Pool, times: readonly number[]): number {
    let best = 0;
    let bestMs = Infinity;
    times.forEach((timeMs, i) => {
      const jitterMs = this.#drawJitterMs(vm, pool, i);
      if (timeMs + jitterMs >= bestMs) return;
      best = i;
      bestMs = timeMs + jitterMs;
    });
    return best;
  }

  #drawJitterMs(vm: Vm, pool: Pool, index: number): number {
    const { knows } = this.#options;
    if (knows === "oracle") return 0;
    if (knows === "ignored" && pool.targets[index].slots > 1) {
      return TIE_BREAK_RANGE * pool.meanWorkMs * this.#random.drawUnit();
    }
    return pool.jitters[vm.index].drawMs(this.#ids[pool.first + index]);
  }

  #recordReport(vm: Vm, index: number, target: SimulatedTarget): void {
    const { knows } = this.#options;
    if (knows !== "own" && knows !== "shared") return;
    const noise = 1 + REPORT_NOISE * (2 * this.#random.drawUnit() - 1);
    const sample = {
      target: this.#ids[index],
      running: target.running,
      waiting: target.waiting,
      slots: target.slots,
      slowdown: target.slowdown * noise,
      atMs: this.#events.nowMs,
    };
    vm.hasNews = false;
    vm.loads.record(sample);
    if (knows === "shared" && vm.hasNews) {
      this.#news.add({ vm: vm.index, sample });
    }
  }

  #computeBytesPerSecond(): number {
    const { size, seconds } = this.#options;
    const rows = computeRowTraffic(size, {
      ownRows: this.#news.rowCount / size.vms,
      hubRows: this.#news.relayedCount,
    });
    return rows * ROW_BYTES / seconds;
  }

  #buildResult(): LoadResult {
    return {
      ...this.#tally.summarize(),
      bytesPerSecond: this.#computeBytesPerSecond(),
      droppedNews: this.#news.droppedShare,
      decisionMicros: this.#decisionMs * 1000 / this.#decisions,
    };
  }
}
