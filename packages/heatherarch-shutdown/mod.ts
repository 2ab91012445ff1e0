/**
 * Phases of a graceful shutdown, admission of calls meanwhile, and closing of client connections.
 *
 * @module
 */
export * from "./call_durations.ts";
export * from "./connection_drainer.ts";
export * from "./shutdown.ts";
export * from "./shutdown_tally.ts";
