/**
 * Admission by predicted time: a request that can't be answered within its deadline is
 * refused at once, before any target has seen it.
 *
 * @module
 */
import { Err, Ok, type Result, ServeError } from "heatherarch-core";
import type { RoutePlan } from "./candidate.ts";

/** What admission weighs. */
export interface AdmissionRequest {
  /** Time left until the deadline, milliseconds. */
  readonly remainingMs: number;
  readonly outputTokens: number;
}

/** Options of {@linkcode checkAdmission}. */
export interface AdmissionOptions {
  /** Share of the remaining time that the prediction may fill. */
  readonly slack: number;
}

/** Predictions err; a request is refused only where it would miss its deadline clearly. */
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
  const message = `about ${Math.round(neededMs)} ms are needed, ` +
    `${Math.round(request.remainingMs)} ms are left`;
  return Err(
    new ServeError("overloaded", message, { run: "no", retryAfterMs }),
  );
}
