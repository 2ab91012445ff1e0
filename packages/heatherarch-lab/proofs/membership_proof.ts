/**
 * Proof of the membership view under contacts, restarts, silent peers and outdated VM lists. The
 * oracle keeps for each peer the time and the incarnation of the last contact and its progress.
 *
 * @module
 */
import fc from "fast-check";
import {
  Membership,
  MEMBERSHIP_GUARDS,
  type MembershipGuard,
} from "heatherarch-mesh";
import { assertProperty, buildGuardSet, type Proof } from "./proof.ts";

const PEERS = 3;
const SILENCE_MS = 1000;

type Operation =
  | { readonly kind: "heard"; readonly peer: number }
  | { readonly kind: "restart"; readonly peer: number }
  | {
    readonly kind: "progress";
    readonly peer: number;
    readonly offset: number;
    readonly leaving: boolean;
  }
  | { readonly kind: "list"; readonly peers: readonly number[] }
  | { readonly kind: "wait"; readonly ms: number };

interface ExpectedMember {
  incarnation: number;
  contactIncarnation: number;
  lastContactMs: number;
  offset: number;
  leaving: boolean;
}

/** One membership view, its peers and the oracle. */
class MembershipSimulation {
  readonly #membership: Membership;
  readonly #expected: ExpectedMember[] = [];
  #nowMs = 0;

  constructor(disabledGuards: ReadonlySet<MembershipGuard>) {
    const self = {
      id: "self",
      incarnation: "r",
      availabilityZone: "a",
      mesh: "m",
    };
    this.#membership = new Membership({
      self,
      silenceMs: SILENCE_MS,
      disabledGuards,
    });
    for (let i = 0; i < PEERS; i++) {
      this.#expected.push({
        incarnation: 0,
        contactIncarnation: -1,
        lastContactMs: -Infinity,
        offset: -1,
        leaving: false,
      });
    }
  }

  apply(operation: Operation): void {
    switch (operation.kind) {
      case "heard":
        this.#recordContact(operation.peer);
        break;
      case "restart":
        this.#expected[operation.peer].incarnation++;
        break;
      case "progress":
        this.#recordProgress(operation);
        break;
      case "list":
        this.#membership.recordListing(
          operation.peers.map((peer) => this.#buildPeer(peer)),
        );
        break;
      case "wait":
        this.#nowMs += operation.ms;
    }
    this.#membership.expire(this.#nowMs);
    this.#check();
  }

  #buildPeer(peer: number) {
    const incarnation = `run${this.#expected[peer].incarnation}`;
    return {
      id: `vm${peer}`,
      incarnation,
      availabilityZone: "a",
      mesh: `m${peer}`,
    };
  }

  #recordContact(peer: number): void {
    this.#membership.recordContact(this.#buildPeer(peer), this.#nowMs);
    const expected = this.#expected[peer];
    if (expected.contactIncarnation !== expected.incarnation) {
      expected.contactIncarnation = expected.incarnation;
      expected.offset = -1;
      expected.leaving = false;
    }
    expected.lastContactMs = this.#nowMs;
  }

  /** Progress is reported in heartbeats, so it implies a contact. */
  #recordProgress(operation: Extract<Operation, { kind: "progress" }>): void {
    this.#recordContact(operation.peer);
    const { offset, leaving } = operation;
    this.#membership.recordProgress(`vm${operation.peer}`, {
      configOffset: offset,
      controlOffset: offset,
      leaving,
    });
    const expected = this.#expected[operation.peer];
    expected.offset = Math.max(expected.offset, offset);
    expected.leaving ||= leaving;
  }

  #check(): void {
    const live = this.#membership.listLive();
    this.#expected.forEach((expected, peer) => {
      const isInContact = this.#nowMs - expected.lastContactMs <= SILENCE_MS;
      const shouldBeLive = isInContact && !expected.leaving;
      assertProperty(
        live.includes(`vm${peer}`) === shouldBeLive,
        "a peer is live if it had a recent contact and is not leaving, and only then",
        `vm${peer} expected ${shouldBeLive}`,
      );
      const member = this.#membership.getMember(`vm${peer}`);
      assertProperty(
        !isInContact || member?.configOffset === expected.offset,
        "progress belongs to the current incarnation and never decreases",
        `${member?.configOffset}, not ${expected.offset}`,
      );
    });
  }
}

const PEER = fc.integer({ min: 0, max: PEERS - 1 });

const OPERATION: fc.Arbitrary<Operation> = fc.oneof(
  fc.record({ kind: fc.constant("heard" as const), peer: PEER }),
  fc.record({ kind: fc.constant("restart" as const), peer: PEER }),
  fc.record({
    kind: fc.constant("progress" as const),
    peer: PEER,
    offset: fc.integer({ min: 0, max: 20 }),
    leaving: fc.constantFrom(false, false, false, true),
  }),
  fc.record({
    kind: fc.constant("list" as const),
    peers: fc.uniqueArray(PEER, { maxLength: PEERS }),
  }),
  fc.record({
    kind: fc.constant("wait" as const),
    ms: fc.integer({ min: 50, max: 1500 }),
  }),
);

/** The membership view under random schedules. */
export const MEMBERSHIP_PROOF: Proof = {
  name: "membership",
  guards: MEMBERSHIP_GUARDS,
  build: (disabledGuard) =>
    fc.property(
      fc.array(OPERATION, { minLength: 4, maxLength: 60, size: "max" }),
      (operations) => {
        const simulation = new MembershipSimulation(
          buildGuardSet<MembershipGuard>(disabledGuard),
        );
        for (const operation of operations) simulation.apply(operation);
      },
    ),
};
