/**
 * Publication of operators' changes on the configuration stream.
 *
 * @module
 */
import { ServeError } from "heatherarch-core";
import {
  appendOnce,
  CONFIG_FORMAT,
  CONFIG_STREAM,
  LogUnavailableError,
} from "heatherarch-log";
import type { PublishRequest, PublishResult } from "./operator_server.ts";
import type { Components } from "./components.ts";

const PUBLISH_TIMEOUT_MS = 8000;
/** Shorter timeout during a known platform outage, so that a drain spreads over the mesh soon. */
const OUTAGE_TIMEOUT_MS = 1000;

/**
 * Publishes a change and reads its verdict back. Throws {@linkcode ServeError} if the log doesn't
 * respond.
 */
export async function publishChange(
  components: Components,
  request: PublishRequest,
): Promise<PublishResult> {
  const { config, log, clock } = components;
  const record = {
    type: "change" as const,
    format: CONFIG_FORMAT,
    id: request.id,
    author: request.author,
    atMs: clock.readWallMs(),
    baseRevision: request.baseRevision,
    change: request.change,
  };
  try {
    const offset = await appendOnce(log, CONFIG_STREAM, record, {
      searchFrom: config.state.offset + 1,
      timeoutMs: config.isPlatformUp ? PUBLISH_TIMEOUT_MS : OUTAGE_TIMEOUT_MS,
      readMonotonicMs: () => clock.readMonotonicMs(),
    });
    while (config.state.offset < offset) await config.catchUp();
  } catch (error) {
    if (!(error instanceof LogUnavailableError)) throw error;
    const message =
      "the platform's log does not answer; whether the change stands is not known";
    throw new ServeError("platformUnavailable", message, { run: "unknown" });
  }
  const entry = config.state.audit.find((candidate) =>
    candidate.id === request.id
  );
  if (entry === undefined) {
    throw new ServeError("internal", "no verdict on the change");
  }
  const { verdict, offset, reason } = entry;
  return { verdict, offset, ...(reason === undefined ? {} : { reason }) };
}
