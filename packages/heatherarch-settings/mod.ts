/**
 * Settings of one process, and the fleet configuration and profiles that operators publish.
 *
 * @module
 */
export * from "./input_issue.ts";
export * from "./fleet.ts";
export * from "./forward_settings.ts";
export * from "./profile.ts";
export * from "./process_settings.ts";
export * from "./toml.ts";
