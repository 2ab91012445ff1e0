import assert from "node:assert/strict";
import { ManualClock } from "heatherarch-core";
import { test } from "node:test";
import type { CallHandler, LinkIdentity } from "heatherarch-mesh";
import {
  ActiveConfig,
  ConfigExchange,
  MemoryEventLog,
  planConfigReads,
} from "../../mod.ts";
import { buildConfig, buildRoute } from "./fixtures.ts";

/** How a peer responds to a request: the version that it sends, or a failure. */
type PeerBehavior = number | "silent" | "large" | "unreadable" | "noAccounts";

interface PeerRequest {
  readonly peer: string;
  readonly isLastResort: unknown;
}

const CONFIG_BOUND_MS = 200;
const TIMING = planConfigReads({
  configBoundMs: CONFIG_BOUND_MS,
  configWaitMs: CONFIG_BOUND_MS / 2,
  requestTimeoutMs: 1500,
});
const PEER: LinkIdentity = {
  id: "a",
  incarnation: "a/1",
  availabilityZone: "zone-a",
  mesh: "127.0.0.1:1",
};
const LARGE = Array.from({ length: 101 }, () => buildRoute());

/** Creates an exchange with scripted peers, and records the requests to them. */
function createExchange(
  behaviors: Readonly<Record<string, PeerBehavior>>,
  mustReadStore = false,
): {
  exchange: ConfigExchange;
  activeConfig: ActiveConfig;
  requests: PeerRequest[];
  log: MemoryEventLog;
} {
  const activeConfig = new ActiveConfig({ clock: new ManualClock() });
  const requests: PeerRequest[] = [];
  const log = new MemoryEventLog();
  const call = async (
    peer: string,
    _: string,
    isLastResort: unknown,
    timeoutMs: number,
  ): Promise<unknown> => {
    requests.push({ peer, isLastResort });
    const behavior = behaviors[peer];
    if (behavior === "silent") {
      await sleepMs(timeoutMs);
      throw new Error("timed out");
    }
    if (behavior === "unreadable") return { revision: 9 };
    if (behavior === "noAccounts") {
      return { ...buildConfig({ version: 9 }), accounts: undefined };
    }
    if (behavior !== "large") return buildConfig({ version: behavior });
    return isLastResort === true
      ? buildConfig({ version: 2, routes: LARGE })
      : null;
  };
  const exchange = new ConfigExchange({
    node: { call, registerCall: () => () => undefined },
    activeConfig,
    log,
    mustReadStore: () => mustReadStore,
    loadConfig: () => Promise.reject(new Error("status 503")),
    configReadTiming: TIMING,
  });
  return { exchange, activeConfig, requests, log };
}

function sleepMs(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

// A peer that stopped responding kept a VM from requesting the change from other peers that had it.
test("a change is fetched from another peer if the first one does not respond", async () => {
  const { exchange, activeConfig, requests } = createExchange({
    a: "silent",
    b: 2,
  });
  exchange.handlePeerVersion("a", 2);
  exchange.handlePeerVersion("b", 2);
  await sleepMs(CONFIG_BOUND_MS);
  assert.equal(activeConfig.version, 2);
  assert.deepEqual(requests.map(({ peer }) => peer), ["a", "b"]);
});

test("a VM that reads the store requests nothing from a peer before the store had time", async () => {
  const { exchange, activeConfig, requests } = createExchange({ a: 2 }, true);
  exchange.handlePeerVersion("a", 2);
  activeConfig.applyConfig(buildConfig({ version: 2 }), "store");
  await sleepMs(CONFIG_BOUND_MS);
  assert.deepEqual(requests, []);
});

test("a large configuration is fetched from a peer if the store has not delivered it", async () => {
  const { exchange, activeConfig, requests } = createExchange({ a: "large" });
  exchange.handlePeerVersion("a", 2);
  await sleepMs(CONFIG_BOUND_MS);
  assert.equal(activeConfig.version, 2);
  assert.deepEqual(requests.map(({ isLastResort }) => isLastResort), [
    false,
    true,
  ]);
});

test("a peer that announced a newer version but sends an older one changes nothing", async () => {
  const { exchange, activeConfig } = createExchange({ a: 3 });
  activeConfig.applyConfig(buildConfig({ version: 5 }), "store");
  exchange.handlePeerVersion("a", 7);
  await sleepMs(CONFIG_BOUND_MS);
  assert.equal(activeConfig.version, 5);
});

// A peer of another release may respond in a format that this one does not know.
test("a response that is not a configuration is not applied", async () => {
  const { exchange, activeConfig } = createExchange({ a: "unreadable", b: 2 });
  exchange.handlePeerVersion("a", 2);
  exchange.handlePeerVersion("b", 2);
  await sleepMs(CONFIG_BOUND_MS);
  assert.equal(activeConfig.version, 2);
});

// During an update of the software, a peer may not know of client accounts yet.
test("a configuration without the client accounts is not applied", async () => {
  const { exchange, activeConfig, log } = createExchange({
    a: "noAccounts",
    b: 2,
  });
  exchange.handlePeerVersion("a", 9);
  exchange.handlePeerVersion("b", 2);
  await sleepMs(CONFIG_BOUND_MS);
  assert.equal(activeConfig.version, 2);
  const failure = log.lines.find(({ event }) => event === "configNotFetched");
  assert.equal(
    failure?.fields.reason,
    "the peer's configuration is incomplete",
  );
});

test("a configuration with many client accounts is sent only to a peer without another source", async () => {
  const activeConfig = new ActiveConfig({ clock: new ManualClock() });
  let respond: CallHandler | undefined;
  const exchange = new ConfigExchange({
    node: {
      call: () => Promise.reject(new Error("timed out")),
      registerCall: (_: string, handler: typeof respond) => {
        respond = handler;
        return () => undefined;
      },
    },
    activeConfig,
    log: new MemoryEventLog(),
    mustReadStore: () => false,
    loadConfig: () => Promise.resolve(),
    configReadTiming: TIMING,
  });
  exchange.start();
  assert.ok(respond);
  for (const [version, count] of [[1, 500], [2, 501]]) {
    const accounts = Array.from({ length: count }, (_, i) => ({
      name: `account-${i}`,
      keyDigests: [],
    }));
    activeConfig.applyConfig(buildConfig({ version, accounts }), "store");
    const reply: unknown = await respond(false, PEER);
    assert.equal(reply === null, count > 500);
    assert.notEqual(await respond(true, PEER), null);
  }
});
