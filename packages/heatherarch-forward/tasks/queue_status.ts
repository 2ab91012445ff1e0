/**
 * What operators see of the calls that wait at one VM.
 *
 * @module
 */
import { formatPerSecond } from "../calls/plain_slot_wait.ts";
import type { ServiceSpec } from "../model.ts";
import type { CallQueue } from "../scheduling/call_queue.ts";
import type { DispatchRate } from "../scheduling/dispatch_rate.ts";
import type { PlainCallQueues } from "../scheduling/plain_call_queues.ts";

/** Calls of one service that wait at this VM. */
export interface QueueStatus {
  readonly service: string;
  /** Prompts that wait for an engine, or plain calls. A service may have both. */
  readonly kind: "prompt" | "plain";
  readonly waiting: number;
  /**
   * Calls that the queue dispatches per second while calls wait; null if unknown. Prompts of all
   * services have one queue, so its rate is that of all prompts.
   */
  readonly ratePerS: number | null;
}

/** Queues of one VM, and the services of its configuration. */
export interface WaitingCallsOptions {
  readonly prefillQueue: Pick<CallQueue, "countByService" | "measureRate">;
  readonly plainCallQueues: Pick<PlainCallQueues, "listQueues">;
  readonly services: readonly ServiceSpec[];
}

/** Lists the services with waiting calls or a known dispatch rate. */
export function listQueueStatus(options: WaitingCallsOptions): QueueStatus[] {
  const promptRatePerS = formatRate(options.prefillQueue.measureRate());
  const prompts = [...countWaitingPrompts(options)]
    .map(([service, waiting]): QueueStatus => ({
      service,
      kind: "prompt",
      waiting,
      ratePerS: promptRatePerS,
    }));
  const plainCalls = options.plainCallQueues.listQueues()
    .map(({ service, queue }): QueueStatus => ({
      service,
      kind: "plain",
      waiting: queue.size,
      ratePerS: formatRate(queue.measureRate()),
    }));
  return [...prompts, ...plainCalls]
    .filter(({ waiting, ratePerS }) => waiting > 0 || ratePerS !== null);
}

/** Counts the waiting prompts and plain calls by service, with 0 for services without any. */
export function countWaitingCalls(
  options: WaitingCallsOptions,
): Map<string, number> {
  const counts = countWaitingPrompts(options);
  for (const { service, queue } of options.plainCallQueues.listQueues()) {
    counts.set(service, (counts.get(service) ?? 0) + queue.size);
  }
  return counts;
}

function countWaitingPrompts(
  { prefillQueue, services }: WaitingCallsOptions,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { name, engine } of services) {
    if (engine !== undefined) counts.set(name, 0);
  }
  for (const [service, waiting] of prefillQueue.countByService()) {
    counts.set(service, waiting);
  }
  return counts;
}

function formatRate(rate: DispatchRate | undefined): number | null {
  return formatPerSecond(rate?.callsPerMs) ?? null;
}
