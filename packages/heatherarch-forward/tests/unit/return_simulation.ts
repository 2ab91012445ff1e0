/**
 * Simulates a burst before plain targets, without a network: VMs with a queue each, clients that return
 * once when they are told to, and clients that retry at once and often.
 *
 * @module
 */
import { Random } from "heatherarch-core";
import {
  AccountRanker,
  CallQueue,
  FleetDemand,
  type PromptPlacement,
  type ReturnKind,
  ReturnTimes,
} from "../../mod.ts";

/** Options of {@linkcode simulateBurst}. */
export interface BurstOptions {
  readonly vms: number;
  /** Whether returns are booked; if not, delays are as without a known rate. */
  readonly isBooked: boolean;
  /** Whether VMs have the queue of plain calls; by default calls are in the order of arrival. */
  readonly hasCallQueue?: boolean;
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
const AIM_MS = 150;
const RATE_WINDOW_MS = 1000;
const MIN_DISPATCHES = 8;

/** What the queue of a VM uses. */
interface QueueHost {
  readonly nowMs: number;
  /** Time until a target has a free slot, milliseconds. */
  computeFreeInMs(): number;
  place(call: Waiting): void;
  reject(call: Waiting): void;
}

interface SimulatedQueue {
  add(call: Waiting): void;
  dispatch(): void;
  readForReturn(): ReturnType<CallQueue["readForReturn"]>;
}

/** Returns first, other calls in the order of arrival; rejects by the calls ahead and the rate. */
class SimpleQueue implements SimulatedQueue {
  readonly #host: QueueHost;
  #waiting: Waiting[] = [];
  #dispatchedAtMs: number[] = [];

  constructor(host: QueueHost) {
    this.#host = host;
  }

  add(call: Waiting): void {
    const index = this.#waiting.findIndex((other) => isBefore(call, other));
    this.#waiting.splice(index < 0 ? this.#waiting.length : index, 0, call);
    this.#rejectLate();
  }

  dispatch(): void {
    while (this.#host.computeFreeInMs() === 0 && this.#waiting.length > 0) {
      this.#dispatchedAtMs.push(this.#host.nowMs);
      this.#host.place(this.#waiting.shift() as Waiting);
    }
    if (this.#host.nowMs % REVIEW_INTERVAL_MS === 0) this.#rejectLate();
  }

  readForReturn() {
    const callsPerMs = this.#getCallsPerMs();
    if (callsPerMs === undefined) return undefined;
    return {
      callsPerMs,
      workPerMs: callsPerMs * WORK_MS,
      aheadWorkMs: this.#waiting.filter(isClaimed).length * WORK_MS,
    };
  }

  #rejectLate(): void {
    const callsPerMs = this.#getCallsPerMs();
    if (callsPerMs === undefined) return;
    const late = new Set<Waiting>();
    for (const [index, call] of this.#waiting.entries()) {
      const readyMs = (index - late.size) / callsPerMs + WORK_MS;
      const { deadlineAtMs } = call.client;
      if (this.#host.nowMs + readyMs > deadlineAtMs) late.add(call);
    }
    this.#waiting = this.#waiting.filter((call) => !late.has(call));
    for (const call of late) this.#host.reject(call);
  }

  #getCallsPerMs(): number | undefined {
    const { nowMs } = this.#host;
    this.#dispatchedAtMs = this.#dispatchedAtMs
      .filter((atMs) => nowMs - atMs < RATE_WINDOW_MS);
    const { length } = this.#dispatchedAtMs;
    if (length < MIN_DISPATCHES) return undefined;
    return length / Math.max(100, nowMs - this.#dispatchedAtMs[0]);
  }
}

/** The queue of plain calls. */
class PlainQueue implements SimulatedQueue {
  readonly #host: QueueHost;
  readonly #queue: CallQueue;

  constructor(host: QueueHost) {
    this.#host = host;
    this.#queue = new CallQueue({
      clock: {
        readMonotonicMs: () => host.nowMs,
        readWallMs: () => host.nowMs,
      } as ConstructorParameters<typeof CallQueue>[0]["clock"],
      isTimerEnabled: false,
      latePolicy: "behind",
      rejectsEarly: true,
      maxBacklogMs: 0,
      maxLateBacklogMs: 0,
      ranker: new AccountRanker(),
    });
  }

  add(call: Waiting): void {
    const { client, kind, atMs } = call;
    this.#queue.enqueue({
      lane: 0,
      kind: `${client.route}`,
      isReturn: kind === "claimed",
      waitStartedAtMs: atMs,
      aimMs: AIM_MS,
      timeoutAtMs: client.deadlineAtMs,
      responseDelayMs: 0,
      predictMs: () => WORK_MS,
      findPlacement: () => {
        const backlogMs = this.#host.computeFreeInMs();
        const readyMs = backlogMs + WORK_MS;
        const times = { costMs: WORK_MS, unloadedMs: WORK_MS };
        return { ...times, backlogMs, readyMs } as PromptPlacement;
      },
      onOutcome: (outcome) => {
        if (outcome.kind === "placed") this.#host.place(call);
        else this.#host.reject(call);
      },
    });
  }

  dispatch(): void {
    this.#queue.dispatch();
  }

  readForReturn() {
    return this.#queue.readForReturn();
  }
}

interface SimulatedVm {
  readonly demand: FleetDemand;
  readonly returnTimes: ReturnTimes;
  readonly queue: SimulatedQueue;
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
  const slotsFreeAtMs = new Array<number>(SLOTS).fill(0);
  let arrivals: Arrival[] = [];
  let nowMs = 0;

  const computeFreeInMs = () => Math.max(0, Math.min(...slotsFreeAtMs) - nowMs);

  const place = ({ client }: Waiting) => {
    const slot = slotsFreeAtMs.indexOf(Math.min(...slotsFreeAtMs));
    slotsFreeAtMs[slot] = nowMs + computeFreeInMs() + WORK_MS;
    client.servedAtMs = slotsFreeAtMs[slot];
  };

  const reject = (vm: SimulatedVm, call: Waiting) => {
    const { client, kind } = call;
    const remainingMs = client.deadlineAtMs - nowMs;
    const waitedMs = nowMs - call.atMs;
    client.rejections++;
    const { delayMs } = vm.returnTimes.computeDelay({
      service: "s",
      kind,
      queue: options.isBooked ? vm.queue.readForReturn() : undefined,
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

  const createVm = (): SimulatedVm => {
    const demand = new FleetDemand();
    const host: QueueHost = {
      get nowMs() {
        return nowMs;
      },
      computeFreeInMs,
      place,
      reject: (call) => reject(vm, call),
    };
    const vm = {
      demand,
      returnTimes: new ReturnTimes({ share: demand, drawUnit }),
      queue: options.hasCallQueue
        ? new PlainQueue(host)
        : new SimpleQueue(host),
    };
    return vm;
  };
  const vms = Array.from({ length: options.vms }, createVm);

  const receive = ({ client }: Arrival) => {
    const clientTimeoutMs = client.deadlineAtMs - nowMs;
    if (clientTimeoutMs <= WORK_MS) return;
    // Clients reach VMs by a hash, which favours some of them.
    const vm = vms[Math.floor(vms.length * (drawUnit() * 0.9 + 0.1) ** 1.1)];
    vm.demand.recordCall(nowMs);
    const kind = vm.returnTimes.classifyArrival(
      { service: "s", route: `${client.route}`, clientTimeoutMs },
      nowMs,
    );
    vm.queue.add({
      client,
      atMs: nowMs,
      kind: options.isBooked ? kind : "new",
    });
  };

  for (; nowMs < END_MS; nowMs++) {
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
    for (const arrival of arrived) receive(arrival);
    // Whichever VM is first gets the slots that are free.
    const first = Math.floor(drawUnit() * vms.length);
    for (let i = 0; i < vms.length; i++) {
      vms[(first + i) % vms.length].queue.dispatch();
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
