/**
 * The forwarded call: a client's request passes to a target as it is, by routes, beliefs on
 * targets, and limits that all VMs share.
 *
 * @module
 */
export * from "./answer_headers.ts";
export * from "./cache_retention.ts";
export * from "./cache_survey.ts";
export * from "./call_run.ts";
export * from "./call_server.ts";
export * from "./caller_patience.ts";
export * from "./caller_port.ts";
export * from "./config_view.ts";
export * from "./engine_inquiry.ts";
export * from "./engine_spread.ts";
export * from "./event_log.ts";
export * from "./event_splitter.ts";
export * from "./feed_source.ts";
export * from "./fleet_mesh.ts";
export * from "./forward_vm.ts";
export * from "./hub_exchange.ts";
export * from "./ingress.ts";
export * from "./lanes.ts";
export * from "./list_relief.ts";
export * from "./metrics.ts";
export * from "./model.ts";
export * from "./ports.ts";
export * from "./prompt_holders.ts";
export * from "./prompt_index.ts";
export * from "./prompt_placement.ts";
export * from "./read_model.ts";
export * from "./read_queue.ts";
export * from "./reader_board.ts";
export * from "./retry_allowance.ts";
export * from "./return_time.ts";
export * from "./role_keeper.ts";
export * from "./role_plan.ts";
export * from "./route_table.ts";
export * from "./run_placement.ts";
export * from "./runner_return.ts";
export * from "./serving.ts";
export * from "./store_reading.ts";
export * from "./store_watch.ts";
export * from "./target_connections.ts";
export * from "./target_directory.ts";
export * from "./target_exchange.ts";
export * from "./target_feed.ts";
export * from "./target_health.ts";
export * from "./topic_follower.ts";
export * from "./work_ledger.ts";
