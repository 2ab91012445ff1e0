import assert from "node:assert/strict";
import { test } from "node:test";
import {
  ActiveConfig,
  ConfigExchange,
  MemoryEventLog,
  planConfigReads,
} from "../../mod.ts";
import { buildConfig, buildRoute } from "./fixtures.ts";

/** What a peer does when it is asked: the version that it gives, or nothing at all. */
type PeerAnswer = number | "silent" | "large" | "unreadable";

interface Asked {
  readonly peer: string;
  readonly isOnlyWay: unknown;
}

const BOUND_MS = 200;
const READS = planConfigReads({
  configBoundMs: BOUND_MS,
  configWaitMs: BOUND_MS / 2,
  requestTimeoutMs: 1500,
});
const LARGE = Array.from({ length: 101 }, () => buildRoute());

/** An exchange that asks peers, and what came of it. */
function createExchange(
  answers: Readonly<Record<string, PeerAnswer>>,
  hasToRead = false,
): { exchange: ConfigExchange; configs: ActiveConfig; asked: Asked[] } {
  const configs = new ActiveConfig();
  const asked: Asked[] = [];
  const call = async (
    peer: string,
    _: string,
    isOnlyWay: unknown,
    timeoutMs: number,
  ): Promise<unknown> => {
    asked.push({ peer, isOnlyWay });
    const answer = answers[peer];
    if (answer === "silent") {
      await sleepMs(timeoutMs);
      throw new Error("timed out");
    }
    if (answer === "unreadable") return { revision: 9 };
    if (answer !== "large") return buildConfig({ version: answer });
    return isOnlyWay === true
      ? buildConfig({ version: 2, routes: LARGE })
      : null;
  };
  const exchange = new ConfigExchange({
    node: { call, registerCall: () => () => undefined },
    activeConfig: configs,
    log: new MemoryEventLog(),
    mustReadStore: () => hasToRead,
    loadConfig: () => Promise.reject(new Error("status 503")),
    configReadTiming: READS,
  });
  return { exchange, configs, asked };
}

function sleepMs(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

// A peer that fell silent kept a VM from asking the others that had the change as well.
test("a change comes from another peer where the first one is silent", async () => {
  const { exchange, configs, asked } = createExchange({ a: "silent", b: 2 });
  exchange.handlePeerVersion("a", 2);
  exchange.handlePeerVersion("b", 2);
  await sleepMs(BOUND_MS);
  assert.equal(configs.version, 2);
  assert.deepEqual(asked.map(({ peer }) => peer), ["a", "b"]);
});

test("a VM that reads the store asks a peer only after the store had time", async () => {
  const { exchange, configs, asked } = createExchange({ a: 2 }, true);
  exchange.handlePeerVersion("a", 2);
  configs.applyConfig(buildConfig({ version: 2 }), "store");
  await sleepMs(BOUND_MS);
  assert.deepEqual(asked, []);
});

test("a large configuration comes from a peer where the store has not given it", async () => {
  const { exchange, configs, asked } = createExchange({ a: "large" });
  exchange.handlePeerVersion("a", 2);
  await sleepMs(BOUND_MS);
  assert.equal(configs.version, 2);
  assert.deepEqual(asked.map(({ isOnlyWay }) => isOnlyWay), [false, true]);
});

test("a peer that told a newer version and gives an older one changes nothing", async () => {
  const { exchange, configs } = createExchange({ a: 3 });
  configs.applyConfig(buildConfig({ version: 5 }), "store");
  exchange.handlePeerVersion("a", 7);
  await sleepMs(BOUND_MS);
  assert.equal(configs.version, 5);
});

// A peer of another release may answer in a form that this one does not know.
test("what is no configuration is not taken from a peer", async () => {
  const { exchange, configs } = createExchange({ a: "unreadable", b: 2 });
  exchange.handlePeerVersion("a", 2);
  exchange.handlePeerVersion("b", 2);
  await sleepMs(BOUND_MS);
  assert.equal(configs.version, 2);
});
