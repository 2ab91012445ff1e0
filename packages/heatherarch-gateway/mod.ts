/**
 * HTTP server for clients, and the handling of their requests.
 *
 * @module
 */
export * from "./account_directory.ts";
export * from "./gateway.ts";
export * from "./gateway_host.ts";
export * from "./generation.ts";
export * from "./generation_response.ts";
export * from "./generation_store.ts";
export * from "./openai_format.ts";
export * from "./plain_call.ts";
export * from "./request_body.ts";
export * from "./request_ending.ts";
export * from "./request_watch.ts";
