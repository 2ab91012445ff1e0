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

/** Time that is left for the refusal of a stream whose version is not listed, milliseconds. */
const REFUSAL_RESERVE_MS = 250;

/**
 * Finds the software version at which a call's stream has to go on. If this VM has never listed it, its
 * list may be older than the stream, so the next read is awaited within the client's time.
 */
export async function findStreamVersion(
  context: CallContext,
): Promise<StreamVersionResult> {
  const result = await findRecordedVersion(context);
  if (result.kind === "required") {
    await awaitListedVersion(context, result.softwareVersion);
  }
  return result;
}

async function awaitListedVersion(
  { service, dependencies, remainingMs }: CallContext,
  softwareVersion: string,
): Promise<void> {
  const mayWaitMs = remainingMs - REFUSAL_RESERVE_MS;
  if (mayWaitMs <= 0) return;
  await waitAtMost(
    dependencies.awaitVersionListed(service.name, softwareVersion),
    mayWaitMs,
  );
}

async function waitAtMost(
  promise: Promise<unknown>,
  waitMs: number,
): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<void>((resolve) => {
    timer = setTimeout(resolve, waitMs);
  });
  await Promise.race([promise, timeout]);
  clearTimeout(timer);
}

async function findRecordedVersion(
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
