/**
 * Ports and adapters towards engines and plain services.
 *
 * @module
 */
export * from "./dispatch.ts";
export {
  type AnswerParser,
  type EngineOptions,
  PARSER_GUARDS,
  type ParserGuard,
  type ParserOptions,
} from "./engine_client.ts";
export * from "./engine_port.ts";
export * from "./engine_registry.ts";
export * from "./ndjson_engine.ts";
export * from "./service_port.ts";
export * from "./sse_engine.ts";
