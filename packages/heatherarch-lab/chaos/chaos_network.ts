/**
 * Network of a deployment, as links that can be cut. Each availability zone has a link to the
 * platform, to every target and to every entry VM.
 *
 * @module
 */
import { FaultProxy, type FaultProxyMode } from "heatherarch-standins";
import type { Deployment } from "../deployment.ts";

/** A link from one zone. `toZone` is undefined for a link to the platform. */
interface ZoneLink {
  readonly from: string;
  readonly toZone: string | undefined;
  readonly toAddress: string;
  readonly proxy: FaultProxy;
  readonly proxyAddress: string;
}

/** All links of a deployment. */
export class ChaosNetwork {
  readonly #links: ZoneLink[] = [];
  readonly #deployment: Deployment;

  constructor(deployment: Deployment) {
    this.#deployment = deployment;
  }

  /** Creates all links. */
  async open(): Promise<void> {
    const { fleet, vms, platform } = this.#deployment;
    for (const from of fleet.availabilityZones) {
      await this.#openLink(from, undefined, platform);
      for (const target of fleet.targets) {
        await this.#openLink(from, target.availabilityZone, target.address);
      }
      for (const vm of vms) {
        await this.#openLink(from, vm.availabilityZone, vm.mesh);
      }
    }
  }

  async close(): Promise<void> {
    await Promise.all(this.#links.map(({ proxy }) => proxy.close()));
  }

  /** Maps published addresses to the addresses of the links that a VM of `zone` uses. */
  buildAddressTranslation(zone: string): Record<string, string> {
    const own = this.#links.filter((entry) => entry.from === zone);
    return Object.fromEntries(
      own.map((entry) => [entry.toAddress, entry.proxyAddress]),
    );
  }

  /** Returns the address at which a VM of `zone` reaches the platform. */
  getPlatformAddress(zone: string): string {
    return this.buildAddressTranslation(zone)[this.#deployment.platform];
  }

  /** Sets the mode of a zone's links to the platform. */
  setPlatformLinks(zone: string, mode: FaultProxyMode): void {
    for (const entry of this.#links) {
      if (entry.from === zone && entry.toZone === undefined) {
        entry.proxy.setMode(mode);
      }
    }
  }

  /** Sets the mode of all links that cross the boundary of a zone, including to the platform. */
  setZoneLinks(zone: string, mode: FaultProxyMode): void {
    for (const { from, toZone, proxy } of this.#links) {
      const isCrossZone = from === zone ? toZone !== zone : toZone === zone;
      if (isCrossZone) proxy.setMode(mode);
    }
  }

  /** Sets the mode of all zones' links to the targets of a service, or to all targets. */
  setTargetLinks(service: string | undefined, mode: FaultProxyMode): void {
    const { targets } = this.#deployment.fleet;
    const addresses = new Set(
      targets.filter((target) =>
        service === undefined || target.service === service
      ).map(({ address }) => address),
    );
    for (const { toAddress, proxy } of this.#links) {
      if (addresses.has(toAddress)) proxy.setMode(mode);
    }
  }

  /**
   * Silences the open connections of one link: the first one with open connections, starting at
   * `index`. Returns a description of the link.
   */
  silenceConnections(
    index: number,
    direction: "silentForward" | "silentBack",
  ): string {
    const start = index % this.#links.length;
    for (let step = 0; step < this.#links.length; step++) {
      const entry = this.#links[(start + step) % this.#links.length];
      if (entry.proxy.silenceOpenConnections(direction) > 0) {
        return `${entry.from}->${entry.toAddress}`;
      }
    }
    return "none";
  }

  async #openLink(
    from: string,
    toZone: string | undefined,
    toAddress: string,
  ): Promise<void> {
    const proxy = new FaultProxy(toAddress);
    const proxyAddress = await proxy.listen();
    this.#links.push({
      from,
      toZone,
      toAddress,
      proxy,
      proxyAddress,
    });
  }
}
