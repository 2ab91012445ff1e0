/**
 * Which software version a stream has to go on at: the one that began it, for the same client and
 * service.
 *
 * @module
 */
import type { CallContext } from "./call_context.ts";
import type { Target } from "../model.ts";
import { computeStreamKey } from "../state/stream_versions.ts";

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
  if (route.kind !== "resumableStream") return { kind: "any" };
  const handedOver = call.handover?.softwareVersion;
  if (handedOver !== undefined) {
    return { kind: "required", softwareVersion: handedOver };
  }
  if (call.lastEventId === undefined) return { kind: "any" };
  if (call.resumedAttemptId === undefined) return findOnlyVersion(context);
  const key = buildStreamKey(context, call.resumedAttemptId);
  const softwareVersion = await dependencies.findStreamVersion(key);
  return softwareVersion === undefined
    ? findOnlyVersion(context)
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

/** Without a record of the stream, it goes on only if one version alone may have begun it. */
async function findOnlyVersion(
  { service, dependencies }: CallContext,
): Promise<StreamVersionResult> {
  const softwareVersion = await dependencies.findOnlyVersion(service.name);
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
