/**
 * Return times of rejected clients, and the recognition of their returns.
 *
 * @module
 */
export * from "./booked_accounts.ts";
export * from "./booked_slots.ts";
export * from "./claim_window.ts";
export * from "./return_book.ts";
export * from "./return_detector.ts";
