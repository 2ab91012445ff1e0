/**
 * The network of a deployment as links that can be cut: from each availability zone to the
 * platform, to every target, and to every entry VM.
 *
 * @module
 */
import { FaultProxy, type FaultProxyMode } from "heatherarch-standins";
import type { Deployment } from "../deployment.ts";

/** One link of one zone. */
interface ZoneLink {
  readonly from: string;
  readonly toZone: string | undefined;
  readonly toAddress: string;
  readonly link: FaultProxy;
  readonly linkAddress: string;
}

/** All links of a deployment. */
export class ChaosNetwork {
  readonly #links: ZoneLink[] = [];
  readonly #deployment: Deployment;

  constructor(deployment: Deployment) {
    this.#deployment = deployment;
  }

  /** Opens all links. */
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
    await Promise.all(this.#links.map(({ link }) => link.close()));
  }

  /** Published addresses to the addresses of the links, for a VM of `zone`. */
  buildAddressTranslation(zone: string): Record<string, string> {
    const own = this.#links.filter((entry) => entry.from === zone);
    return Object.fromEntries(
      own.map((entry) => [entry.toAddress, entry.linkAddress]),
    );
  }

  /** Address of the platform for a VM of `zone`. */
  getPlatformAddress(zone: string): string {
    return this.buildAddressTranslation(zone)[this.#deployment.platform];
  }

  /** Cuts or heals a zone from the platform alone. */
  setPlatformLinks(zone: string, mode: FaultProxyMode): void {
    for (const entry of this.#links) {
      if (entry.from === zone && entry.toZone === undefined) {
        entry.link.setMode(mode);
      }
    }
  }

  /** Cuts or heals a zone from the platform and from all other zones. */
  setZoneLinks(zone: string, mode: FaultProxyMode): void {
    for (const { from, toZone, link } of this.#links) {
      const isCrossZone = from === zone ? toZone !== zone : toZone === zone;
      if (isCrossZone) link.setMode(mode);
    }
  }

  /** Silences connections that are open now, of the `index`-th link that has any. */
  silenceConnections(
    index: number,
    direction: "silentForward" | "silentBack",
  ): string {
    const start = index % this.#links.length;
    for (let step = 0; step < this.#links.length; step++) {
      const entry = this.#links[(start + step) % this.#links.length];
      if (entry.link.silenceOpenConnections(direction) > 0) {
        return `${entry.from}->${entry.toAddress}`;
      }
    }
    return "none";
  }

  async #openLink(
    from: string,
    toZone: string | undefined,
    to: string,
  ): Promise<void> {
    const link = new FaultProxy(to);
    const address = await link.listen();
    this.#links.push({
      from,
      toZone,
      toAddress: to,
      link,
      linkAddress: address,
    });
  }
}
