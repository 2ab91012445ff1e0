/**
 * Maps each dialect to its adapter.
 *
 * @module
 */
import type { EngineDialect } from "heatherarch-settings";
import type { EngineOptions } from "./engine_client.ts";
import type { EnginePort } from "./engine_port.ts";
import { NdjsonEngine } from "./ndjson_engine.ts";
import { SseEngine } from "./sse_engine.ts";

const ADAPTERS: Record<
  EngineDialect,
  new (options: EngineOptions) => EnginePort
> = {
  sse: SseEngine,
  ndjson: NdjsonEngine,
};

/** Creates the adapter for an engine. */
export function createEngine(
  dialect: EngineDialect,
  options: EngineOptions,
): EnginePort {
  return new ADAPTERS[dialect](options);
}
