/**
 * Newer configurations that VMs fetch from each other where the store does not bring them in time.
 *
 * @module
 */
import { sleep } from "heatherarch-core";
import type { MeshNode } from "heatherarch-mesh";
import type { ConfigView } from "../beliefs/config_view.ts";
import type { EventLog } from "../event_log.ts";
import type { RoutingConfig } from "../model.ts";

/** Options of {@linkcode ConfigExchange}. */
export interface ConfigExchangeOptions {
  readonly node: Pick<MeshNode, "call" | "registerCall">;
  readonly configs: ConfigView;
  readonly log: EventLog;
  /** Whether this VM reads the store's topics by itself. */
  readonly hasToRead: () => boolean;
  /** Reads the configuration from the store, once. */
  readonly loadConfig: () => Promise<void>;
}

const CONFIG_CALL = "config";
const CALL_TIMEOUT_MS = 1000;
/** The store brings a configuration sooner as a rule; a peer is asked after this time. */
const ASK_AFTER_MS = 700;
/** Larger configurations come from the store: a hub's link would be busy with them too long. */
const MAX_MESH_ROUTES = 100;

/** The exchange of one VM. */
export class ConfigExchange {
  readonly #options: ConfigExchangeOptions;
  #isAsking = false;

  constructor(options: ConfigExchangeOptions) {
    this.#options = options;
  }

  /** Answers peers from now on. */
  start(): void {
    this.#options.node.registerCall(
      CONFIG_CALL,
      (body) => Promise.resolve(this.#answer(body)),
    );
  }

  /** A peer has this version: it is fetched if it is newer. */
  noteVersion(peer: string, version: number): void {
    if (version > this.#options.configs.version) void this.#ask(peer, version);
  }

  /** The configuration; null for a large one, unless the peer has no other way to it. */
  #answer(isOnlyWay: unknown): RoutingConfig | null {
    const config = this.#options.configs.table?.config;
    if (config === undefined) return null;
    const isLarge = config.routes.length > MAX_MESH_ROUTES;
    return isLarge && isOnlyWay !== true ? null : config;
  }

  /** Fetches a configuration that a peer has and that the store has not brought in time. */
  async #ask(peer: string, version: number): Promise<void> {
    const { configs, log, hasToRead } = this.#options;
    if (this.#isAsking) return;
    this.#isAsking = true;
    log.write("info", "configHeard", {
      peer,
      version,
      before: configs.version,
      reads: hasToRead(),
    });
    try {
      if (hasToRead()) await sleep(ASK_AFTER_MS);
      if (configs.version >= version) return;
      if (await this.#take(peer, false)) return;
      await this.#load();
      if (configs.version < version) await this.#take(peer, true);
    } catch (error) {
      log.write("warn", "configNotFetched", {
        peer,
        version,
        reason: (error as Error).message,
      });
    } finally {
      this.#isAsking = false;
    }
  }

  /** Whether the peer gave its configuration. */
  async #take(peer: string, isOnlyWay: boolean): Promise<boolean> {
    const { configs, node } = this.#options;
    const config = await node.call(
      peer,
      CONFIG_CALL,
      isOnlyWay,
      CALL_TIMEOUT_MS,
    );
    if (config === null) return false;
    configs.applyConfig(config as RoutingConfig, `peer ${peer}`);
    return true;
  }

  async #load(): Promise<void> {
    try {
      await this.#options.loadConfig();
    } catch (error) {
      this.#options.log.write("info", "configNotLoaded", {
        reason: (error as Error).message,
      });
    }
  }
}
