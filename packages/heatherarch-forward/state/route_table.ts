/**
 * Which route takes a call. A table is one version of the configuration and never changes.
 *
 * @module
 */
import { hashText, mixHash } from "heatherarch-core";
import type { Route, RoutingConfig, ServiceSpec } from "../model.ts";

/** An immutable view of one configuration. */
export class RouteTable {
  readonly config: RoutingConfig;
  readonly #byHost = new Map<string, Route[]>();
  readonly #services = new Map<string, ServiceSpec>();

  constructor(config: RoutingConfig) {
    this.config = config;
    for (const route of config.routes) {
      const routes = this.#byHost.get(route.host) ?? [];
      routes.push(route);
      this.#byHost.set(route.host, routes);
    }
    for (const routes of this.#byHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const service of config.services) {
      this.#services.set(service.name, service);
    }
  }

  get version(): number {
    return this.config.version;
  }

  /** The route with the longest prefix of `path` at `host`. */
  findRoute(host: string, path: string): Route | undefined {
    const query = path.indexOf("?");
    const plain = query < 0 ? path : path.slice(0, query);
    const routes = this.#byHost.get(normalizeHost(host));
    return routes?.find((route) => plain.startsWith(route.pathPrefix));
  }

  findService(name: string): ServiceSpec | undefined {
    return this.#services.get(name);
  }

  /** Services of a route, the one that its weights draw for `key` first. */
  listServices(route: Route, key: string): string[] {
    const weighted = route.services.filter((entry) => entry.weight > 0);
    const total = weighted.reduce((sum, entry) => sum + entry.weight, 0);
    if (total <= 0) return [];
    let point = mixHash(hashText(key)) / 0x1_0000_0000 * total;
    const drawn = weighted.find((entry) => (point -= entry.weight) < 0) ??
      weighted[0];
    const others = weighted.filter((entry) => entry !== drawn);
    return [drawn, ...others].map((entry) => entry.service);
  }
}

/** Lower-case host without its port. */
function normalizeHost(host: string): string {
  return host.replace(/:\d+$/, "").toLowerCase();
}
