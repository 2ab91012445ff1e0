import assert from "node:assert/strict";
import { test } from "node:test";
import type { Dispatcher } from "undici";
import { ServeError, sleep } from "heatherarch-core";
import type { HandoverListener } from "heatherarch-handover";
import {
  type CallContext,
  encodeHandoverFailure,
  encodeHandoverResponse,
  MemoryEventLog,
  PeerOffer,
  type PeerOfferOptions,
  type Target,
  TargetExchange,
  UNKNOWN_ATTEMPTS,
  watchPathLoss,
} from "../../mod.ts";
import { buildEngine, buildRoute } from "./fixtures.ts";

const DECODE_ENGINE = buildEngine("d", { role: "decode" });

/** What a peer does with a call that it has accepted. */
type PeerEnd = "begins" | "never begins" | "fails" | "refuses";

interface WatchedOptions {
  readonly isLostBefore?: boolean;
  readonly isPrefill?: boolean;
  /** What the peers do with the call, in the order in which they are asked; then they begin. */
  readonly peers?: readonly PeerEnd[];
}

/** Starts an exchange with a decode engine, watched by a VM whose peers accept calls in 10 ms. */
function startWatched(
  lostRoles: Set<Target["role"]>,
  { isLostBefore = false, isPrefill, peers = [] }: WatchedOptions = {},
) {
  const peerEnds = [...peers];
  const listeners = new Set<() => void>();
  const aborts: string[] = [];
  let sendByte = (): void => undefined;
  let breakOff = (): void => undefined;
  const dispatch: Dispatcher["dispatch"] = (_options, handler) => {
    const controller = {
      abort: (error: Error) => aborts.push(error.message),
      pause: () => undefined,
      resume: () => undefined,
    } as unknown as Dispatcher.DispatchController;
    handler.onRequestStart?.(controller, undefined);
    handler.onResponseStart?.(controller, 200, {}, "");
    breakOff = () => handler.onResponseError?.(controller, new Error("reset"));
    sendByte = () => handler.onResponseData?.(controller, Buffer.from("x"));
    return true;
  };
  const exchange = new TargetExchange(
    { dispatch },
    "http://10.0.0.1:80",
    { path: "/", method: "POST", headers: [], body: null },
    { onRelease: () => undefined },
  );
  let offers = 0;
  let troubles = 0;
  let closed = 0;
  let runs = 1;
  const respond = (listener: HandoverListener, end: PeerEnd): void => {
    if (end === "begins") {
      listener.onResponse(encodeHandoverResponse({ status: 200, headers: [] }));
    } else if (end === "fails") {
      listener.onResponse(encodeHandoverResponse({ status: 500, headers: [] }));
    } else if (end === "refuses") {
      const error = new ServeError("overloaded", "no time left");
      listener.onFailure(encodeHandoverFailure(error, UNKNOWN_ATTEMPTS));
    }
  };
  const offerCall = async (_offer: unknown, asked: Set<string>) => {
    offers++;
    const peer = { id: `peer-${offers}` };
    asked.add(peer.id);
    await sleep(10);
    return {
      peer,
      send: (_head: unknown, _body: Buffer, listener: HandoverListener) => {
        const end = peerEnds.shift() ?? "begins";
        setTimeout(() => respond(listener, end), 5);
      },
      close: () => void closed++,
    };
  };
  const peerOffer = new PeerOffer({
    offerCall: offerCall as unknown as PeerOfferOptions["offerCall"],
    service: "s",
    configVersion: 1,
    mayOffer: () => true,
  });
  const context = {
    get nowMs() {
      return performance.now();
    },
    get hasPath() {
      return lostRoles.size === 0;
    },
    mayHandOver: true,
    handoverState: { runs },
    maxRuns: 2,
    route: buildRoute({ kind: "resumableStream" }),
    receivedCall: { body: Buffer.alloc(0), arrivedAtMs: 0 },
    chooseSoftwareVersion: () => undefined,
    beginHedge: () => {
      runs++;
      return () => void runs--;
    },
    service: { name: "s" },
    ended: new Promise(() => undefined),
    recordLoss: () => undefined,
    peerOffer,
    dependencies: {
      log: new MemoryEventLog(),
      pathMonitor: {
        hasPathTo: ({ role }: Target) => !lostRoles.has(role),
        recordTrouble: () => troubles++,
        registerLossListener: (_service: string, listener: () => void) => {
          listeners.add(listener);
          return () => listeners.delete(listener);
        },
      },
    },
  } as unknown as CallContext;
  const stop = watchPathLoss({
    context,
    target: DECODE_ENGINE,
    exchange,
    isPrefill,
  });
  if (!isLostBefore) { for (const listener of listeners) listener(); }
  return {
    exchange,
    aborts,
    stop,
    sendByte: () => sendByte(),
    breakOff: () => breakOff(),
    hasHedge: () => peerOffer.hasHedge,
    countRuns: () => runs,
    countClosed: () => closed,
    countOffers: () => offers,
    countTroubles: () => troubles,
  };
}

async function sendBytes(
  { sendByte }: { sendByte: () => void },
  count: number,
): Promise<void> {
  for (let sent = 0; sent < count; sent++) {
    sendByte();
    await sleep(50);
  }
}

// Guards against a stream of a decode engine that is aborted between two of its events, because the
// path to the prefill engines is lost.
test("the loss of another role's path leaves an exchange alone", async () => {
  const watched = startWatched(new Set(["prefill"]));
  await sendBytes(watched, 8);
  assert.equal(watched.countTroubles(), 0);
  await sleep(400);
  watched.stop();
  // Guards against a silent stream for whose own path nobody asks.
  assert.ok(watched.countTroubles() > 0);
  assert.deepEqual(watched.aborts, []);
  assert.equal(watched.countOffers(), 0);
});

// Guards against a peer that accepts between two events of a stream that flows.
test("a response that goes on is kept while its path counts as lost", async () => {
  const watched = startWatched(new Set(["decode"]));
  await sleep(25);
  await sendBytes(watched, 10);
  watched.stop();
  assert.deepEqual(watched.aborts, []);
});

// Guards against a slow client whose engine is taken for silent as its bytes are not read.
test("a response that is not read for a slow client is not silent", async () => {
  const watched = startWatched(new Set(["decode"]));
  watched.exchange.pause();
  await sleep(400);
  watched.exchange.resume();
  await sleep(100);
  assert.deepEqual(watched.aborts, []);
  await sleep(300);
  watched.stop();
  assert.deepEqual(watched.aborts, ["path lost"]);
});

// Guards against a stream that hangs to its deadline since a late byte ended the offers for good.
test("a response that falls silent after a late byte goes to a peer", async () => {
  const watched = startWatched(new Set(["decode"]));
  await sleep(5);
  watched.sendByte();
  await sleep(450);
  watched.stop();
  assert.deepEqual(watched.aborts, ["path lost"]);
});

// Guards against a loss between the watches of the head and of the body, which no listener hears.
test("a path that was lost before the watch began counts", async () => {
  const watched = startWatched(new Set(["decode"]), { isLostBefore: true });
  await sleep(400);
  watched.stop();
  assert.deepEqual(watched.aborts, ["path lost"]);
});

// Guards against a stream that is cut although its engine goes on: a peer that had accepted the call saw
// the same silence and never began.
test("an exchange is kept while the peer that accepted its call has not begun", async () => {
  const watched = startWatched(new Set(["decode"]), {
    peers: ["never begins"],
  });
  await sleep(600);
  assert.deepEqual(watched.aborts, []);
  assert.equal(watched.countClosed(), 0);
  watched.sendByte();
  // Guards against two engines that run a stream on, as the peer is not told.
  assert.equal(watched.countClosed(), 1);
  assert.equal(watched.hasHedge(), false);
  assert.equal(watched.countRuns(), 2);
  watched.stop();
  assert.deepEqual(watched.aborts, []);
});

// Guards against an exchange that is given up for a failure, or for a peer that did not run the call.
test("an exchange is kept when the peer refuses its call or fails it", async () => {
  const watched = startWatched(new Set(["decode"]), {
    peers: ["refuses", "fails", "never begins"],
  });
  await sleep(400);
  assert.deepEqual(watched.aborts, []);
  // The run at the peer that refused is taken back.
  assert.equal(watched.countOffers(), 2);
  assert.equal(watched.countRuns(), 2);
  await sleep(350);
  assert.equal(watched.countOffers(), 3);
  watched.stop();
  assert.deepEqual(watched.aborts, []);
  assert.equal(watched.hasHedge(), false);
});

// Guards against a call without a target: its exchange broke, and the peer that has it was sent away.
test("a hedge outlasts an exchange that fails", async () => {
  const watched = startWatched(new Set(["decode"]), {
    peers: ["never begins"],
  });
  await sleep(400);
  watched.breakOff();
  watched.stop();
  assert.equal(watched.hasHedge(), true);
  assert.equal(watched.countClosed(), 0);
});

// Guards against a prefill that is booked here and at a peer, for which other VMs refuse calls.
test("a prefill is given up for a peer that accepts its call", async () => {
  const watched = startWatched(new Set(["decode"]), { isPrefill: true });
  await sleep(400);
  assert.deepEqual(watched.aborts, ["path lost"]);
  assert.equal(watched.countRuns(), 1);
  watched.stop();
  // The peer is kept for the call.
  assert.equal(watched.countClosed(), 0);
});
