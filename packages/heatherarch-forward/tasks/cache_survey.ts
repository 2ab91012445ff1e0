/**
 * Queries which prompt prefixes engines have cached when VMs start while the engines have been
 * running. One VM queries each engine and shares the result with the others.
 *
 * When all VMs lose power together, the engines keep their caches. Without the survey every prefix
 * counts as not cached, its prefill time is overestimated by a factor of four, and prompts are
 * routed away from engines that hold their prefixes.
 *
 * @module
 */
import { type Clock, pickRendezvous, sleep } from "heatherarch-core";
import {
  type EngineRequestContext,
  sendEngineRequest,
} from "./engine_request.ts";
import type { Target } from "../model.ts";
import type { CallCodec } from "../ports.ts";
import type { PrefixIndex } from "../state/prefix_index.ts";

/** Options of {@linkcode CacheSurvey}. */
export interface CacheSurveyOptions extends EngineRequestContext {
  readonly vmId: string;
  readonly clock: Clock;
  readonly codec: CallCodec;
  readonly prefixIndex: PrefixIndex;
  readonly listPrefillEngines: () => readonly Target[];
  /** Lists the ids of the live VMs that take part in surveys, this one included. */
  readonly listParticipants: () => readonly string[];
  /** Called with each error that no code expects. Never throws. */
  readonly onError?: (thrown: unknown) => void;
}

/** Time to connect to peers, which may already know the caches, milliseconds. */
const STARTUP_DELAY_MS = 400;
/** Time for a response and for sending its result to the VMs next in turn, milliseconds. */
const TURN_MS = 200;
const MAX_TURNS = 5;
const HTTP_OK = 200;

/** Queries the engines' caches once. */
export class CacheSurvey {
  readonly #options: CacheSurveyOptions;

  constructor(options: CacheSurveyOptions) {
    this.#options = options;
  }

  /**
   * Queries, in this VM's turn, the engines that no VM has surveyed; only as a coordinator. An
   * error of one query does not end the others.
   */
  async run(isCoordinator: () => boolean = () => true): Promise<void> {
    const report = (error: unknown): void => this.#options.onError?.(error);
    await sleep(STARTUP_DELAY_MS);
    if (!isCoordinator()) return;
    await Promise.all(
      this.#options.listPrefillEngines().map((engine) =>
        this.#surveyInTurn(engine).catch(report)
      ),
    );
  }

  async #surveyInTurn(engine: Target): Promise<void> {
    const { listParticipants, vmId, prefixIndex } = this.#options;
    const ranking = pickRendezvous(engine.id, listParticipants(), MAX_TURNS);
    const turn = ranking.indexOf(vmId);
    await sleep((turn < 0 ? MAX_TURNS : turn) * TURN_MS);
    if (prefixIndex.isSurveyed(engine.id)) return;
    await this.#survey(engine);
  }

  async #survey(engine: Target): Promise<void> {
    const { codec, prefixIndex, events, clock } = this.#options;
    const request = codec.encodeCacheListRequest(engine);
    const response = await sendEngineRequest(this.#options, engine, request);
    if (response?.status !== HTTP_OK) return;
    const prefixIds = codec.decodeCacheList(response.body);
    prefixIndex.markSurveyed(engine.id);
    const nowMs = clock.readMonotonicMs();
    for (const id of prefixIds ?? []) {
      prefixIndex.recordHolder(id, engine.id, "read", nowMs);
    }
    events.write("info", "cacheSurveyed", {
      target: engine.id,
      parts: prefixIds?.length,
    });
  }
}
