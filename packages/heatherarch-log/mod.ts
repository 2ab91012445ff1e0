/**
 * The platform's log as the system uses it: port, HTTP adapter, idempotent writer, gap-free
 * reader, and the fold of the configuration stream.
 *
 * @module
 */
export * from "./config_fold.ts";
export * from "./config_records.ts";
export * from "./config_view.ts";
export * from "./http_log.ts";
export * from "./log_port.ts";
export * from "./log_writer.ts";
export * from "./stream_reader.ts";
export * from "./vm_list.ts";
