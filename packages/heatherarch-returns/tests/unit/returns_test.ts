import assert from "node:assert/strict";
import { test } from "node:test";
import {
  BookedAccounts,
  BookedSlots,
  ClaimWindow,
  ReturnBook,
  ReturnDetector,
  SLOT_MS,
} from "../../mod.ts";

function createBook(share = 1, drawUnit = () => 0): ReturnBook {
  return new ReturnBook({ computeShare: () => share, drawUnit });
}

function buildRequest(overrides: Partial<Parameters<ReturnBook["book"]>[1]>) {
  const bounds = { earliestMs: 0, latestMs: 1000 };
  return { workMs: 20, roomPerMs: 2, ...bounds, ...overrides };
}

function bookMany(book: ReturnBook, count: number, workMs = 20): number[] {
  return Array.from(
    { length: count },
    () => book.book("s", buildRequest({ workMs }), 0),
  );
}

// Returns beyond the room of a slot would be rejected a second time.
test("bookings fill the slots in order, and no further than the bookable room", () => {
  // A slot holds 2 x 50 x 0.5 = 50 ms of work.
  assert.deepEqual(bookMany(createBook(), 6, 25), [0, 0, 50, 50, 100, 100]);
  // A call of 125 ms takes the room of two slots and a half.
  assert.deepEqual(bookMany(createBook(), 4, 125), [0, 100, 250, 350]);
});

test("if no slot before the latest return has room, the least booked one is used", () => {
  const delays = bookMany(createBook(), 42, 50);
  assert.deepEqual(delays.slice(0, 3), [0, 50, 100]);
  for (const delayMs of delays) {
    assert.equal(delays.filter((other) => other === delayMs).length, 2);
  }
});

// A client that is told to wait longer than it does comes too early, and is not expected then.
test("a delay is never longer than the client waits, nor shorter than the queue needs", () => {
  const book = createBook(1, () => 0.999);
  for (let i = 0; i < 400; i++) {
    const [earliestMs, latestMs] = [i * 7 % 600, 130 + i % 300];
    const bounds = buildRequest({ earliestMs, latestMs, roomPerMs: i % 3 });
    const delayMs = book.book("s", bounds, i * 3.7);
    assert.ok(delayMs <= latestMs);
    assert.ok(delayMs >= Math.min(earliestMs, latestMs));
  }
});

test("returns of one slot are spread over it", () => {
  const units = [0.1, 0.9];
  const book = createBook(1, () => units.shift() ?? 0);
  const [first, second] = bookMany(book, 2);
  assert.ok(second - first > SLOT_MS / 2);
});

// Clients that retry without having been told to must not displace all new calls.
test("claims are limited to the returns that are due, and expire with them", () => {
  const book = createBook();
  assert.equal(book.claim("s", undefined, 0), false);
  bookMany(book, 6);
  const countClaims = (nowMs: number) =>
    Array.from({ length: 50 }, () => book.claim("s", undefined, nowMs))
      .filter(Boolean).length;
  assert.equal(book.claim("other", undefined, 0), false);
  // 6 of clients that return as they were told, and as many others, and one.
  assert.equal(countClaims(0), 13);
  assert.equal(countClaims(900), 0);
  assert.equal(countClaims(1600), 0);
  assert.equal(book.count("s", 0), 3);
  assert.deepEqual(book.listDue(2000), []);
});

test("a VM claims twice its share of the fleet's due returns, plus one", () => {
  const book = createBook(0.05);
  book.setPeerDue("a", [["s", 30]], 0);
  book.setPeerDue("hub", [["s", 70]], 0, "gathered");
  assert.deepEqual(book.sumDue(0, false), [["s", 30]]);
  assert.deepEqual(book.sumDue(0, true), [["s", 100]]);
  const claims = Array.from({ length: 90 }, () => book.claim("s", "a", 0));
  assert.equal(claims.filter(Boolean).length, 11);
});

test("an account whose clients retry often leaves half of the claims to others", () => {
  const book = createBook();
  bookMany(book, 12);
  assert.ok(book.claim("s", "small", 0));
  const claims = Array.from({ length: 30 }, () => book.claim("s", "large", 0));
  // Half of twice the 12 returns that are due, and one.
  assert.equal(claims.filter(Boolean).length, 12);
  assert.ok(book.claim("s", "small", 0));
});

// With at most half of the claims, the last returns of an account with most bookings were rejected again.
test("an account with most of the booked returns gets as much of the claims", () => {
  const book = createBook();
  for (let i = 0; i < 12; i++) {
    const account = i < 9 ? "large" : "small";
    book.book("s", buildRequest({ account }), 0);
  }
  assert.ok(book.claim("s", "small", 0));
  const claims = Array.from({ length: 30 }, () => book.claim("s", "large", 0));
  // Three quarters of twice the 12 returns that are due, and one.
  assert.equal(claims.filter(Boolean).length, 18);
  assert.ok(book.claim("s", "small", 0));
});

// Guards against accounts that are kept without bound, or longer than their returns are due.
test("accounts of 4,096 bookings are kept, until these are no longer due", () => {
  const accounts = new BookedAccounts();
  const span = { fromMs: 0, untilMs: 100 };
  accounts.record("first", 10);
  for (let i = 0; i < 4095; i++) accounts.record("b", 50);
  for (let i = 0; i < 4096; i++) accounts.record("c", 50);
  assert.equal(accounts.computeShare("first", span), 1 / 4096);
  assert.equal(accounts.computeShare("c", span), 0);
  accounts.removeBefore(50);
  assert.equal(accounts.computeShare("b", span), 1);
  accounts.removeBefore(51);
  accounts.record("c", 60);
  assert.equal(accounts.computeShare("c", span), 1);
});

// A VM that has died, or whose link is down, must not keep its returns due for good.
test("due returns of a peer expire, and are removed with it", () => {
  const book = createBook();
  for (const peer of ["a", "b", "c"]) book.setPeerDue(peer, [["s", 1]], 0);
  book.forgetPeer("a");
  assert.deepEqual(book.sumDue(1500, true), [["s", 2]]);
  book.setPeerDue("b", [["s", 5]], 1000);
  assert.deepEqual(book.sumDue(1501, true), [["s", 5]]);
  book.forgetAllPeers();
  assert.equal(book.claim("s", undefined, 1501), false);
});

test("state stays bounded with many groups, and is used again once it is free", () => {
  const book = createBook();
  for (let i = 0; i < 5000; i++) book.book(`s${i}`, buildRequest({}), 0);
  assert.equal(book.listDue(0).length, 256);
  book.book("new", buildRequest({}), 60_000);
  assert.deepEqual(book.listDue(60_000), [["new", 1]]);
});

test("a return is recognised by a client timeout shorter than that of its route", () => {
  const detector = new ReturnDetector();
  assert.equal(detector.isReturn("r", undefined, 0), false);
  assert.equal(detector.isReturn("r", 3000, 0), false);
  assert.equal(detector.isReturn("r", 5000, 0), false);
  assert.equal(detector.isReturn("r", 4901, 0), false);
  assert.equal(detector.isReturn("r", 4900, 59_000), true);
  assert.equal(detector.isReturn("other", 4900, 59_000), false);
  // The longest timeout of the last minute is the usual one.
  assert.equal(detector.isReturn("r", 4000, 120_000), false);
});

// Guards against claims that are kept without bound when very many returns are due.
test("a window keeps 4,096 claims at most, and has room again when they have left it", () => {
  const window = new ClaimWindow(1500);
  const claimMany = (nowMs: number): number =>
    Array.from(
      { length: 5000 },
      () => window.claim(undefined, { limit: Infinity }, nowMs),
    ).filter((isClaimed) => isClaimed).length;
  assert.equal(claimMany(0), 4096);
  assert.equal(claimMany(1500), 4096);
});

// Guards against a call with much work that books slots far beyond the longest delay.
test("the work of one booking is spread over the slots of 30 s at most", () => {
  const slots = new BookedSlots();
  const choice = { first: 0, last: 10, capacityMs: 1 };
  assert.equal(slots.book(100_000, choice), 0);
  assert.equal(slots.size, 600);
  assert.equal(slots.getWorkMs(0), 100_000 - 599);
});

// Guards against routes of earlier configurations that are kept for good.
test("timeouts are learned for 4,096 routes at most, the least recently used one goes", () => {
  const detector = new ReturnDetector();
  for (const route of ["kept", "old"]) detector.isReturn(route, 4000, 0);
  for (let i = 0; i < 4095; i++) {
    detector.isReturn(`r${i}`, 4000, 0);
    detector.isReturn("kept", 4000, 0);
  }
  assert.equal(detector.isReturn("kept", 2000, 0), true);
  assert.equal(detector.isReturn("old", 2000, 0), false);
});
