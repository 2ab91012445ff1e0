/**
 * Finds the route of a call. A table represents one version of the configuration and is immutable.
 *
 * @module
 */
import { ApiKeyIndex } from "heatherarch-accounts";
import { hashText, mixHash } from "heatherarch-core";
import type {
  ClientAccount,
  Route,
  RoutingConfig,
  ServiceSpec,
} from "../model.ts";

/** An immutable index of one configuration. */
export class RouteTable {
  readonly config: RoutingConfig;
  /** Accounts by API key; undefined if calls need no key. */
  readonly accounts: ApiKeyIndex<ClientAccount> | undefined;
  readonly #routesByHost = new Map<string, Route[]>();
  readonly #servicesByName = new Map<string, ServiceSpec>();

  constructor(config: RoutingConfig) {
    this.config = config;
    this.accounts = config.accounts === null ? undefined : new ApiKeyIndex(
      config.accounts.map((account) => ({
        account,
        keyDigests: account.keyDigests,
      })),
    );
    for (const route of config.routes) {
      const routes = this.#routesByHost.get(route.host) ?? [];
      routes.push(route);
      this.#routesByHost.set(route.host, routes);
    }
    for (const routes of this.#routesByHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const service of config.services) {
      this.#servicesByName.set(service.name, service);
    }
  }

  /** Version of the configuration that this table indexes. */
  get version(): number {
    return this.config.version;
  }

  /** Returns the route of `host` whose path prefix is the longest that matches `path`. */
  findRoute(host: string, path: string): Route | undefined {
    const query = path.indexOf("?");
    const pathOnly = query < 0 ? path : path.slice(0, query);
    const routes = this.#routesByHost.get(normalizeHost(host));
    return routes?.find((route) => pathOnly.startsWith(route.pathPrefix));
  }

  /** Returns the service of this name, or undefined if the configuration has none. */
  findService(name: string): ServiceSpec | undefined {
    return this.#servicesByName.get(name);
  }

  /** Lists the services of a route, with the one that the weights select for `key` first. */
  listServices(route: Route, key: string): string[] {
    const weighted = route.services.filter((entry) => entry.weight > 0);
    const total = weighted.reduce((sum, entry) => sum + entry.weight, 0);
    if (total <= 0) return [];
    let point = mixHash(hashText(key)) / 0x1_0000_0000 * total;
    const selected = weighted.find((entry) => (point -= entry.weight) < 0) ??
      weighted[0];
    const others = weighted.filter((entry) => entry !== selected);
    return [selected, ...others].map((entry) => entry.service);
  }
}

/** Returns the host in lower case and without its port. */
function normalizeHost(host: string): string {
  return host.replace(/:\d+$/, "").toLowerCase();
}
