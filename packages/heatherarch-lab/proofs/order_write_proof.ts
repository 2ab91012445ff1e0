/**
 * Proof of the authority check right before an order is written, over real sockets. The lease
 * expires between the decision to send the order and the write of its bytes.
 *
 * @module
 */
import fc from "fast-check";
import { EngineServer } from "heatherarch-standins";
import { createEngine } from "heatherarch-targets";
import { assertProperty, type Proof } from "./proof.ts";

const CHECK_BEFORE_WRITE = "checkBeforeWrite";

interface Schedule {
  readonly dialect: "sse" | "ndjson";
  /** Number of checks that still find the authority valid. */
  readonly checksLeft: number;
}

async function checkSchedule(
  schedule: Schedule,
  disabledGuard: string | undefined,
): Promise<void> {
  const { dialect } = schedule;
  const server = new EngineServer({
    id: "e",
    dialect,
    checksFencing: dialect === "sse",
    role: "mixed",
    model: "m",
    version: "1",
  });
  const address = await server.listen();
  const timeouts = { connectMs: 1000, firstByteMs: 1000, gapMs: 1000 };
  const engine = createEngine(dialect, {
    address,
    maxConnections: 2,
    timeouts,
  });
  let checksLeft = schedule.checksLeft;
  const hasAuthority = (): boolean => checksLeft-- > 0;
  try {
    if (!hasAuthority()) return;
    await engine.sendOrder({ kind: "setRole", role: "decode" }, {
      fencing: 1,
      guard: disabledGuard === CHECK_BEFORE_WRITE ? () => true : hasAuthority,
      timeoutMs: 1000,
    });
    const hasExpired = schedule.checksLeft < 2;
    assertProperty(
      !hasExpired || server.ledger.ordersObeyed === 0,
      "no order is obeyed under an expired authority",
      `${server.ledger.ordersObeyed} orders obeyed by a ${dialect} engine`,
    );
    assertProperty(
      hasExpired || server.ledger.ordersObeyed === 1,
      "an order under a valid authority is obeyed",
    );
  } finally {
    await engine.close();
    await server.close();
  }
}

/** Orders whose authority expires before they are written. */
export const ORDER_WRITE_PROOF: Proof = {
  name: "order-write",
  guards: [CHECK_BEFORE_WRITE],
  build: (disabledGuard) =>
    fc.asyncProperty(
      fc.record({
        dialect: fc.constantFrom("sse" as const, "ndjson" as const),
        checksLeft: fc.integer({ min: 0, max: 2 }),
      }),
      (schedule) => checkSchedule(schedule, disabledGuard),
    ),
};
