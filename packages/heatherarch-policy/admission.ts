/**
 * Admission control by predicted time. A request that can't be answered within its deadline is
 * rejected at once, before it is sent to a target.
 *
 * @module
 */
import { Err, Ok, type Result, ServeError } from "heatherarch-core";
import type { RoutePlan } from "./candidate.ts";

/** The properties of a request that admission depends on. */
export interface AdmissionRequest {
  /** Time left until the deadline. */
  readonly remainingMs: number;
  readonly outputTokens: number;
}

/** Options of {@linkcode checkAdmission}. */
export interface AdmissionOptions {
  /** Maximum share of the remaining time that the predicted time may take. */
  readonly slack: number;
}

/** Predictions are inexact, so a request is rejected only if it would clearly miss its deadline. */
export const DEFAULT_ADMISSION_OPTIONS: AdmissionOptions = { slack: 1 };

const MAX_RETRY_AFTER_MS = 30_000;

/** Checks a planned request against its deadline. */
export function checkAdmission(
  request: AdmissionRequest,
  plan: RoutePlan,
  options: AdmissionOptions = DEFAULT_ADMISSION_OPTIONS,
): Result<RoutePlan, ServeError> {
  const neededMs = plan.firstTokenMs +
    Math.max(0, request.outputTokens - 1) * plan.tokenGapMs;
  if (neededMs <= request.remainingMs * options.slack) return Ok(plan);
  const shortMs = neededMs - request.remainingMs;
  const retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(200, shortMs));
  const message = `the request needs about ${Math.round(neededMs)} ms, but ` +
    `its deadline is in ${Math.round(request.remainingMs)} ms`;
  return Err(
    new ServeError("overloaded", message, { run: "no", retryAfterMs }),
  );
}
