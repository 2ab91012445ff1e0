/**
 * Forwarding of calls: a client's request passes to a target unchanged, chosen by routes, the state
 * of the targets, and limits that all VMs share.
 *
 * @module
 */
export * from "./calls/end_to_end_headers.ts";
export * from "./calls/response_notices.ts";
export * from "./state/cache_retention.ts";
export * from "./tasks/cache_survey.ts";
export * from "./calls/account_admission.ts";
export * from "./calls/call_context.ts";
export * from "./calls/call_server.ts";
export * from "./scheduling/client_timeout.ts";
export * from "./calls/client_response.ts";
export * from "./calls/generation_handler.ts";
export * from "./calls/target_list_guard.ts";
export * from "./calls/plain_call_handler.ts";
export * from "./state/active_config.ts";
export * from "./scheduling/config_reads.ts";
export * from "./tasks/engine_request.ts";
export * from "./scheduling/engine_jitter.ts";
export * from "./event_log.ts";
export * from "./calls/sse_splitter.ts";
export * from "./fleet/config_exchange.ts";
export * from "./fleet/feed_source.ts";
export * from "./fleet/fleet_mesh.ts";
export * from "./forward_vm.ts";
export * from "./fleet/hub_exchange.ts";
export * from "./tasks/ingress.ts";
export * from "./scheduling/priority_lanes.ts";
export * from "./calls/quarantine_guard.ts";
export * from "./fleet/list_fallback.ts";
export * from "./metrics.ts";
export * from "./model.ts";
export * from "./ports.ts";
export * from "./state/prefix_holders.ts";
export * from "./state/prefix_index.ts";
export * from "./scheduling/prompt_placement.ts";
export * from "./state/prefill_time_model.ts";
export * from "./scheduling/prefill_queue.ts";
export * from "./scheduling/prefill_candidate_cache.ts";
export * from "./state/retry_budget.ts";
export * from "./scheduling/retry_after.ts";
export * from "./tasks/quarantine_persistence.ts";
export * from "./tasks/role_controller.ts";
export * from "./scheduling/role_plan.ts";
export * from "./state/route_table.ts";
export * from "./scheduling/least_loaded_target.ts";
export * from "./scheduling/decode_wait.ts";
export * from "./call_dependencies.ts";
export * from "./scheduling/size_fairness.ts";
export * from "./tasks/store_reader.ts";
export * from "./state/store_outage_detector.ts";
export * from "./calls/target_connections.ts";
export * from "./state/target_directory.ts";
export * from "./calls/target_exchange.ts";
export * from "./calls/attempt_result.ts";
export * from "./fleet/target_feed.ts";
export * from "./fleet/vm_list_follower.ts";
export * from "./state/target_health.ts";
export * from "./state/target_backoffs.ts";
export * from "./tasks/topic_follower.ts";
export * from "./vm_dependencies.ts";
export * from "./vm_tasks.ts";
export * from "./state/work_tracker.ts";
