/**
 * Requests that end the targets that run them, and how they are held back.
 *
 * @module
 */
export * from "./loss_inquiry.ts";
export * from "./request_digest.ts";
export * from "./request_quarantine.ts";
export * from "./target_probe.ts";
