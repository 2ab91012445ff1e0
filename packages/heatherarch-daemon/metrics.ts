/**
 * Prometheus metrics of one process.
 *
 * @module
 */
import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from "prom-client";
import { registerViolationListener } from "heatherarch-core";
import type { GatewayEvents, RequestResult } from "heatherarch-gateway";

const LATENCY_BUCKETS_SECONDS = [
  0.005,
  0.01,
  0.025,
  0.05,
  0.1,
  0.25,
  0.5,
  0.87,
  1.5,
  3,
  6,
  15,
  60,
];
const TOKEN_GAP_BUCKETS_SECONDS = [
  0.005,
  0.01,
  0.015,
  0.02,
  0.03,
  0.037,
  0.05,
  0.075,
  0.1,
  0.25,
  1,
];

/** Sampling interval of the event loop delay. A shorter one costs more than it reveals. */
const EVENT_LOOP_PRECISION_MS = 200;

/** Registry of all metrics of the process. */
export class Metrics implements GatewayEvents {
  readonly registry = new Registry();
  readonly requests = this.#createCounter(
    "requests_total",
    "Requests by outcome",
    [
      "service",
      "profile",
      "outcome",
    ],
  );
  readonly goodput = this.#createCounter(
    "goodput_requests_total",
    "Complete answers within their deadline",
    ["service", "profile"],
  );
  readonly goodputTokens = this.#createCounter(
    "goodput_tokens_total",
    "Tokens of complete answers within their deadline",
    ["service"],
  );
  readonly retries = this.#createCounter(
    "retries_total",
    "Retries before any part of the answer was delivered",
    [
      "reason",
    ],
  );
  readonly continuations = this.#createCounter(
    "continuations_total",
    "Answers continued by another try after some tokens",
    ["reason"],
  );
  readonly hedges = this.#createCounter(
    "hedges_total",
    "Hedged second tries",
    [],
  );
  readonly roleChanges = this.#createCounter(
    "role_changes_total",
    "Role changes concluded under the lease of this VM",
    ["result"],
  );
  readonly violations = this.#createCounter(
    "invariant_violations_total",
    "Violated invariants",
    [
      "invariant",
    ],
  );
  readonly faults = this.#createCounter(
    "faults_total",
    "Faults handled",
    ["kind"],
  );
  readonly firstToken = this.#createHistogram(
    "first_token_seconds",
    "Time to the first token",
    LATENCY_BUCKETS_SECONDS,
    [
      "profile",
    ],
  );
  readonly tokenGap = this.#createHistogram(
    "token_gap_seconds",
    "Mean gap between tokens of an answer",
    TOKEN_GAP_BUCKETS_SECONDS,
    ["profile"],
  );
  readonly duration = this.#createHistogram(
    "request_seconds",
    "Time to the complete answer",
    LATENCY_BUCKETS_SECONDS,
    [
      "service",
    ],
  );
  readonly configOffset = this.#createGauge(
    "config_offset",
    "Applied configuration offset",
  );
  readonly configStaleness = this.#createGauge(
    "config_staleness_seconds",
    "Time since the configuration was known to be current",
  );
  readonly leaseHeld = this.#createGauge(
    "lease_held",
    "1 while this VM may send orders",
  );
  readonly inFlight = this.#createGauge(
    "requests_in_flight",
    "Requests in progress",
  );
  readonly members = this.#createGauge(
    "members_live",
    "Live entry VMs, this one included",
  );
  readonly meshBytes = this.#createGauge(
    "mesh_bytes",
    "Bytes on the mesh since the start",
    ["direction"],
  );

  constructor() {
    collectDefaultMetrics({
      register: this.registry,
      prefix: "heatherarch_",
      eventLoopMonitoringPrecision: EVENT_LOOP_PRECISION_MS,
    });
    registerViolationListener((error) =>
      this.violations.inc({ invariant: error.invariant })
    );
  }

  recordResult(result: RequestResult): void {
    const { service, profile, outcome } = result;
    this.requests.inc({ service, profile, outcome });
    this.duration.observe({ service }, result.durationMs / 1000);
    if (result.firstTokenMs !== undefined) {
      this.firstToken.observe({ profile }, result.firstTokenMs / 1000);
    }
    if (result.gapMs !== undefined) {
      this.tokenGap.observe({ profile }, result.gapMs / 1000);
    }
    if (!result.isWithinDeadline) return;
    this.goodput.inc({ service, profile });
    this.goodputTokens.inc({ service }, result.outputTokens ?? 0);
  }

  recordRetry(reason: string): void {
    this.retries.inc({ reason });
  }

  recordContinuation(reason: string): void {
    this.continuations.inc({ reason });
  }

  recordHedge(): void {
    this.hedges.inc();
  }

  #createCounter(name: string, help: string, labelNames: string[]): Counter {
    return new Counter({
      name: `heatherarch_${name}`,
      help,
      labelNames,
      registers: [this.registry],
    });
  }

  #createGauge(name: string, help: string, labelNames: string[] = []): Gauge {
    return new Gauge({
      name: `heatherarch_${name}`,
      help,
      labelNames,
      registers: [this.registry],
    });
  }

  #createHistogram(
    name: string,
    help: string,
    buckets: number[],
    labelNames: string[],
  ): Histogram {
    const registers = [this.registry];
    return new Histogram({
      name: `heatherarch_${name}`,
      help,
      buckets,
      labelNames,
      registers,
    });
  }
}
