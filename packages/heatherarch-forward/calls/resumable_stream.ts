/**
 * Which software version a stream has to go on at: the one that began it, for the same client and
 * service.
 *
 * @module
 */
import type { CallContext } from "./call_context.ts";
import type { Target } from "../model.ts";
import {
  computeStreamKey,
  computeStreamLifeMs,
} from "../state/stream_versions.ts";

/** The software version at which a call's stream has to go on. */
export type StreamVersionResult =
  /** The stream has not begun; any version may begin it. */
  | { readonly kind: "any" }
  | { readonly kind: "required"; readonly softwareVersion: string }
  /** The stream has begun, and no VM that responds knows where. */
  | { readonly kind: "unknown" };

/** Finds the software version at which a call's stream has to go on. */
export async function findStreamVersion(
  context: CallContext,
): Promise<StreamVersionResult> {
  const { call, route, dependencies } = context;
  const isBegun = route.kind === "resumableStream" &&
    call.lastEventId !== undefined;
  if (!isBegun) return { kind: "any" };
  const handedOver = call.handover?.softwareVersion;
  if (handedOver !== undefined) {
    return { kind: "required", softwareVersion: handedOver };
  }
  if (call.resumedAttemptId === undefined) return findOnlyVersion(context);
  const key = buildStreamKey(context, call.resumedAttemptId);
  const softwareVersion = await dependencies.findStreamVersion(key);
  return softwareVersion === undefined
    ? { kind: "unknown" }
    : { kind: "required", softwareVersion };
}

/** Records the software version of the engine that begins the stream of a call. */
export function recordStreamVersion(
  context: CallContext,
  { softwareVersion }: Target,
): void {
  const { call, route, dependencies } = context;
  if (route.kind !== "resumableStream") return;
  if (softwareVersion === undefined || call.lastEventId !== undefined) return;
  const key = buildStreamKey(context, call.id);
  dependencies.streamVersions.recordStream({ key, softwareVersion });
}

/**
 * A client that does not name its first attempt is served if there has been only one version for as
 * long as a stream may be taken up.
 */
function findOnlyVersion(
  { service, nowMs, dependencies }: CallContext,
): StreamVersionResult {
  const { activeConfig, versionHistory } = dependencies;
  const streamLifeMs = computeStreamLifeMs(activeConfig.table?.config);
  const softwareVersion = versionHistory.findOnlyVersion(
    service.name,
    nowMs,
    streamLifeMs,
  );
  return softwareVersion === undefined
    ? { kind: "unknown" }
    : { kind: "required", softwareVersion };
}

function buildStreamKey(
  { call: { host, account }, service }: CallContext,
  attemptId: string,
): string {
  return computeStreamKey({ attemptId, host, account, service: service.name });
}
