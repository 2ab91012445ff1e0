/**
 * Proof of booked return times. VMs book returns, learn of each other's late, and stop at any moment;
 * clients return as they are told, or retry as often as they like.
 *
 * @module
 */
import fc from "fast-check";
import { Random } from "heatherarch-core";
import { ReturnBook, type ReturnRequest, SLOT_MS } from "heatherarch-returns";
import { assertProperty, type Proof } from "./proof.ts";

const GUARDS = [
  "limitsClaims",
  "limitsDelays",
  "expiresPeers",
  "leavesRoomForNewCalls",
] as const;
type Guard = typeof GUARDS[number];

interface Schedule {
  readonly vms: number;
  /** Rejections per second of each VM, and their duration. */
  readonly rejectionsPerSecond: number;
  readonly burstMs: number;
  readonly workMs: number;
  readonly roomPerMs: number;
  readonly waitMs: number;
  /** Calls per second of each VM that look like returns. */
  readonly attemptsPerSecond: number;
  /** Time at which the first VM stops. */
  readonly stopsAtMs: number;
  readonly seed: number;
}

interface Booking {
  readonly vm: number;
  readonly atMs: number;
}

interface Events {
  readonly bookings: Booking[];
  readonly claimsAtMs: number[];
  readonly tooLong: number;
}

const GROUP = "service";
const STEP_MS = 10;
const END_MS = 9000;
const EXCHANGE_MS = 250;
const BOOKABLE_SHARE = 0.5;
/** Time over which claims are compared with the returns that are due. */
const WINDOW_MS = 1500;
/**
 * Longest time between a claim and a booked return that permits it: returns count as due for 1 s after
 * their time, and at a peer until its last report expires.
 */
const MARGIN_MS = 2 * WINDOW_MS + 1000 + EXCHANGE_MS;
/** Longest time by which a claim precedes a booked return: half a second, and the slot of the booking. */
const LEAD_MS = 500 + SLOT_MS;

/** A book, one guard of which may be disabled. */
class TestedBook extends ReturnBook {
  readonly #guard: Guard | undefined;
  #lastReports = new Map<string, Parameters<ReturnBook["setPeerDue"]>[1]>();

  constructor(vms: number, random: Random, guard: Guard | undefined) {
    super({
      computeShare: () => guard === "limitsClaims" ? vms : 1 / vms,
      drawUnit: () => random.drawUnit(),
    });
    this.#guard = guard;
  }

  override book(group: string, request: ReturnRequest, nowMs: number): number {
    const { latestMs } = request;
    return super.book(group, {
      ...request,
      latestMs: this.#guard === "limitsDelays" ? 2 * latestMs : latestMs,
      bookableShare: this.#guard === "leavesRoomForNewCalls" ? 2 : undefined,
    }, nowMs);
  }

  override setPeerDue(...args: Parameters<ReturnBook["setPeerDue"]>): void {
    this.#lastReports.set(args[0], args[1]);
    super.setPeerDue(...args);
  }

  /** Repeats the last reports if they don't expire. */
  keepReports(nowMs: number): void {
    if (this.#guard !== "expiresPeers") return;
    for (const [peer, rows] of this.#lastReports) {
      super.setPeerDue(peer, rows, nowMs);
    }
  }
}

/** Lets the VMs that run know each other's due returns. */
function exchange(books: readonly TestedBook[], first: number, nowMs: number) {
  for (let to = first; to < books.length; to++) {
    for (let from = first; from < books.length; from++) {
      if (from === to) continue;
      books[to].setPeerDue(`${from}`, books[from].listDue(nowMs), nowMs);
    }
  }
}

function simulate(schedule: Schedule, guard: Guard | undefined): Events {
  const { vms, workMs, roomPerMs, waitMs, burstMs, stopsAtMs } = schedule;
  const random = new Random(schedule.seed);
  const books = Array.from(
    { length: vms },
    () => new TestedBook(vms, random, guard),
  );
  const events = { bookings: [] as Booking[], claimsAtMs: [] as number[] };
  let tooLong = 0;
  const draw = (perSecond: number) =>
    random.drawUnit() < perSecond * STEP_MS / 1000;
  for (let nowMs = 0; nowMs < END_MS; nowMs += STEP_MS) {
    const first = vms > 1 && nowMs >= stopsAtMs ? 1 : 0;
    if (nowMs % EXCHANGE_MS === 0) exchange(books, first, nowMs);
    for (let vm = first; vm < vms; vm++) {
      books[vm].keepReports(nowMs);
      if (nowMs < burstMs && draw(schedule.rejectionsPerSecond)) {
        const request = { workMs, earliestMs: 0, latestMs: waitMs, roomPerMs };
        const delayMs = books[vm].book(GROUP, request, nowMs);
        if (delayMs > waitMs) tooLong++;
        events.bookings.push({ vm, atMs: nowMs + delayMs });
      }
      if (!draw(schedule.attemptsPerSecond)) continue;
      if (books[vm].claim(GROUP, undefined, nowMs)) {
        events.claimsAtMs.push(nowMs);
      }
    }
  }
  return { ...events, tooLong };
}

function checkClaims({ bookings, claimsAtMs }: Events, vms: number): void {
  claimsAtMs.forEach((atMs, index) => {
    const claims = claimsAtMs.slice(0, index + 1)
      .filter((other) => other > atMs - WINDOW_MS).length;
    const due = bookings.filter((booking) =>
      booking.atMs - atMs <= LEAD_MS && atMs - booking.atMs <= MARGIN_MS
    ).length;
    assertProperty(
      due > 0 && claims <= 2 * due + vms,
      "claims are limited by the returns that are due",
      `${claims} claims in ${WINDOW_MS} ms at ${atMs} ms, ${due} due`,
    );
  });
}

/**
 * Checks that the work that one VM has booked up to any time leaves room for new calls, unless more was
 * rejected than can be booked.
 */
function checkRoom({ bookings }: Events, schedule: Schedule): void {
  const { vms, waitMs, workMs, roomPerMs } = schedule;
  const bookablePerMs = roomPerMs * BOOKABLE_SHARE;
  for (let vm = 0; vm < vms; vm++) {
    const timesMs = bookings.filter((booking) => booking.vm === vm)
      .map(({ atMs }) => atMs).sort((a, b) => a - b);
    const roomMs = (waitMs - 2 * SLOT_MS) * bookablePerMs;
    if ((timesMs.length + 1) * workMs > roomMs) continue;
    timesMs.forEach((atMs, index) => {
      // The last call may use the room of later slots.
      const allowedMs = (atMs + 2 * SLOT_MS) * bookablePerMs + workMs;
      assertProperty(
        (index + 1) * workMs <= allowedMs,
        "bookings leave room for new calls",
        `${(index + 1) * workMs} ms of work by ${atMs} ms, ${allowedMs} ms`,
      );
    });
  }
}

/** Return times that VMs book. */
export const RETURNS_PROOF: Proof = {
  name: "returns",
  guards: GUARDS,
  build: (disabledGuard) =>
    fc.property(
      fc.record({
        vms: fc.integer({ min: 1, max: 9 }),
        rejectionsPerSecond: fc.constantFrom(1, 10, 50),
        burstMs: fc.constantFrom(500, 2000),
        workMs: fc.constantFrom(20, 40, 300),
        roomPerMs: fc.constantFrom(0, 0.1, 1, 8),
        waitMs: fc.constantFrom(0, 200, 1300, 4000),
        attemptsPerSecond: fc.constantFrom(1, 100),
        stopsAtMs: fc.integer({ min: 0, max: END_MS }),
        seed: fc.integer({ min: 0, max: 1_000_000 }),
      }),
      (schedule) => {
        const events = simulate(schedule, disabledGuard as Guard | undefined);
        assertProperty(
          events.tooLong === 0,
          "no delay is longer than its client waits",
          `${events.tooLong} delays`,
        );
        checkClaims(events, schedule.vms);
        checkRoom(events, schedule);
      },
    ),
};
