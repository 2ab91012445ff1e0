/**
 * Clusters on the loopback interface, a load tool, benchmarks, and proofs under failure.
 *
 * @module
 */
export * from "./test_client.ts";
export * from "./cluster.ts";
export * from "./deployment.ts";
export * from "./mixed_load.ts";
export * from "./summary.ts";
