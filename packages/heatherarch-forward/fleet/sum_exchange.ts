/**
 * Exchange of sums over the fleet. Each VM sends its own part; hubs send the sums of their zones to
 * each other, and the sum of the fleet to the VMs of their zone. The exchange works in the same way for
 * each sum.
 *
 * Rows are sent only while there are any. An empty list tells that there are none any more.
 *
 * @module
 */
import type { Heartbeat, Link, WorkDigest } from "heatherarch-mesh";
import type { WorkScope } from "../state/work_tracker.ts";
import type { FleetSum, FleetSums, SumField, SumRows } from "./fleet_sum.ts";

/** The fields of a heartbeat or a digest that carry sums. */
export type SumFields = Pick<Heartbeat & WorkDigest, SumField>;

/** This VM's own part of each sum as a heartbeat has sent it. */
export type SentSums = {
  readonly [Field in SumField]: readonly SumRows[Field][];
};

/** Wire form of rows. */
type MutableRows = NonNullable<SumFields[SumField]>;

/** The exchange of all sums. */
export class SumExchange {
  readonly #channels: readonly SumChannel<SumField>[];

  constructor(sums: FleetSums) {
    const use = new SumChannel("accountUse", sums.accountUse);
    const due = new SumChannel("dueReturns", sums.dueReturns);
    const failures = new SumChannel("targetFailures", sums.targetFailures);
    this.#channels = [use, due, failures] as unknown as SumChannel<SumField>[];
  }

  /** Prepares a round of heartbeats. To be called once before each. */
  beginRound(nowMs: number): void {
    for (const channel of this.#channels) channel.beginRound(nowMs);
  }

  /** Returns the own part that a heartbeat of this round has sent. */
  getSent(): SentSums {
    return this.#collect((channel) => channel.sent) as unknown as SentSums;
  }

  /** Builds the fields with this VM's own part for a link. */
  buildOwnFields(link: Link): SumFields {
    return this.#collect((channel) => channel.buildOwn(link));
  }

  /** Builds the fields of a digest, with or without what other hubs have gathered. */
  buildDigestFields(nowMs: number, includeGathered: boolean): SumFields {
    return this.#collect((channel) =>
      channel.isSumDue ? channel.buildSum(nowMs, includeGathered) : undefined
    );
  }

  /**
   * Builds the fields of the first digest for a VM, whatever was sent to others. After the loss of a
   * hub, what a VM knows would otherwise expire before the other hub's next sum.
   */
  buildFirstDigestFields(nowMs: number): SumFields {
    return this.#collect((channel) => channel.buildSum(nowMs, true));
  }

  /** Records the rows of a peer, of itself or of several VMs. */
  handleFields(
    peer: string,
    fields: SumFields,
    nowMs: number,
    scope: WorkScope = "own",
  ): void {
    for (const channel of this.#channels) {
      channel.handle(peer, fields, nowMs, scope);
    }
  }

  /** Records a sum of the fleet, which includes this VM's part as it was sent. */
  handleFleetFields(
    peer: string,
    fields: SumFields,
    sent: SentSums | undefined,
    nowMs: number,
  ): void {
    for (const channel of this.#channels) {
      channel.handleFleet(peer, fields, sent?.[channel.field], nowMs);
    }
  }

  /** Removes what a peer has reported. */
  forgetPeer(peer: string): void {
    for (const { sum } of this.#channels) sum.forgetPeer(peer);
  }

  /** Removes what all peers have reported. */
  forgetAllPeers(): void {
    for (const { sum } of this.#channels) sum.forgetAllPeers();
  }

  #collect(
    read: (channel: SumChannel<SumField>) => unknown,
  ): SumFields {
    const entries = this.#channels
      .map((channel) => [channel.field, read(channel)] as const)
      .filter(([, value]) => value !== undefined);
    return Object.fromEntries(entries);
  }
}

/** The exchange of one sum. */
class SumChannel<Field extends SumField> {
  readonly field: Field;
  readonly sum: FleetSum<SumRows[Field]>;
  /** Number of the rows that each link has been sent last. */
  readonly #sentNumbers = new WeakMap<Link, number>();
  #sent: readonly SumRows[Field][] = [];
  #listedAtMs = -Infinity;
  #number = 0;
  /** Whether rows are sent: there are some, or there were when they were last listed. */
  #isActive = false;
  #isSumDue = false;
  /** Whether the last digests with the sum, and those of this round, have rows. */
  #hadRows = { zone: false, fleet: false };
  #hasRows = { zone: false, fleet: false };

  constructor(field: Field, sum: FleetSum<SumRows[Field]>) {
    this.field = field;
    this.sum = sum;
  }

  get sent(): readonly SumRows[Field][] {
    return this.#sent;
  }

  /** Whether digests of this round include the sum. */
  get isSumDue(): boolean {
    return this.#isSumDue;
  }

  beginRound(nowMs: number): void {
    this.#isSumDue = nowMs - this.#listedAtMs >= this.sum.intervalMs;
    if (!this.#isSumDue) return;
    this.#hadRows = this.#hasRows;
    this.#hasRows = { zone: false, fleet: false };
    const rows = this.sum.listOwn(nowMs);
    this.#isActive = rows.length > 0 || this.#sent.length > 0;
    this.#sent = rows;
    this.#listedAtMs = nowMs;
    this.#number++;
  }

  buildOwn(link: Link): MutableRows | undefined {
    if (!this.#isActive) return undefined;
    if (this.#sentNumbers.get(link) === this.#number) return undefined;
    this.#sentNumbers.set(link, this.#number);
    return copyRows(this.#sent);
  }

  buildSum(nowMs: number, includeGathered: boolean): MutableRows | undefined {
    const rows = this.sum.sum(nowMs, includeGathered);
    const scope = includeGathered ? "fleet" : "zone";
    if (rows.length > 0) this.#hasRows[scope] = true;
    else if (!this.#hadRows[scope]) return undefined;
    return copyRows(rows);
  }

  handle(
    peer: string,
    fields: SumFields,
    nowMs: number,
    scope: WorkScope,
  ): void {
    const rows = fields[this.field];
    if (rows === undefined) return;
    this.sum.setPeer(peer, rows as unknown as SumRows[Field][], nowMs, scope);
  }

  handleFleet(
    peer: string,
    fields: SumFields,
    sent: readonly SumRows[Field][] | undefined,
    nowMs: number,
  ): void {
    const rows = fields[this.field] as unknown as SumRows[Field][] | undefined;
    if (rows === undefined) return;
    const others = sent === undefined ? rows : this.sum.subtract(rows, sent);
    this.sum.setPeer(peer, others, nowMs, "gathered");
  }
}

/** Copies rows into the mutable form that a message has. */
function copyRows(
  rows: readonly (readonly (string | number)[])[],
): MutableRows {
  return rows.map((row) => [...row]) as MutableRows;
}
