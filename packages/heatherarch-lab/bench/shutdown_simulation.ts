/**
 * Simulates the calls of one VM that shuts down, to compare rules for which of them are served.
 *
 * @module
 */
import { ManualClock, type Random } from "heatherarch-core";
import { Shutdown } from "heatherarch-shutdown";
import {
  type ArrivingCallView,
  RecentDurations,
  SHUTDOWN_RULES,
  type ShutdownRule,
} from "./shutdown_rules.ts";
import { drawWorkMs, type SimulatedKind } from "./shutdown_kinds.ts";

/** When targets fall silent and go on: never, each at a random moment, or all at the same moment. */
export const SILENCES = ["none", "random", "late"] as const;

/** Name of a case of silent targets. */
export type Silences = typeof SILENCES[number];

/** Options of {@linkcode simulateShutdowns}. */
export interface ShutdownSimulationOptions {
  readonly rule: ShutdownRule;
  readonly kinds: readonly SimulatedKind[];
  readonly silences: Silences;
  /** Calls of each kind that the VM has served before the shutdown. */
  readonly servedBefore: number;
  readonly random: Random;
  readonly shutdowns: number;
}

/** What became of the calls that arrived during the shutdowns. */
export interface ShutdownCounts {
  calls: number;
  /** Calls without a whole response as the VM ended. */
  cut: number;
  /** Those of them that may run only once. */
  cutOnce: number;
  /** Streams that ended between two events and go on at another VM. */
  handedOn: number;
  refused: number;
  /** Calls that were refused and would have ended before the VM did. */
  needless: number;
  /** Those of them that arrived in the first two seconds. */
  needlessEarly: number;
  /** Time that refusals cost the callers, milliseconds. */
  extraMs: number;
  /** Time that callers had waited for calls that were cut, milliseconds. */
  wastedMs: number;
}

/** Time during which a target does not work. */
interface Silence {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A call that arrives during the shutdown, and when it would end. */
interface SimulatedCall {
  readonly kind: SimulatedKind;
  readonly arrivedAtMs: number;
  readonly endsAtMs: number;
  readonly refusalMs: number;
}

/** Decides on the calls of one shutdown in the order of their arrival. */
interface Decider {
  recordServed(kind: SimulatedKind, tookMs: number): void;
  begin(): void;
  admits(call: SimulatedCall): boolean;
  conclude(): void;
}

const GRACE_MS = 8000;
const NOTICE_MS = 2800;
const EXIT_MARGIN_MS = 300;
const LIFE_MS = GRACE_MS - EXIT_MARGIN_MS;
/** No call that could have ended is refused before this time. */
const EARLY_MS = 2000;
/** Calls on connections that were open before the shutdown, over its whole time. */
const KEPT_CONNECTION_CALLS = 60;
/** Calls on new connections, during the notice. */
const NEW_CONNECTION_CALLS = 60;
const TARGETS = 6;
const MIN_SILENCE_MS = 1200;
const MAX_SILENCE_MS = 1500;
const LATE_SILENCE_AT_MS = 5000;
/** Share of the targets that fall silent once while a VM shuts down, if they do so at random moments. */
const SILENT_SHARE = 0.5;
const MIN_ROUND_TRIP_MS = 2;
const MAX_ROUND_TRIP_MS = 6;
const HANDSHAKE_MS = 1;
/** Share of the other VMs that shut down as well: one of eight. */
const STOPPING_SHARE = 1 / 8;

/** Simulates shutdowns, each with a VM of its own, and sums up what became of the calls. */
export function simulateShutdowns(
  options: ShutdownSimulationOptions,
): ShutdownCounts {
  const counts: ShutdownCounts = {
    calls: 0,
    cut: 0,
    cutOnce: 0,
    handedOn: 0,
    refused: 0,
    needless: 0,
    needlessEarly: 0,
    extraMs: 0,
    wastedMs: 0,
  };
  for (let i = 0; i < options.shutdowns; i++) simulateOne(options, counts);
  return counts;
}

function simulateOne(
  options: ShutdownSimulationOptions,
  counts: ShutdownCounts,
): void {
  const { rule, kinds, servedBefore } = options;
  const history = kinds.map((kind) =>
    Array.from({ length: servedBefore }, () => drawServedMs(kind, options))
  );
  const calls = drawCalls(options);
  // All rules decide on the same calls, whatever they need themselves.
  const decider = rule === "product"
    ? new ProductDecider()
    : new RuleDecider(rule);
  kinds.forEach((kind, i) => {
    for (const tookMs of history[i]) decider.recordServed(kind, tookMs);
  });
  decider.begin();
  const open: SimulatedCall[] = [];
  for (const call of calls) {
    recordEnded(open, call.arrivedAtMs, decider);
    if (decider.admits(call)) open.push(call);
    countCall(call, open.at(-1) === call, counts);
  }
  decider.conclude();
}

/** Records the calls that have ended until a time. */
function recordEnded(
  open: SimulatedCall[],
  nowMs: number,
  decider: Decider,
): void {
  for (let i = open.length - 1; i >= 0; i--) {
    const { kind, arrivedAtMs, endsAtMs } = open[i];
    if (endsAtMs > nowMs) continue;
    open.splice(i, 1);
    decider.recordServed(kind, endsAtMs - arrivedAtMs);
  }
}

function countCall(
  { kind, arrivedAtMs, endsAtMs, refusalMs }: SimulatedCall,
  isServed: boolean,
  counts: ShutdownCounts,
): void {
  const endsInTime = endsAtMs <= LIFE_MS;
  counts.calls++;
  if (!isServed) {
    counts.refused++;
    counts.extraMs += refusalMs;
    if (endsInTime) counts.needless++;
    if (endsInTime && arrivedAtMs < EARLY_MS) counts.needlessEarly++;
    return;
  }
  if (endsInTime) return;
  if (kind.repetition === "resumable") {
    counts.handedOn++;
    return;
  }
  counts.cut++;
  counts.wastedMs += LIFE_MS - arrivedAtMs;
  if (kind.repetition === "once") counts.cutOnce++;
}

/** Draws the calls of one shutdown in the order of their arrival. */
function drawCalls(options: ShutdownSimulationOptions): SimulatedCall[] {
  const { random } = options;
  const silences = drawSilences(options);
  const draw = (untilMs: number): SimulatedCall => {
    const kind = drawKind(options);
    const arrivedAtMs = random.drawUnit() * untilMs;
    const silence = random.drawItem(silences);
    const workMs = drawWorkMs(kind, random);
    const workedAtMs = computeEndMs(arrivedAtMs, workMs, silence);
    return {
      kind,
      arrivedAtMs,
      endsAtMs: Math.min(workedAtMs, arrivedAtMs + kind.timeoutMs),
      refusalMs: drawRefusalMs(random),
    };
  };
  return [
    ...Array.from({ length: KEPT_CONNECTION_CALLS }, () => draw(LIFE_MS)),
    ...Array.from({ length: NEW_CONNECTION_CALLS }, () => draw(NOTICE_MS)),
  ].sort((a, b) => a.arrivedAtMs - b.arrivedAtMs);
}

/** Draws for each target when it is silent; undefined if it isn't. */
function drawSilences(
  { random, silences }: ShutdownSimulationOptions,
): (Silence | undefined)[] {
  return Array.from({ length: TARGETS }, () => {
    const fromMs = silences === "late"
      ? LATE_SILENCE_AT_MS
      : random.drawUnit() * GRACE_MS;
    const lengthMs = drawBetween(random, MIN_SILENCE_MS, MAX_SILENCE_MS);
    const isSilent = random.drawUnit() < SILENT_SHARE;
    if (silences === "none" || (silences === "random" && !isSilent)) {
      return undefined;
    }
    return { fromMs, untilMs: fromMs + lengthMs };
  });
}

/** Draws the duration of a call before the shutdown, when a target is seldom silent. */
function drawServedMs(
  kind: SimulatedKind,
  { random }: ShutdownSimulationOptions,
): number {
  return Math.min(kind.timeoutMs, drawWorkMs(kind, random));
}

function drawKind(
  { kinds, random }: ShutdownSimulationOptions,
): SimulatedKind {
  const total = kinds.reduce((sum, { weight }) => sum + weight, 0);
  let rest = random.drawUnit() * total;
  for (const kind of kinds) {
    rest -= kind.weight;
    if (rest < 0) return kind;
  }
  return kinds[kinds.length - 1];
}

/** A refusal costs a round trip, and a new connection to a VM that may shut down as well. */
function drawRefusalMs(random: Random): number {
  const roundTripMs = drawBetween(random, MIN_ROUND_TRIP_MS, MAX_ROUND_TRIP_MS);
  let tookMs = 0;
  do tookMs += 2 * roundTripMs + HANDSHAKE_MS; while (
    random.drawUnit() < STOPPING_SHARE
  );
  return tookMs;
}

function computeEndMs(
  arrivedAtMs: number,
  workMs: number,
  silence: Silence | undefined,
): number {
  const endsAtMs = arrivedAtMs + workMs;
  if (silence === undefined || arrivedAtMs >= silence.untilMs) return endsAtMs;
  if (endsAtMs <= silence.fromMs) return endsAtMs;
  return endsAtMs + silence.untilMs - Math.max(silence.fromMs, arrivedAtMs);
}

function drawBetween(random: Random, low: number, high: number): number {
  return low + random.drawUnit() * (high - low);
}

/** Decides with a rule of the comparison. */
class RuleDecider implements Decider {
  readonly #admits: (call: ArrivingCallView) => boolean;
  readonly #durations = new Map<string, RecentDurations>();

  constructor(rule: Exclude<ShutdownRule, "product">) {
    this.#admits = SHUTDOWN_RULES[rule];
  }

  recordServed({ name }: SimulatedKind, tookMs: number): void {
    const durations = this.#durations.get(name) ?? new RecentDurations();
    this.#durations.set(name, durations);
    durations.record(tookMs);
  }

  begin(): void {}

  admits({ kind, arrivedAtMs }: SimulatedCall): boolean {
    return this.#admits({
      timeoutMs: kind.timeoutMs,
      objectiveMs: kind.objectiveMs,
      mayRepeat: kind.repetition !== "once",
      remainingMs: LIFE_MS - arrivedAtMs,
      isEarly: arrivedAtMs < EARLY_MS,
      recent: this.#durations.get(kind.name),
    });
  }

  conclude(): void {}
}

/** Decides as the product does. */
class ProductDecider implements Decider {
  readonly #clock = new ManualClock();
  readonly #shutdown = new Shutdown({
    clock: this.#clock,
    graceMs: GRACE_MS,
    noticeMs: NOTICE_MS,
    exitMarginMs: EXIT_MARGIN_MS,
  });

  recordServed({ name }: SimulatedKind, tookMs: number): void {
    this.#shutdown.recordServed(name, tookMs);
  }

  begin(): void {
    this.#shutdown.begin();
  }

  admits({ kind, arrivedAtMs }: SimulatedCall): boolean {
    this.#clock.advance(arrivedAtMs - this.#clock.readMonotonicMs());
    const { name: route, timeoutMs } = kind;
    return this.#shutdown.admits({ route, timeoutMs });
  }

  conclude(): void {
    this.#shutdown.conclude();
  }
}
