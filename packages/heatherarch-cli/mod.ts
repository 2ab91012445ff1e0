/**
 * Command line for operators.
 *
 * @module
 */
export * from "./commands.ts";
export * from "./exit_codes.ts";
export * from "./operator_client.ts";
