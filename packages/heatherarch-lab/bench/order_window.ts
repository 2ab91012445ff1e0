/**
 * Measures the window in which an engine that ignores fencing tokens can receive an order after its
 * sender has lost the lease: the time from the last check of the lease until the whole order has
 * been passed to the kernel.
 *
 * @module
 */
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import { EngineServer } from "heatherarch-standins";
import { createEngine } from "heatherarch-targets";
import { computeQuantiles, type Quantiles, roundTo } from "./statistics.ts";

/** Report of the measurement. */
export interface OrderWindowReport {
  readonly orders: number;
  readonly checkToWrittenMs: Quantiles;
  readonly maxMs: number;
}

const ORDER_COUNT = 400;
const BODY_SENT_CHANNEL = "undici:request:bodySent";

/** Sends orders to a stand-in and measures the window of each. */
export async function measureOrderWindow(): Promise<OrderWindowReport> {
  const server = new EngineServer({
    id: "e",
    dialect: "ndjson",
    checksFencing: false,
    role: "mixed",
    model: "m",
    version: "1",
  });
  const address = await server.listen();
  const timeouts = { connectMs: 1000, firstByteMs: 1000, gapMs: 1000 };
  const engine = createEngine("ndjson", {
    address,
    maxConnections: 2,
    timeouts,
  });
  const windowsMs: number[] = [];
  let checkedAtMs = 0;
  const onBodySent = (): void => {
    if (checkedAtMs > 0) windowsMs.push(performance.now() - checkedAtMs);
    checkedAtMs = 0;
  };
  subscribe(BODY_SENT_CHANNEL, onBodySent);
  for (let i = 0; i < ORDER_COUNT; i++) {
    await engine.sendOrder({ kind: "setRole", role: "decode" }, {
      fencing: i,
      guard: () => {
        checkedAtMs = performance.now();
        return true;
      },
      timeoutMs: 1000,
    });
  }
  unsubscribe(BODY_SENT_CHANNEL, onBodySent);
  await engine.close();
  await server.close();
  return {
    orders: windowsMs.length,
    checkToWrittenMs: computeQuantiles(windowsMs),
    maxMs: roundTo(Math.max(...windowsMs), 3),
  };
}
