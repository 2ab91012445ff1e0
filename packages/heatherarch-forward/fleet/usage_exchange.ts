/**
 * Usage counts of the VMs on their way to the VM that reports them. Each VM sends its counts to the
 * hubs of its zone with its heartbeats, or to all linked VMs where there are no hubs. The reporting VM
 * asks the hubs for a window once it is over.
 *
 * @module
 */
import type { Clock } from "heatherarch-core";
import type {
  Heartbeat,
  Link,
  LinkIdentity,
  Membership,
  MeshNode,
} from "heatherarch-mesh";
import {
  type ProcessUsageRow,
  UsageCollection,
  type UsageCounts,
  type UsageMeter,
} from "heatherarch-usage";
import { z } from "zod";
import type { EventLog } from "../event_log.ts";

/** Options of {@linkcode UsageExchange}. */
export interface UsageExchangeOptions {
  readonly self: LinkIdentity;
  readonly node: Pick<MeshNode, "call" | "registerCall">;
  readonly membership: Membership;
  readonly meter: UsageMeter;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Counts of a window as far as they are known. */
export interface CollectedUsage {
  readonly counts: UsageCounts;
  /** Whether the window is over by the time of day of most VMs that were asked. */
  readonly isOver: boolean;
  /** Whether all VMs have told their counts since the end of the window. */
  readonly isComplete: boolean;
}

const USAGE_CALL = "usage";
/** Timeout of a request to a hub, milliseconds. */
const CALL_TIMEOUT_MS = 800;
/** VMs that were heard within this time before the end of a window may have counts of it. */
const RECENT_MS = 15_000;
/** Time within which a VM sends the counts that it has, milliseconds. */
const HEARTBEAT_SLACK_MS = 300;

/** Number of a window, and the time at which it ends, milliseconds since the Unix epoch. */
const REQUEST = z.object({ window: z.int(), endMs: z.number() });
const REPLY = z.object({
  availabilityZone: z.string(),
  rows: z.array(z.tuple([z.string(), z.string(), z.int()])),
  /** Time since the window ended by the time of day of the VM that replies, milliseconds. */
  endedMsAgo: z.number(),
  /** VMs of the zone that have told nothing since the end of the window. */
  missing: z.int(),
});
type Reply = z.infer<typeof REPLY>;

/** The exchange of one VM. */
export class UsageExchange {
  readonly #options: UsageExchangeOptions;
  readonly #collection = new UsageCollection();
  readonly #cursors = new WeakMap<Link, number>();

  constructor(options: UsageExchangeOptions) {
    this.#options = options;
  }

  /** Starts serving requests from the reporting VM. */
  start(): void {
    this.#options.node.registerCall(USAGE_CALL, (body) => {
      const { window, endMs } = REQUEST.parse(body);
      return Promise.resolve(this.#buildReply(window, endMs));
    });
  }

  /** Builds the counts that have changed since the last heartbeat on a link. */
  buildFields(link: Link, peer: LinkIdentity): Pick<Heartbeat, "usage"> {
    if (!this.#isRecipient(peer)) return {};
    const { rows, cursor } = this.#options.meter
      .listChanges(this.#cursors.get(link) ?? 0);
    this.#cursors.set(link, cursor);
    return rows.length === 0 ? {} : { usage: rows };
  }

  /** Stores the counts in a peer's heartbeat. */
  handle({ usage }: Heartbeat, from: LinkIdentity): void {
    if (usage !== undefined) this.#collection.apply(from.incarnation, usage);
  }

  /** Collects the counts of a window that ended at `endMs` from the hubs of all zones. */
  async collect(
    window: number,
    endMs: number,
    hubs: readonly string[],
  ): Promise<CollectedUsage> {
    const { self } = this.#options;
    const own = this.#buildReply(window, endMs);
    const peers = hubs.filter((id) => id !== self.id);
    const replies = await Promise.all(
      peers.map((id) => this.#request(id, window, endMs)),
    );
    const complete = new Set<string>();
    const known = [own, ...replies].filter((reply) => reply !== undefined);
    for (const reply of known) {
      this.#collection.merge(window, reply.rows as ProcessUsageRow[]);
      if (reply.missing === 0) complete.add(reply.availabilityZone);
    }
    return {
      counts: this.#collection.sumWindow(window),
      isOver: computeMedian(known.map(({ endedMsAgo }) => endedMsAgo)) > 0,
      isComplete: this.#listZones().every((zone) => complete.has(zone)),
    };
  }

  async #request(
    peer: string,
    window: number,
    endMs: number,
  ): Promise<Reply | undefined> {
    const { node, log } = this.#options;
    const body = { window, endMs };
    try {
      return REPLY.parse(
        await node.call(peer, USAGE_CALL, body, CALL_TIMEOUT_MS),
      );
    } catch (error) {
      log.write("info", "usageNotFetched", {
        peer,
        window,
        reason: (error as Error).message,
      });
      return undefined;
    }
  }

  #buildReply(window: number, endMs: number): Reply {
    const { self, meter, clock } = this.#options;
    const endedMsAgo = Math.round(clock.readWallMs() - endMs);
    this.#collection.apply(self.incarnation, meter.listChanges(0).rows);
    return {
      availabilityZone: self.availabilityZone,
      rows: this.#collection.listWindow(window),
      endedMsAgo,
      missing: this.#countMissing(endedMsAgo),
    };
  }

  /** Counts VMs of this zone that may have counts of the window which they have not told. */
  #countMissing(endedMsAgo: number): number {
    const { self, membership, clock } = this.#options;
    const endedAtMs = clock.readMonotonicMs() - endedMsAgo;
    return membership.listMembers().filter((member) =>
      member.availabilityZone === self.availabilityZone &&
      member.status !== "leaving" &&
      member.lastHeardMs >= endedAtMs - RECENT_MS &&
      member.lastHeardMs < endedAtMs + HEARTBEAT_SLACK_MS
    ).length;
  }

  #listZones(): string[] {
    const { self, membership } = this.#options;
    const zones = new Set([self.availabilityZone]);
    for (const { availabilityZone, status } of membership.listMembers()) {
      if (status !== "leaving") zones.add(availabilityZone);
    }
    return [...zones];
  }

  #isRecipient(peer: LinkIdentity): boolean {
    const { self, membership } = this.#options;
    if (!membership.hasHubs) return true;
    return peer.availabilityZone === self.availabilityZone &&
      membership.pickLinkPeers().some(({ id }) => id === peer.id);
  }
}

function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)];
}
