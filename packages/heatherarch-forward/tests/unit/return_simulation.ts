/**
 * Simulates a burst before plain targets, without a network: VMs with a queue each, clients that return
 * once when they are told to, and clients that retry at once and often.
 *
 * @module
 */
import { Random } from "heatherarch-core";
import { FleetDemand, type ReturnKind, ReturnTimes } from "../../mod.ts";

/** Options of {@linkcode simulateBurst}. */
export interface BurstOptions {
  readonly vms: number;
  /** Whether returns are booked; if not, delays are as without a known rate. */
  readonly isBooked: boolean;
  /** Share of the clients that ignore `Retry-After`. */
  readonly ignoringShare?: number;
  /** Calls per second during the burst of 2 s, and always. */
  readonly burstPerSecond?: number;
  readonly basePerSecond?: number;
  /** Client timeouts, by route; calls take turns. */
  readonly timeoutsMs?: readonly number[];
}

/** One client and its call. */
export interface SimulatedClient {
  readonly route: number;
  readonly isIgnoring: boolean;
  readonly startedAtMs: number;
  readonly deadlineAtMs: number;
  servedAtMs?: number;
  /** Time of the return of a client that honours `Retry-After`. */
  returnedAtMs?: number;
  rejections: number;
}

interface Waiting {
  readonly client: SimulatedClient;
  readonly kind: ReturnKind;
  readonly atMs: number;
}

interface Arrival {
  readonly client: SimulatedClient;
  readonly atMs: number;
}

const WORK_MS = 40;
const SLOTS = 8;
const BURST_MS = 2000;
const END_MS = 10_000;
const RETRY_INTERVAL_MS = 20;
const EXCHANGE_INTERVAL_MS = 100;
const REVIEW_INTERVAL_MS = 10;
const RATE_WINDOW_MS = 1000;
const MIN_DISPATCHES = 8;

class SimulatedVm {
  readonly demand = new FleetDemand();
  readonly returnTimes: ReturnTimes;
  waiting: Waiting[] = [];
  #dispatchedAtMs: number[] = [];

  constructor(drawUnit: () => number) {
    this.returnTimes = new ReturnTimes({ share: this.demand, drawUnit });
  }

  /** Adds a call in the order of the queue. */
  add(call: Waiting): void {
    const index = this.waiting.findIndex((other) => isBefore(call, other));
    this.waiting.splice(index < 0 ? this.waiting.length : index, 0, call);
  }

  takeNext(nowMs: number): Waiting | undefined {
    if (this.waiting.length > 0) this.#dispatchedAtMs.push(nowMs);
    return this.waiting.shift();
  }

  /** Removes the calls that are predicted to be late. */
  takeLate(nowMs: number): Waiting[] {
    const callsPerMs = this.#getCallsPerMs(nowMs);
    if (callsPerMs === undefined) return [];
    const late = new Set<Waiting>();
    let ahead = 0;
    for (const call of this.waiting) {
      const readyMs = ahead / callsPerMs + WORK_MS;
      if (nowMs + readyMs > call.client.deadlineAtMs) late.add(call);
      else ahead++;
    }
    this.waiting = this.waiting.filter((call) => !late.has(call));
    return [...late];
  }

  readQueue(nowMs: number) {
    const callsPerMs = this.#getCallsPerMs(nowMs);
    if (callsPerMs === undefined) return undefined;
    return {
      callsPerMs,
      workPerMs: callsPerMs * WORK_MS,
      aheadWorkMs: this.waiting.filter(isClaimed).length * WORK_MS,
    };
  }

  #getCallsPerMs(nowMs: number): number | undefined {
    this.#dispatchedAtMs = this.#dispatchedAtMs
      .filter((atMs) => nowMs - atMs < RATE_WINDOW_MS);
    const { length } = this.#dispatchedAtMs;
    if (length < MIN_DISPATCHES) return undefined;
    return length / Math.max(100, nowMs - this.#dispatchedAtMs[0]);
  }
}

function isClaimed({ kind }: Waiting): boolean {
  return kind === "claimed";
}

/** Returns go before other calls, in the order in which their clients time out. */
function isBefore(a: Waiting, b: Waiting): boolean {
  if (isClaimed(a) !== isClaimed(b)) return isClaimed(a);
  return isClaimed(a)
    ? a.client.deadlineAtMs < b.client.deadlineAtMs
    : a.atMs < b.atMs;
}

/** Simulates a burst; returns its clients. */
export function simulateBurst(options: BurstOptions): SimulatedClient[] {
  const {
    ignoringShare = 0,
    burstPerSecond = 600,
    basePerSecond = 20,
    timeoutsMs = [3000, 6000],
  } = options;
  const random = new Random(7);
  const drawUnit = () => random.drawUnit();
  const clients: SimulatedClient[] = [];
  const vms = Array.from(
    { length: options.vms },
    () => new SimulatedVm(drawUnit),
  );
  const slotsFreeAtMs = new Array<number>(SLOTS).fill(0);
  let arrivals: Arrival[] = [];

  const reject = (vm: SimulatedVm, call: Waiting, nowMs: number) => {
    const { client, kind } = call;
    const remainingMs = client.deadlineAtMs - nowMs;
    const waitedMs = nowMs - call.atMs;
    client.rejections++;
    const { delayMs } = vm.returnTimes.computeDelay({
      service: "s",
      kind,
      queue: options.isBooked ? vm.readQueue(nowMs) : undefined,
      remainingMs,
      unbookedMs: Math.max(200, waitedMs / 2) * (1 + drawUnit() / 2),
    }, nowMs);
    if (client.isIgnoring) {
      arrivals.push({ client, atMs: nowMs + RETRY_INTERVAL_MS });
      return;
    }
    if (client.returnedAtMs !== undefined) return;
    client.returnedAtMs = nowMs + Math.min(delayMs, remainingMs / 3);
    arrivals.push({ client, atMs: client.returnedAtMs });
  };

  const receive = ({ client }: Arrival, nowMs: number) => {
    const clientTimeoutMs = client.deadlineAtMs - nowMs;
    if (clientTimeoutMs <= WORK_MS) return;
    // Clients reach VMs by a hash, which favours some of them.
    const vm = vms[Math.floor(vms.length * (drawUnit() * 0.9 + 0.1) ** 1.1)];
    vm.demand.recordCall(nowMs);
    const kind = vm.returnTimes.classifyArrival(
      { service: "s", route: `${client.route}`, clientTimeoutMs },
      nowMs,
    );
    vm.add({
      client,
      atMs: nowMs,
      kind: options.isBooked ? kind : "new",
    });
    for (const call of vm.takeLate(nowMs)) reject(vm, call, nowMs);
  };

  for (let nowMs = 0; nowMs < END_MS; nowMs++) {
    const perSecond = basePerSecond + (nowMs < BURST_MS ? burstPerSecond : 0);
    if (drawUnit() < perSecond / 1000) {
      const route = clients.length % timeoutsMs.length;
      const client: SimulatedClient = {
        route,
        isIgnoring: drawUnit() < ignoringShare,
        startedAtMs: nowMs,
        deadlineAtMs: nowMs + timeoutsMs[route],
        rejections: 0,
      };
      clients.push(client);
      arrivals.push({ client, atMs: nowMs });
    }
    const arrived = arrivals.filter(({ atMs }) => atMs <= nowMs);
    arrivals = arrivals.filter(({ atMs }) => atMs > nowMs);
    for (const arrival of arrived) receive(arrival, nowMs);
    for (let slot = 0; slot < SLOTS; slot++) {
      if (slotsFreeAtMs[slot] > nowMs) continue;
      const busy = vms.filter(({ waiting }) => waiting.length > 0);
      const vm = busy[Math.floor(drawUnit() * busy.length)];
      const call = vm?.takeNext(nowMs);
      if (call === undefined) continue;
      slotsFreeAtMs[slot] = nowMs + WORK_MS;
      call.client.servedAtMs = nowMs + WORK_MS;
    }
    if (nowMs % REVIEW_INTERVAL_MS === 0) {
      for (const vm of vms) {
        for (const call of vm.takeLate(nowMs)) reject(vm, call, nowMs);
      }
    }
    if (nowMs % EXCHANGE_INTERVAL_MS === 0) exchange(vms, nowMs);
  }
  return clients;
}

function exchange(vms: readonly SimulatedVm[], nowMs: number): void {
  for (const [index, vm] of vms.entries()) {
    const rows = vm.returnTimes.book.listDue(nowMs);
    const callsPerMinute = vm.demand.getOwnCallsPerMinute(nowMs);
    for (const peer of vms) {
      if (peer === vm) continue;
      peer.returnTimes.book.setPeerDue(`${index}`, rows, nowMs);
      peer.demand.setPeerRate(`${index}`, { callsPerMinute, vms: 1 }, nowMs);
    }
  }
}

/** Share of clients that were served in time. */
export function computeServedShare(
  clients: readonly SimulatedClient[],
): number {
  const served = clients.filter(({ servedAtMs, deadlineAtMs }) =>
    servedAtMs !== undefined && servedAtMs <= deadlineAtMs
  );
  return served.length / clients.length;
}
