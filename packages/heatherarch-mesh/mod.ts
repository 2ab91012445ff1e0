/**
 * Mesh of the entry VMs: TCP links, heartbeats, calls and membership.
 *
 * @module
 */
export * from "./frame.ts";
export * from "./handover_messages.ts";
export * from "./hub_selection.ts";
export * from "./leaving_set.ts";
export * from "./link.ts";
export * from "./loop_stall_detector.ts";
export * from "./membership.ts";
export * from "./mesh_calls.ts";
export * from "./mesh_node.ts";
export * from "./mesh_sockets.ts";
export * from "./messages.ts";
export * from "./pending_calls.ts";
export * from "./round_interval.ts";
