import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type EngineState,
  registerViolationListener,
  RuntimeClock,
} from "heatherarch-core";
import {
  applyControlRecord,
  CONTROL_FORMAT,
  type ControlRecord,
  EMPTY_CONTROL_STATE,
} from "heatherarch-lease";
import type { Fleet, ProcessSettings, Target } from "heatherarch-settings";
import type { OrderResponse } from "heatherarch-targets";
import { createLogger } from "../../logger.ts";
import {
  OrderExecutor,
  type OrderExecutorOptions,
} from "../../order_executor.ts";

const TARGET = {
  id: "engine-1",
  service: "reader",
  checksFencing: true,
} as Target;
const FLEET = {
  services: [{ name: "reader", kind: "model", models: ["m"], version: "2" }],
  planning: { policy: "none", intervalMs: 60_000 },
} as unknown as Fleet;
const STATE: EngineState = {
  role: "mixed",
  model: "m",
  version: "1",
  busyWithOrder: false,
  leaving: false,
  running: 0,
  waiting: 0,
  pendingPrefillTokens: 0,
  kvUsed: 0,
  fencing: 0,
};
/** Number of state reads while an engine drains, before the last read ahead of its order. */
const READS_BEFORE_ORDER = 4;

/** A VM whose lease lapses and is claimed again while it reads an engine's state. */
class LapsingLease {
  state = EMPTY_CONTROL_STATE;
  /** Fencing tokens of the orders that the engine received. */
  readonly orders: number[] = [];
  readonly results: unknown[] = [];
  reads = 0;

  constructor() {
    this.#claim();
  }

  get machine(): { readonly fencing: number } {
    return { fencing: this.state.claim?.claimOffset ?? -1 };
  }

  hasAuthority(): boolean {
    return true;
  }

  appendAndRead(record: ControlRecord): Promise<boolean> {
    if (record.type === "outcome") this.results.push(record.result);
    this.#append(record);
    return Promise.resolve(true);
  }

  readState(): Promise<EngineState> {
    this.reads++;
    if (this.reads === 1 + READS_BEFORE_ORDER) this.#claim();
    return Promise.resolve(STATE);
  }

  sendOrder(
    _: unknown,
    { fencing, guard }: { fencing: number; guard: () => boolean },
  ): Promise<OrderResponse> {
    if (!guard()) return Promise.resolve({ kind: "withheld" });
    this.orders.push(fencing);
    return Promise.resolve({ kind: "accepted" });
  }

  #claim(): void {
    const { claim } = this.state;
    this.#append({
      type: "claim",
      format: CONTROL_FORMAT,
      id: `claim-${this.state.offset}`,
      vm: "vm-1",
      incarnation: "vm-1-1",
      replaces: claim?.claimOffset ?? -1,
      seenRenewal: claim?.lastSignOffset ?? -1,
    });
  }

  #append(data: ControlRecord): void {
    const offset = this.state.offset + 1;
    this.state = applyControlRecord(this.state, { offset, data });
  }
}

function createExecutor(lease: LapsingLease): OrderExecutor {
  const options: Partial<OrderExecutorOptions> = {
    availabilityZone: "zone-a",
    clock: new RuntimeClock(),
    control: lease,
    table: {
      findTarget: () => TARGET,
      getEngine: () => lease as never,
      listStatus: () => [{
        id: TARGET.id,
        service: TARGET.service,
        availabilityZone: "zone-a",
        role: "mixed",
        directive: "active",
        usable: true,
        reason: "",
        running: 0,
        waiting: 0,
        outstandingHere: 0,
        reportAgeMs: 0,
      }],
    },
    membership: { listMembers: () => [] },
    logger: createLogger({ level: "error", vm: "vm-1" }),
    settings: { settleMs: 0 } as ProcessSettings["lease"],
    readFleet: () => FLEET,
    onOutcome: () => undefined,
  };
  return new OrderExecutor(options as OrderExecutorOptions);
}

// Guards against the process ending when the lease lapses and is claimed again during a slow read
// of an engine's state, after an order was announced under the earlier claim.
test("an order announced under an earlier claim is not sent, and the process keeps running", async () => {
  const violations: string[] = [];
  const unregister = registerViolationListener(({ invariant }) =>
    violations.push(invariant)
  );
  const lease = new LapsingLease();
  const executor = createExecutor(lease);
  try {
    const running = executor.run();
    while (lease.reads < 1 + READS_BEFORE_ORDER) await sleepMs(20);
    await sleepMs(50);
    executor.stop();
    await running;
  } finally {
    unregister();
  }
  assert.deepEqual(violations, []);
  assert.deepEqual(lease.orders, []);
  assert.equal(lease.results[0], "failed");
});

function sleepMs(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
