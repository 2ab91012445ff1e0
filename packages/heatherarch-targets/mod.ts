/**
 * Ports and adapters for engines and plain services.
 *
 * @module
 */
export * from "./dispatch.ts";
export * from "./response_parser.ts";
export type { EngineOptions } from "./engine_client.ts";
export * from "./engine_port.ts";
export * from "./engine_registry.ts";
export * from "./ndjson_engine.ts";
export * from "./service_port.ts";
export * from "./sse_engine.ts";
