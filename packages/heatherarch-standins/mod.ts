/**
 * Stand-ins for the platform, engines and plain services, with ledgers of what they were
 * asked and switches for their failures.
 *
 * @module
 */
export * from "./completion.ts";
export * from "./fault_proxy.ts";
export * from "./engine_server.ts";
export * from "./engine_simulation.ts";
export * from "./free_ports.ts";
export * from "./http_server.ts";
export * from "./memory_log.ts";
export * from "./platform_server.ts";
export * from "./service_server.ts";
export * from "./standin_set.ts";
