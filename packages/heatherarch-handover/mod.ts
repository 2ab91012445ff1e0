/**
 * Connections over which a VM hands calls over to a peer that reaches targets.
 *
 * @module
 */
export * from "./handover_client.ts";
export * from "./handover_connection.ts";
export * from "./handover_server.ts";
export * from "./peer_selection.ts";
