/**
 * Fetches newer configurations from other VMs when the store does not deliver them in time.
 *
 * @module
 */
import { sleep } from "heatherarch-core";
import type { MeshNode } from "heatherarch-mesh";
import type { ActiveConfig } from "../state/active_config.ts";
import type { ConfigReadTiming } from "../scheduling/config_reads.ts";
import type { EventLog } from "../event_log.ts";
import type { RoutingConfig } from "../model.ts";

/** Options of {@linkcode ConfigExchange}. */
export interface ConfigExchangeOptions {
  readonly node: Pick<MeshNode, "call" | "registerCall">;
  readonly activeConfig: ActiveConfig;
  readonly log: EventLog;
  readonly configReadTiming: Pick<
    ConfigReadTiming,
    "askPeerAfterMs" | "peerTimeoutMs"
  >;
  /** Whether this VM reads the store's topics itself. */
  readonly mustReadStore: () => boolean;
  /** Reads the configuration from the store once. */
  readonly loadConfig: () => Promise<void>;
}

const CONFIG_CALL = "config";
/** Larger configurations are read from the store, since sending them would block a hub's link. */
const MAX_ROUTES_OVER_MESH = 100;
/** The same for a configuration with more client accounts than this. */
const MAX_ACCOUNTS_OVER_MESH = 500;
/** Number of requests to peers before the store is read. */
const MAX_PEER_REQUESTS = 3;

/** Serves the configuration of one VM to its peers and fetches newer ones from them. */
export class ConfigExchange {
  readonly #options: ConfigExchangeOptions;
  /** Newer versions that peers have announced, by peer. */
  readonly #peerVersions = new Map<string, number>();
  #isFetching = false;

  constructor(options: ConfigExchangeOptions) {
    this.#options = options;
  }

  /** Starts serving requests from peers. */
  start(): void {
    this.#options.node.registerCall(
      CONFIG_CALL,
      (body) => Promise.resolve(this.#handleRequest(body)),
    );
  }

  /** Fetches the version that a peer announced if it is newer than this VM's. */
  handlePeerVersion(peer: string, version: number): void {
    const { activeConfig, log, mustReadStore } = this.#options;
    if (version <= activeConfig.version) return;
    this.#peerVersions.set(peer, version);
    if (this.#isFetching) return;
    log.write("info", "configHeard", {
      peer,
      version,
      before: activeConfig.version,
      reads: mustReadStore(),
    });
    void this.#fetch();
  }

  /** Returns the configuration; null for a large one, unless the peer has no other source. */
  #handleRequest(isLastResort: unknown): RoutingConfig | null {
    const config = this.#options.activeConfig.table?.config;
    if (config === undefined) return null;
    const isLarge = config.routes.length > MAX_ROUTES_OVER_MESH ||
      (config.accounts?.length ?? 0) > MAX_ACCOUNTS_OVER_MESH;
    return isLarge && isLastResort !== true ? null : config;
  }

  /** Fetches a configuration that peers have and that the store has not delivered in time. */
  async #fetch(): Promise<void> {
    const { configReadTiming, mustReadStore } = this.#options;
    this.#isFetching = true;
    if (mustReadStore()) await sleep(configReadTiming.askPeerAfterMs);
    if (!await this.#fetchFromPeers(false)) {
      await this.#loadFromStore();
      await this.#fetchFromPeers(true);
    }
    this.#peerVersions.clear();
    this.#isFetching = false;
  }

  /** Requests the configuration from peers in turn; returns whether this VM is now up to date. */
  async #fetchFromPeers(isLastResort: boolean): Promise<boolean> {
    for (let requests = 0; requests < MAX_PEER_REQUESTS; requests++) {
      const peer = this.#pickNewestPeer();
      if (peer === undefined) break;
      const isFetched = await this.#fetchFrom(peer, isLastResort);
      // Every peer withholds a large configuration. Other peers are tried only after a failure.
      if (isFetched === false) return false;
      if (isFetched === undefined) this.#peerVersions.delete(peer);
    }
    return this.#pickNewestPeer() === undefined;
  }

  /** Returns the peer with the newest version; undefined if none is newer than this VM's. */
  #pickNewestPeer(): string | undefined {
    let newestVersion = this.#options.activeConfig.version;
    let newestPeer: string | undefined;
    for (const [peer, version] of this.#peerVersions) {
      if (version <= newestVersion) continue;
      newestVersion = version;
      newestPeer = peer;
    }
    return newestPeer;
  }

  /** Applies a peer's configuration; false if the peer withheld it, undefined if it failed. */
  async #fetchFrom(
    peer: string,
    isLastResort: boolean,
  ): Promise<boolean | undefined> {
    const { activeConfig, configReadTiming, log, node } = this.#options;
    try {
      const config = await node.call(
        peer,
        CONFIG_CALL,
        isLastResort,
        configReadTiming.peerTimeoutMs,
      );
      if (config === null) return false;
      const { version, accounts } = config as Partial<RoutingConfig>;
      // A peer that runs an earlier build leaves the accounts out.
      if (version === undefined || accounts === undefined) {
        throw new Error("the peer's configuration is incomplete");
      }
      activeConfig.applyConfig(config as RoutingConfig, `peer ${peer}`);
      this.#peerVersions.set(peer, version);
      return true;
    } catch (error) {
      log.write("warn", "configNotFetched", {
        peer,
        version: this.#peerVersions.get(peer),
        reason: (error as Error).message,
      });
      return undefined;
    }
  }

  async #loadFromStore(): Promise<void> {
    try {
      await this.#options.loadConfig();
    } catch (error) {
      this.#options.log.write("info", "configNotLoaded", {
        reason: (error as Error).message,
      });
    }
  }
}
