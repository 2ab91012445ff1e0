import assert from "node:assert/strict";
import { test } from "node:test";
import { FairShares, subtractUseRows, type UseRow } from "../../mod.ts";

const GROUP = "service";
const VMS = 4;
const TICK_MS = 10;
/** Slots of the targets are free for this much work in a tick, over all VMs. */
const WORK_PER_TICK_MS = 80;
const CALL_MS = 40;
const RUN_MS = 30_000;
/** Use is sent this often and arrives this much later, 0.75 s together. */
const SEND_INTERVAL_MS = 500;
const SEND_DELAY_MS = 250;

/** Returns the VM to which a call of the account `large` goes. */
type PickVm = (nowMs: number, draw: number) => number;

/**
 * Runs a fleet in which accounts `a` and `b` send twice the capacity each, and `large` ten times the
 * capacity. Returns the share of the capacity that `large` is given.
 */
function simulate(pickVm: PickVm): number {
  const shares = Array.from({ length: VMS }, () => new FairShares());
  const deliveries: { atMs: number; from: number; rows: UseRow[] }[] = [];
  let largeMs = 0;
  let seed = 1;
  for (let nowMs = 0; nowMs < RUN_MS; nowMs += TICK_MS) {
    if (nowMs % SEND_INTERVAL_MS === 0) {
      shares.forEach((vm, from) =>
        deliveries.push({
          atMs: nowMs + SEND_DELAY_MS,
          from,
          rows: vm.listOwnUse(nowMs),
        })
      );
    }
    while (deliveries.length > 0 && deliveries[0].atMs <= nowMs) {
      const { from, rows } = deliveries.shift()!;
      shares.forEach((vm, to) => {
        if (to !== from) vm.setPeerUse(`vm-${from}`, rows, nowMs);
      });
    }
    for (let call = 0; call < WORK_PER_TICK_MS / CALL_MS; call++) {
      seed = seed * 48_271 % 2_147_483_647;
      // A target that becomes free serves any of the VMs that have calls waiting.
      const vm = seed % VMS;
      const waiting = ["a", "b"];
      if (pickVm(nowMs, seed) === vm) waiting.push("large");
      const ranked = waiting
        .map((account, i) => ({
          account,
          rank: shares[vm].computeRank(GROUP, account, nowMs),
          tie: (i + seed) % waiting.length,
        }))
        .sort((x, y) => x.rank - y.rank || x.tie - y.tie);
      const { account } = ranked[0];
      shares[vm].recordWork(GROUP, account, CALL_MS, nowMs);
      if (account === "large") largeMs += CALL_MS;
    }
  }
  return largeMs / (RUN_MS / TICK_MS * WORK_PER_TICK_MS);
}

/** Part of the time constant of use in which sums have not reached the other VMs. */
const UNSEEN_SHARE = (SEND_INTERVAL_MS + SEND_DELAY_MS) / 3000;

// Without sums over all VMs, an account that connects to every VM gets its share at each of them.
test("by splitting its load over VMs, an account gains at most what is unseen", () => {
  const split = simulate((_, draw) => draw % VMS);
  assert.ok(split > 0.2 && split < (1 + UNSEEN_SHARE) / 3, `${split}`);
});

test("by reconnecting to other VMs, an account gains at most what is unseen", () => {
  const moving = simulate((nowMs) => Math.floor(nowMs / 700) % VMS);
  assert.ok(moving < (1 + UNSEEN_SHARE) / 3, `${moving}`);
});

test("by reconnecting to the same VM, an account gains nothing", () => {
  const shares = new FairShares();
  for (let i = 0; i < 3; i++) shares.recordWork(GROUP, `b${i}`, 10, 0);
  const ranks = Array.from({ length: 40 }, (_, connection) => {
    shares.recordWork(GROUP, "large", 5, connection);
    return shares.computeRank(GROUP, "large", connection);
  });
  assert.deepEqual(ranks, [...ranks].sort((a, b) => a - b));
  assert.equal(ranks.at(-1), 2);
});

// A hub's sums include the receiver's own use. Counted twice, an account loses half of its share at
// the VM that serves it.
test("the use of a VM counts once beside a sum that includes it", () => {
  const hub = new FairShares();
  const vm = new FairShares();
  vm.recordWork(GROUP, "a", 60, 0);
  hub.recordWork(GROUP, "b", 100, 0);
  hub.setPeerUse("vm", vm.listOwnUse(0), 0);
  const others = subtractUseRows(hub.sumUse(0, true), vm.listOwnUse(0));
  vm.setPeerUse("hub", others, 0, "gathered");
  assert.deepEqual(
    vm.listShares(0).map(({ account, workMs }) => [account, workMs]),
    [["b", 100], ["a", 60]],
  );
});
