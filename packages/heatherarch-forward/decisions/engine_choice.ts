/**
 * Which engines of a service may be tried for a call.
 *
 * @module
 */
import type { CallRun } from "../life/call_run.ts";
import type { Target } from "../model.ts";

/** What an engine is needed for. */
export type EngineUse = "reading" | "generating";

/** Engines that may be tried now; avoided ones only where there is no other. */
export function listEngines(
  run: CallRun,
  use: EngineUse,
  tried: ReadonlySet<string>,
): Target[] {
  const { directory, health, connections } = run.serving;
  const { name, maxConnections } = run.service;
  const nowMs = run.nowMs;
  const open = directory.listServing(name)
    .filter((target) => (target.role === "prefill") === (use === "reading"))
    .filter((target) => !tried.has(target.id))
    .filter((target) => !directory.isChanging(target.id, nowMs))
    .filter((target) => connections.hasRoom(target, maxConnections));
  const sound = open.filter((target) => !health.isAvoided(target.id, nowMs));
  return sound.length > 0 ? sound : open;
}
