/**
 * The window that remains for engines that ignore fencing numbers: time from the last check
 * of the lease to the moment the whole order has been handed to the kernel.
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

const ORDERS = 400;
const BODY_SENT = "undici:request:bodySent";

/** Gives orders to a stand-in and times each one. */
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
  const times: number[] = [];
  let checkedAtMs = 0;
  const onSent = (): void => {
    if (checkedAtMs > 0) times.push(performance.now() - checkedAtMs);
    checkedAtMs = 0;
  };
  subscribe(BODY_SENT, onSent);
  for (let i = 0; i < ORDERS; i++) {
    await engine.sendOrder({ kind: "setRole", role: "decode" }, {
      fencing: i,
      guard: () => {
        checkedAtMs = performance.now();
        return true;
      },
      timeoutMs: 1000,
    });
  }
  unsubscribe(BODY_SENT, onSent);
  await engine.close();
  await server.close();
  return {
    orders: times.length,
    checkToWrittenMs: computeQuantiles(times),
    maxMs: roundTo(Math.max(...times), 3),
  };
}
