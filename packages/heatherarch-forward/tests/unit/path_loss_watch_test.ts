import assert from "node:assert/strict";
import { test } from "node:test";
import type { Dispatcher } from "undici";
import { sleep } from "heatherarch-core";
import {
  type CallContext,
  type Target,
  TargetExchange,
  watchPathLoss,
} from "../../mod.ts";
import { buildEngine } from "./fixtures.ts";

const DECODE_ENGINE = buildEngine("d", { role: "decode" });

/** Starts an exchange with a decode engine, watched by a VM whose peers accept calls in 10 ms. */
function startWatched(lostRoles: Set<Target["role"]>, isLostBefore = false) {
  const listeners = new Set<() => void>();
  const aborts: string[] = [];
  let sendByte = (): void => undefined;
  const dispatch: Dispatcher["dispatch"] = (_options, handler) => {
    const controller = {
      abort: (error: Error) => aborts.push(error.message),
      pause: () => undefined,
      resume: () => undefined,
    } as unknown as Dispatcher.DispatchController;
    handler.onRequestStart?.(controller, undefined);
    handler.onResponseStart?.(controller, 200, {}, "");
    sendByte = () => handler.onResponseData?.(controller, Buffer.from("x"));
    return true;
  };
  const exchange = new TargetExchange(
    { dispatch },
    "http://10.0.0.1:80",
    { path: "/", method: "POST", headers: [], body: null },
    { onRelease: () => undefined, isReset: () => false },
  );
  let offers = 0;
  let troubles = 0;
  const context = {
    get nowMs() {
      return performance.now();
    },
    get hasPath() {
      return lostRoles.size === 0;
    },
    mayHandOver: true,
    service: { name: "s" },
    ended: new Promise(() => undefined),
    recordLoss: () => undefined,
    peerOffer: {
      reserve: async () => {
        offers++;
        await sleep(10);
        return true;
      },
      release: () => undefined,
    },
    dependencies: {
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
  const stop = watchPathLoss(context, DECODE_ENGINE, exchange);
  if (!isLostBefore) { for (const listener of listeners) listener(); }
  return {
    exchange,
    aborts,
    stop,
    sendByte: () => sendByte(),
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
  const watched = startWatched(new Set(["decode"]), true);
  await sleep(400);
  watched.stop();
  assert.deepEqual(watched.aborts, ["path lost"]);
});
