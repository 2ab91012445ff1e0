/**
 * Proofs of the state machines that make the system's decisions.
 *
 * @module
 */
import { CLAIMS_PROOF } from "./claims_proof.ts";
import { CONFIG_PROOF } from "./config_proof.ts";
import { CONFIG_READS_PROOF } from "./config_reads_proof.ts";
import { DISCONNECT_PROOF } from "./disconnect_proof.ts";
import { ERROR_PROOF } from "./error_proof.ts";
import { GENERATION_PROOF } from "./generation_proof.ts";
import { HANDOVER_PROOF } from "./handover_proof.ts";
import { LEASE_PROOF } from "./lease_proof.ts";
import { LEAVING_PROOF } from "./leaving_proof.ts";
import { MEMBERSHIP_PROOF } from "./membership_proof.ts";
import { ORDER_WRITE_PROOF } from "./order_write_proof.ts";
import { PARSER_PROOF } from "./parser_proof.ts";
import { PART_QUARANTINE_PROOF } from "./part_quarantine_proof.ts";
import type { Proof } from "./proof.ts";
import { QUARANTINE_PROOF } from "./quarantine_proof.ts";
import { RATE_LIMIT_PROOF } from "./rate_limit_proof.ts";
import { RESTORED_LOG_PROOF } from "./restored_log_proof.ts";
import { RETRY_BUDGET_PROOF } from "./retry_budget_proof.ts";
import { RETURNS_PROOF } from "./returns_proof.ts";
import { SHARES_PROOF } from "./shares_proof.ts";
import { SHUTDOWN_PROOF } from "./shutdown_proof.ts";
import { STREAM_PROOF } from "./stream_proof.ts";
import { TARGET_LIST_PROOF } from "./target_list_proof.ts";
import { VERSION_PROOF } from "./version_proof.ts";

export * from "./fake_host.ts";
export * from "./proof.ts";

/** All proofs, with the number of schedules that a test run and a mutation run execute. */
export const PROOFS: readonly {
  proof: Proof;
  testRuns: number;
  mutationRuns: number;
}[] = [
  { proof: LEASE_PROOF, testRuns: 400, mutationRuns: 300_000 },
  { proof: CLAIMS_PROOF, testRuns: 400, mutationRuns: 20_000 },
  { proof: CONFIG_PROOF, testRuns: 300, mutationRuns: 5000 },
  { proof: LEAVING_PROOF, testRuns: 500, mutationRuns: 5000 },
  { proof: MEMBERSHIP_PROOF, testRuns: 500, mutationRuns: 5000 },
  { proof: PARSER_PROOF, testRuns: 500, mutationRuns: 5000 },
  { proof: GENERATION_PROOF, testRuns: 300, mutationRuns: 5000 },
  { proof: ORDER_WRITE_PROOF, testRuns: 20, mutationRuns: 100 },
  { proof: TARGET_LIST_PROOF, testRuns: 300, mutationRuns: 5000 },
  { proof: RESTORED_LOG_PROOF, testRuns: 200, mutationRuns: 5000 },
  { proof: RATE_LIMIT_PROOF, testRuns: 40, mutationRuns: 500 },
  { proof: RETRY_BUDGET_PROOF, testRuns: 40, mutationRuns: 500 },
  { proof: RETURNS_PROOF, testRuns: 60, mutationRuns: 1000 },
  { proof: SHARES_PROOF, testRuns: 5, mutationRuns: 200 },
  { proof: CONFIG_READS_PROOF, testRuns: 40, mutationRuns: 500 },
  { proof: HANDOVER_PROOF, testRuns: 100, mutationRuns: 10_000 },
  { proof: DISCONNECT_PROOF, testRuns: 40, mutationRuns: 5000 },
  { proof: ERROR_PROOF, testRuns: 30, mutationRuns: 500 },
  { proof: SHUTDOWN_PROOF, testRuns: 100, mutationRuns: 5000 },
  { proof: STREAM_PROOF, testRuns: 100, mutationRuns: 5000 },
  { proof: VERSION_PROOF, testRuns: 100, mutationRuns: 5000 },
  { proof: PART_QUARANTINE_PROOF, testRuns: 300, mutationRuns: 5000 },
  { proof: QUARANTINE_PROOF, testRuns: 300, mutationRuns: 5000 },
];
