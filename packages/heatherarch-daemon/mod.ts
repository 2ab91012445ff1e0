/**
 * The process of an entry VM.
 *
 * @module
 */
export * from "./claim_service.ts";
export * from "./config_reader.ts";
export * from "./control_task.ts";
export * from "./entry_vm.ts";
export * from "./heartbeat_builder.ts";
export * from "./logger.ts";
export * from "./metrics.ts";
export * from "./order_executor.ts";
export * from "./target_table.ts";
export * from "./target_watcher.ts";
export * from "./zone_view.ts";
