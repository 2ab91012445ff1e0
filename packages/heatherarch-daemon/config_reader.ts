/**
 * Keeps the configuration current. In each availability zone a few relays follow the log. The other
 * VMs fetch updates from peers whose heartbeats announce a newer offset. A VM that can't reach the
 * log fetches from the peers with the newest configuration.
 *
 * @module
 */
import { type Clock, createId, pickRendezvous, sleep } from "heatherarch-core";
import {
  classifySlice,
  CONFIG_FORMAT,
  CONFIG_STREAM,
  type ConfigState,
  ConfigView,
  loadConfigSnapshot,
  type LogPort,
  type LogRecord,
  LogUnavailableError,
  parseConfigRecord,
  parseConfigState,
  readWholeStream,
} from "heatherarch-log";
import type { Membership, MeshNode } from "heatherarch-mesh";
import { z } from "zod";
import type { Logger } from "./logger.ts";

/** Options of {@linkcode ConfigReader}. */
export interface ConfigReaderOptions {
  readonly vmId: string;
  readonly availabilityZone: string;
  readonly log: LogPort;
  readonly clock: Clock;
  readonly membership: Membership;
  readonly mesh: MeshNode;
  readonly logger: Logger;
  readonly pollWaitMs: number;
  readonly snapshotEveryRecords: number;
}

/** Called with each new state. */
export type ConfigListener = (
  state: ConfigState,
  previous: ConfigState,
) => void;

const RELAYS_PER_ZONE = 2;
/** Interval at which a VM that is not a relay reads the log itself. */
const FOLLOWER_POLL_INTERVAL_MS = 5000;
const PEER_CALL_TIMEOUT_MS = 1000;
const RETRY_DELAY_MS = 200;
/** Interval at which a VM checks whether it has become a relay. */
const RELAY_CHECK_INTERVAL_MS = 1000;
/** Maximum number of records in one read. */
const READ_PAGE_SIZE = 500;

const PEER_RESPONSE = z.union([
  z.object({
    kind: z.literal("records"),
    records: z.array(
      z.object({
        offset: z.int(),
        appendedAtMs: z.number(),
        data: z.unknown(),
      }),
    ),
  }),
  z.object({ kind: z.literal("state"), state: z.unknown() }),
]);
const PEER_REQUEST = z.object({ from: z.int().min(0) });

/** The configuration of one process. */
export class ConfigReader {
  readonly #options: ConfigReaderOptions;
  readonly #listeners = new Set<ConfigListener>();
  readonly #view = new ConfigView();
  #currentAtMs = -Infinity;
  #snapshotOffset = -1;
  #fetching = false;
  #stopped = false;
  #platformUp = true;

  constructor(options: ConfigReaderOptions) {
    this.#options = options;
    options.mesh.registerCall(
      "config.read",
      async (body) => this.#handlePeerRequest(body),
    );
    options.mesh.registerHeartbeatListener((heartbeat, from) => {
      if (heartbeat.configOffset > this.state.offset) {
        void this.#fetchFromPeer(from.id);
      }
    });
  }

  get state(): ConfigState {
    return this.#view.state;
  }

  /** Monotonic time at which the configuration was last known to be current; -Infinity if never. */
  get currentAtMs(): number {
    return this.#currentAtMs;
  }

  /** Whether the last read of the platform's log succeeded. */
  get isPlatformUp(): boolean {
    return this.#platformUp;
  }

  /** Whether a configuration has been loaded from the log or a peer. */
  get isLoaded(): boolean {
    return this.state.offset >= 0 || this.#currentAtMs > -Infinity;
  }

  /** Registers a listener. Returns its removal. */
  registerListener(listener: ConfigListener): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /** Reads the log until stopped. */
  async run(): Promise<void> {
    let nextPollMs = 0;
    while (!this.#stopped) {
      const nowMs = this.#options.clock.readMonotonicMs();
      const isRelay = this.isRelay();
      if (!isRelay && nowMs < nextPollMs) {
        await sleep(RELAY_CHECK_INTERVAL_MS);
        continue;
      }
      try {
        const isCurrent = await this.#readLog(
          isRelay ? this.#options.pollWaitMs : 0,
        );
        this.#setPlatformUp(true);
        if (isCurrent) nextPollMs = nowMs + FOLLOWER_POLL_INTERVAL_MS;
        if (isRelay) await this.#writeSnapshotWhenDue();
      } catch (error) {
        if (!(error instanceof LogUnavailableError)) throw error;
        this.#setPlatformUp(false);
        await this.#fetchFromPeers();
        await sleep(RETRY_DELAY_MS);
      }
    }
  }

  stop(): void {
    this.#stopped = true;
  }

  /** Reads the log to its end at once, also on a VM that is not a relay. */
  async catchUp(): Promise<void> {
    while (!(await this.#readLog(0)));
    this.#setPlatformUp(true);
  }

  /** Whether this VM reads the log for its availability zone. */
  isRelay(): boolean {
    const { vmId, membership, availabilityZone } = this.#options;
    const live = membership.listLive(availabilityZone);
    return pickRendezvous("config-relay", live, RELAYS_PER_ZONE).includes(vmId);
  }

  /** Reads one page. Returns whether the end of the stream was reached. */
  async #readLog(waitMs: number): Promise<boolean> {
    const from = this.state.offset + 1;
    const sentAtMs = this.#options.clock.readMonotonicMs();
    const options = { maxRecords: READ_PAGE_SIZE, waitMs };
    const slice = await this.#options.log.read(CONFIG_STREAM, from, options);
    const verdict = classifySlice(from, slice);
    if (verdict.kind === "gap") {
      await this.#recoverFromGap();
      return false;
    }
    this.#applyRecords(verdict.records);
    if (verdict.isCurrent) this.#currentAtMs = sentAtMs;
    return verdict.isCurrent;
  }

  async #recoverFromGap(): Promise<void> {
    const records = await readWholeStream(this.#options.log, CONFIG_STREAM);
    const state = loadConfigSnapshot(records);
    if (state !== undefined && this.#loadState(state)) return;
    await this.#fetchFromPeers();
    throw new LogUnavailableError(
      "records were trimmed and no snapshot covers them",
    );
  }

  #applyRecords(records: readonly LogRecord[]): void {
    const previous = this.#view.state;
    if (!this.#view.applyRecords(records)) return;
    for (const record of records) {
      const isSnapshot = parseConfigRecord(record.data)?.type === "snapshot";
      if (isSnapshot) this.#snapshotOffset = record.offset;
    }
    this.#notifyListeners(previous);
  }

  #loadState(state: ConfigState): boolean {
    const previous = this.#view.state;
    if (!this.#view.loadState(state)) return false;
    this.#snapshotOffset = state.offset;
    this.#notifyListeners(previous);
    return true;
  }

  #notifyListeners(previous: ConfigState): void {
    for (const listener of this.#listeners) listener(this.state, previous);
    this.#options.mesh.sendHeartbeats();
  }

  #setPlatformUp(up: boolean): void {
    if (up === this.#platformUp) return;
    this.#platformUp = up;
    this.#options.logger.info(
      up ? "platform log reachable" : "platform log unreachable",
      {
        configOffset: this.state.offset,
      },
    );
  }

  async #fetchFromPeers(): Promise<void> {
    const peers = this.#options.membership.listMembers()
      .filter((member) => this.#options.mesh.hasLink(member.id))
      .sort((a, b) => b.configOffset - a.configOffset);
    for (const peer of peers.slice(0, 3)) await this.#fetchFromPeer(peer.id);
  }

  async #fetchFromPeer(peerId: string): Promise<void> {
    if (this.#fetching) return;
    this.#fetching = true;
    try {
      const body = { from: this.state.offset + 1 };
      const reply = await this.#options.mesh.call(
        peerId,
        "config.read",
        body,
        PEER_CALL_TIMEOUT_MS,
      );
      const response = PEER_RESPONSE.parse(reply);
      if (response.kind === "records") {
        this.#applyRecords(response.records as LogRecord[]);
        return;
      }
      const state = parseConfigState(response.state);
      if (state !== undefined) this.#loadState(state);
    } catch {
      // The peer is gone or sent an invalid response. The next heartbeat or poll retries.
    } finally {
      this.#fetching = false;
    }
  }

  #handlePeerRequest(body: unknown): unknown {
    const { from } = PEER_REQUEST.parse(body);
    return this.#view.buildUpdate(from);
  }

  async #writeSnapshotWhenDue(): Promise<void> {
    const { snapshotEveryRecords, vmId, membership } = this.#options;
    if (this.state.offset - this.#snapshotOffset < snapshotEveryRecords) {
      return;
    }
    // One VM across all zones writes the snapshot. Partitioned zones may write several, which is
    // harmless.
    if (
      pickRendezvous("config-snapshot", membership.listLive(), 1)[0] !== vmId
    ) return;
    this.#snapshotOffset = this.state.offset;
    await this.#options.log.append(CONFIG_STREAM, {
      type: "snapshot",
      format: CONFIG_FORMAT,
      id: createId("snap"),
      coversOffset: this.state.offset,
      state: this.state,
    });
  }
}
