/**
 * Client accounts and the API keys by which they are found.
 *
 * @module
 */
export * from "./api_key_index.ts";
