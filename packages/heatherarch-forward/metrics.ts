/**
 * Counters and latency histograms of the forwarding path.
 *
 * @module
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** From the duration of a lookup to the longest client deadline that users specify, seconds. */
const LATENCY_BUCKETS = [0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3, 5];

/** From a pass of an idle process to the bound on calls that are sent after a disconnect, seconds. */
const READ_PASS_BUCKETS = [0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.8];

/** Metrics of one VM. */
export class ForwardMetrics {
  readonly registry = new Registry();
  readonly calls = new Counter({
    name: "heatherarch_calls_total",
    help: "Calls ended, by kind and outcome",
    labelNames: ["kind", "outcome"] as const,
    registers: [this.registry],
  });
  readonly internalErrors = new Counter({
    name: "heatherarch_internal_errors_total",
    help: "Errors that no code expects, by the place that they came up in",
    labelNames: ["place"] as const,
    registers: [this.registry],
  });
  readonly limitsExceeded = new Counter({
    name: "heatherarch_client_limits_exceeded_total",
    help:
      "Connections closed and requests rejected at a bound of what clients may hold, by the bound",
    labelNames: ["limit"] as const,
    registers: [this.registry],
  });
  readonly responsesLimited = new Counter({
    name: "heatherarch_responses_limited_total",
    help:
      "Responses of targets that met a bound on what all of them together may take, by the bound",
    labelNames: ["limit"] as const,
    registers: [this.registry],
  });
  readonly firstByte = new Histogram({
    name: "heatherarch_first_byte_seconds",
    help: "Time from the head of a call to the first byte of its answer",
    labelNames: ["kind"] as const,
    buckets: LATENCY_BUCKETS,
    registers: [this.registry],
  });
  readonly readWait = new Histogram({
    name: "heatherarch_read_wait_seconds",
    help:
      "Time from the head of a call to the choice of the engine that reads its prompt",
    labelNames: ["lane"] as const,
    buckets: LATENCY_BUCKETS,
    registers: [this.registry],
  });
  readonly accountRank = new Counter({
    name: "heatherarch_account_rank_total",
    help: "Calls dispatched for a client account, by the rank of their account",
    labelNames: ["rank"] as const,
    registers: [this.registry],
  });
  readonly promptsWaiting = new Gauge({
    name: "heatherarch_prompts_waiting",
    help: "Prompts that wait at this VM for an engine to read them",
    registers: [this.registry],
  });
  readonly callsWaiting = new Gauge({
    name: "heatherarch_calls_waiting",
    help: "Plain calls and prompts that wait at this VM for a target",
    labelNames: ["service"] as const,
    registers: [this.registry],
  });
  readonly callWait = new Histogram({
    name: "heatherarch_call_wait_seconds",
    help: "Time for which a call waited at this VM for a target",
    labelNames: ["service"] as const,
    buckets: LATENCY_BUCKETS,
    registers: [this.registry],
  });
  readonly callsRejectedEarly = new Counter({
    name: "heatherarch_calls_rejected_early_total",
    help: "Calls rejected because no target could complete them in time",
    labelNames: ["service"] as const,
    registers: [this.registry],
  });
  readonly prefillOverdue = new Gauge({
    name: "heatherarch_prefill_overdue_seconds",
    help:
      "What this VM's overdue prefills add to the engines' backlogs, for all VMs",
    registers: [this.registry],
  });
  readonly failingTargets = new Gauge({
    name: "heatherarch_failing_targets",
    help: "Targets that are avoided for failed attempts of all VMs",
    registers: [this.registry],
  });
  readonly lastResponse = new Gauge({
    name: "heatherarch_target_response_timestamp_seconds",
    help: "Unix time of the last response of any target",
    registers: [this.registry],
  });
  readonly pathsLost = new Gauge({
    name: "heatherarch_paths_lost",
    help:
      "Services, by role of their engines, of which this VM reaches no target",
    registers: [this.registry],
  });
  readonly endProbes = new Counter({
    name: "heatherarch_end_probes_total",
    help: "Probes of targets whose responses ended with their connections",
    registers: [this.registry],
  });
  readonly endsUnconfirmed = new Counter({
    name: "heatherarch_ends_unconfirmed_total",
    help:
      "Responses that ended with their connections and count as cut, as their target was not known to live on",
    registers: [this.registry],
  });
  readonly handovers = new Counter({
    name: "heatherarch_handovers_total",
    help: "Offers of calls to peers, by the peer's reply",
    labelNames: ["reply"] as const,
    registers: [this.registry],
  });
  readonly handoversServed = new Counter({
    name: "heatherarch_handovers_served_total",
    help: "Calls of peers that this VM served",
    registers: [this.registry],
  });
  readonly tries = new Counter({
    name: "heatherarch_tries_total",
    help: "Tries at targets, by stage and outcome",
    labelNames: ["stage", "outcome"] as const,
    registers: [this.registry],
  });
  readonly retries = new Counter({
    name: "heatherarch_retries_total",
    help: "Retries asked of the fleet's retry budget, by purpose and outcome",
    labelNames: ["service", "purpose", "outcome"] as const,
    registers: [this.registry],
  });
  readonly retriesLeft = new Gauge({
    name: "heatherarch_retries_left",
    help: "Retries that this VM may send now, as of its last request for one",
    labelNames: ["service"] as const,
    registers: [this.registry],
  });
  readonly attemptsBeyondFirst = new Counter({
    name: "heatherarch_attempts_beyond_first_total",
    help:
      "Requests of ended calls that reached targets beyond the first of each call",
    labelNames: ["service"] as const,
    registers: [this.registry],
  });
  readonly connectionsOpened = new Counter({
    name: "heatherarch_target_connections_opened_total",
    help: "Connections to targets that were opened",
    registers: [this.registry],
  });
  readonly requestsAtLimit = new Counter({
    name: "heatherarch_rate_limited_requests_total",
    help: "Requests sent to targets that have a rate limit",
    registers: [this.registry],
  });
  readonly slowdownReports = new Counter({
    name: "heatherarch_target_slowdown_reports_total",
    help: "Responses in which a target reported its momentary slowdown",
    registers: [this.registry],
  });
  readonly orders = new Counter({
    name: "heatherarch_orders_total",
    help: "Orders to engines, by outcome",
    labelNames: ["outcome"] as const,
    registers: [this.registry],
  });
  readonly loopLate = new Histogram({
    name: "heatherarch_loop_late_seconds",
    help: "Durations of process stalls, seconds",
    buckets: LATENCY_BUCKETS,
    registers: [this.registry],
  });
  readonly readPass = new Histogram({
    name: "heatherarch_read_pass_seconds",
    help:
      "Time in which the process read everything that had arrived in its sockets, seconds",
    buckets: READ_PASS_BUCKETS,
    registers: [this.registry],
  });
  readonly callsLost = new Counter({
    name: "heatherarch_calls_lost_total",
    help:
      "Calls that ended without a complete response and without a refusal, by what ended their last attempt",
    labelNames: ["kind", "cause"] as const,
    registers: [this.registry],
  });
  readonly shutdownCalls = new Counter({
    name: "heatherarch_shutdown_calls_total",
    help:
      "Calls that ended since this VM began to shut down, by kind and by how they ended: completed, refused, ended or cut by the shutdown, or other",
    labelNames: ["kind", "outcome"] as const,
    registers: [this.registry],
  });
  readonly disconnects = new Counter({
    name: "heatherarch_client_disconnects_total",
    help:
      "Calls whose client disconnected, by how far they were: unread, waiting, sent, or sentLate if the disconnect may have arrived before the call was sent",
    labelNames: ["stage"] as const,
    registers: [this.registry],
  });
  readonly listHolds = new Counter({
    name: "heatherarch_list_holds_total",
    help: "Times that calls waited for the target list after a process stall",
    registers: [this.registry],
  });
  readonly inFlight = new Gauge({
    name: "heatherarch_calls_in_flight",
    help: "Calls in progress",
    registers: [this.registry],
  });
  readonly configVersion = new Gauge({
    name: "heatherarch_config_version",
    help: "Version of the configuration in force",
    registers: [this.registry],
  });
  readonly configAge = new Gauge({
    name: "heatherarch_config_age_seconds",
    help:
      "Time since the configuration in force was last known to be the newest one",
    registers: [this.registry],
  });
  readonly storeEpoch = new Gauge({
    name: "heatherarch_store_epoch",
    help: "Epoch of the store, which rises when it comes back from a copy",
    registers: [this.registry],
  });
  readonly targets = new Gauge({
    name: "heatherarch_targets",
    help: "Targets known",
    registers: [this.registry],
  });
  readonly listAge = new Gauge({
    name: "heatherarch_target_list_age_seconds",
    help: "Time since the target list was last updated, by a read or a hub",
    registers: [this.registry],
  });
  readonly targetsKept = new Counter({
    name: "heatherarch_targets_kept_total",
    help: "Targets that stay in use although they are no longer listed",
    registers: [this.registry],
  });
  readonly entriesUnreadable = new Counter({
    name: "heatherarch_entries_unreadable_total",
    help: "Entries of the store that became unreadable",
    registers: [this.registry],
  });
  readonly targetsEnded = new Counter({
    name: "heatherarch_targets_ended_total",
    help: "Incarnations of targets that crashed with calls of this VM",
    registers: [this.registry],
  });
  readonly callsRejected = new Counter({
    name: "heatherarch_calls_rejected_total",
    help: "Calls rejected before a target was chosen, by error kind",
    labelNames: ["kind"],
    registers: [this.registry],
  });
  readonly returnsBooked = new Counter({
    name: "heatherarch_returns_booked_total",
    help: "Rejected calls for whose retry capacity was booked",
    registers: [this.registry],
  });
  readonly returnsClaimed = new Counter({
    name: "heatherarch_returns_claimed_total",
    help: "Calls that took the place of a booked retry",
    registers: [this.registry],
  });
  readonly callsQuarantined = new Counter({
    name: "heatherarch_calls_quarantined_total",
    help: "Calls refused because their request is quarantined",
    registers: [this.registry],
  });
  readonly partsQuarantined = new Gauge({
    name: "heatherarch_prompt_parts_quarantined",
    help: "Quarantined parts of prompts",
    registers: [this.registry],
  });
  readonly requestsQuarantined = new Gauge({
    name: "heatherarch_requests_quarantined",
    help: "Quarantined requests",
    registers: [this.registry],
  });
  readonly holdsDuties = new Gauge({
    name: "heatherarch_holds_duties",
    help: "Whether this VM performs the duties of the fleet: 1 or 0",
    registers: [this.registry],
  });
  readonly liveVms = new Gauge({
    name: "heatherarch_live_vms",
    help: "Live entry VMs, this one included",
    registers: [this.registry],
  });
}
