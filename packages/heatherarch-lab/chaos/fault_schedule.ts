/**
 * Schedule of the faults of a chaos run. The seed determines it, so a run can be replayed.
 *
 * @module
 */
import { Random } from "heatherarch-core";

/** Unplanned faults. */
export const UNPLANNED_FAULTS = [
  "killVm",
  "pauseVm",
  "pauseHolder",
  "cutZone",
  "cutPlatform",
  "silenceConnections",
  "platformDown",
  "platformSlow",
  "loseAppendAnswers",
  "repeatAppends",
  "trimLog",
  "engineCrash",
  "engineCrashInOrder",
  "engineFreeze",
  "engineTruncate",
  "engineCrossAnswers",
  "serviceLoseAnswers",
  "serviceCrash",
] as const;

/** Changes that operators make. They must not interrupt any request. */
export const PLANNED_CHANGES = [
  "terminateVm",
  "drainTarget",
  "withdrawTarget",
  "operatorRace",
  "reviseProfile",
  "listLag",
] as const;

/** What sound targets may do at any time. It must not interrupt any request either. */
export const TARGET_BEHAVIORS = ["silenceTargets"] as const;

/** Name of an unplanned fault, a planned change or a behavior of sound targets. */
export type FaultKind =
  | typeof UNPLANNED_FAULTS[number]
  | typeof PLANNED_CHANGES[number]
  | typeof TARGET_BEHAVIORS[number];

/** One entry of a schedule. */
export interface ScheduledFault {
  readonly kind: FaultKind;
  /** Time from the start of the run, milliseconds. */
  readonly atMs: number;
  readonly durationMs: number;
  /** Selects the VM, zone, target or link: an index modulo their number. */
  readonly selector: number;
}

/** Length of a phase. Phases of planned changes and of unplanned faults alternate. */
const PHASE_MS = 12_000;
/** Time at the end of a phase in which no fault starts, so that the system recovers. */
const PHASE_RECOVERY_MS = 3500;
/** Time for which sound targets are silent before they go on, milliseconds. */
const SILENCE_MS = 1300;
/** Time between the starts of two silences, milliseconds. */
const SILENCE_INTERVAL_MS = { min: 3000, max: 7000 };

/** Whether a fault is unplanned. */
export function isUnplanned(kind: FaultKind): boolean {
  return (UNPLANNED_FAULTS as readonly string[]).includes(kind);
}

/** Builds the schedule of a run from its seed. */
export function buildFaultSchedule(
  seed: number,
  totalMs: number,
): ScheduledFault[] {
  const random = new Random(seed);
  const schedule: ScheduledFault[] = [];
  for (
    let startMs = 1000, phase = 0;
    startMs < totalMs;
    startMs += PHASE_MS, phase++
  ) {
    const kinds = phase % 2 === 0 ? PLANNED_CHANGES : UNPLANNED_FAULTS;
    const endMs = Math.min(startMs + PHASE_MS, totalMs) - PHASE_RECOVERY_MS;
    for (
      let atMs = startMs;
      atMs < endMs;
      atMs += random.drawInteger(600, 2200)
    ) {
      const count = random.drawUnit() < 0.3 ? 2 : 1;
      for (let i = 0; i < count; i++) {
        schedule.push({
          kind: random.drawItem<FaultKind>(kinds),
          atMs,
          durationMs: Math.min(
            random.drawInteger(800, 5000),
            endMs + PHASE_RECOVERY_MS / 2 - atMs,
          ),
          selector: random.drawInteger(0, 1_000_000),
        });
      }
    }
  }
  return [...schedule, ...buildSilences(seed, totalMs)]
    .sort((a, b) => a.atMs - b.atMs);
}

/**
 * Builds the silences of targets, which occur beside everything else. Their draws are their own, so
 * that the seed determines the other entries as it did without them.
 */
function buildSilences(seed: number, totalMs: number): ScheduledFault[] {
  const random = new Random(seed + 2);
  const { min, max } = SILENCE_INTERVAL_MS;
  const silences: ScheduledFault[] = [];
  for (
    let atMs = random.drawInteger(min, max);
    atMs < totalMs - SILENCE_MS;
    atMs += random.drawInteger(min, max)
  ) {
    silences.push({
      kind: "silenceTargets",
      atMs,
      durationMs: SILENCE_MS,
      selector: random.drawInteger(0, 1_000_000),
    });
  }
  return silences;
}
