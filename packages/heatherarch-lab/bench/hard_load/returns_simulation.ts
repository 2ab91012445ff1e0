/**
 * Simulates bursts of calls, and clients that return once after a rejection, to compare the delays
 * that rejections state.
 *
 * @module
 */
import { Random } from "heatherarch-core";
import { computeRetryAfterMs } from "heatherarch-forward";
import { type DueRow, ReturnBook, ReturnDetector } from "heatherarch-returns";
import { EventQueue } from "./event_queue.ts";
import { computeAgeMs, type FleetSize } from "./fleet_size.ts";
import type { Gate, Rejection, SimulatedCall } from "./queue_model.ts";
import { QueueSimulation } from "./queue_simulation.ts";
import {
  type Client,
  CLIENT_KINDS,
  type ClientKind,
  type ClientSummary,
  LONGEST_TIMEOUT_MS,
  summarizeClients,
} from "./returning_clients.ts";
import { computeRowTraffic } from "./row_traffic.ts";
import { ToldReports } from "./told_reports.ts";
import { VmDemand } from "./vm_demand.ts";

/** Ways to compute the delay of a rejection. */
export const RETURN_WAYS = [
  /** Today: by the time that the call waited. */
  "waited",
  /** A time that is drawn from all for which the client waits. */
  "spread",
  /** The first time at which the VM has room that is not booked. */
  "booked",
  /** One book for the fleet, which knows its room, and returns that are known as such. */
  "oracle",
] as const;

/** Name of a way to compute the delay. */
export type ReturnWay = typeof RETURN_WAYS[number];

/** Options of {@linkcode simulateReturns}. */
export interface ReturnsSimulationOptions {
  readonly seed: number;
  readonly size: FleetSize;
  readonly way: ReturnWay;
  readonly gate?: Gate;
  readonly seconds?: number;
  /** Share of the clients that return at once, again and again. */
  readonly impatientShare?: number;
}

/** Result of {@linkcode simulateReturns}; shares are 0 to 1. */
export interface ReturnsResult extends ClientSummary {
  /** Share of the room that was used. */
  readonly used: number;
  readonly vain: number;
  readonly bytesPerSecond: number;
  /** Processor time of a booking, microseconds. */
  readonly decisionMicros: number;
}

interface Return extends SimulatedCall {
  readonly client: Client;
}

const WORK_MS = 40;
const SLOTS_PER_TARGET = 4;
/** Demand between and in bursts, as a share of the room. */
const USUAL_DEMAND = 0.55;
const BURST_DEMAND = 3;
const BURST_MS = 1500;
const BURST_INTERVAL_MS = 8000;
const FIRST_BURST_MS = 1000;
/** Clients wait for at most this share of their remaining time. */
const WAIT_SHARE = 1 / 3;
/** Clients that don't wait return after this time, and this often at most. */
const IMPATIENT_DELAY_MS = 20;
const MAX_IMPATIENT_RETURNS = 5;
/** Interval at which VMs tell the returns that are due, milliseconds. */
const DUE_INTERVAL_MS = 250;
/** Encoded size of a row: service of 12 characters and a number. */
const ROW_BYTES = 17;
const GROUP = "plain";
const DEFAULTS = {
  seconds: 16,
  impatientShare: 0.2,
  gate: "turns" as Gate,
};

/** Runs one simulation. */
export function simulateReturns(
  options: ReturnsSimulationOptions,
): ReturnsResult {
  return new ReturnsSimulation(options).run();
}

class ReturnsSimulation {
  readonly #options: Required<ReturnsSimulationOptions>;
  readonly #random: Random;
  readonly #events = new EventQueue();
  readonly #queues: QueueSimulation<Return>;
  readonly #demand: VmDemand;
  readonly #books: readonly ReturnBook[];
  readonly #detectors: readonly ReturnDetector[];
  /** Numbers of returns that VMs told as due. */
  readonly #told: ToldReports<number>;
  readonly #clients: Client[] = [];
  readonly #targets: number;
  #servedMs = 0;
  #vainMs = 0;
  #toldRows = 0;
  #receivedRows = 0;
  #bookings = 0;
  #bookingMs = 0;

  constructor(options: ReturnsSimulationOptions) {
    this.#options = { ...DEFAULTS, ...options };
    const { seed, size } = this.#options;
    this.#random = new Random(seed);
    this.#demand = new VmDemand(size.vms);
    this.#targets = Math.round(
      size.callsPerSecond * WORK_MS / 1000 / SLOTS_PER_TARGET,
    );
    this.#books = this.#createBooks();
    this.#detectors = this.#books.map(() => new ReturnDetector());
    this.#told = new ToldReports(this.#books.length);
    this.#queues = this.#createQueues();
  }

  #createBooks(): ReturnBook[] {
    const { size, way } = this.#options;
    const isOracle = way === "oracle";
    return Array.from(
      { length: isOracle ? 1 : size.vms },
      (_, vm) =>
        new ReturnBook({
          computeShare: (nowMs) =>
            isOracle ? 1 : this.#demand.computeShare(vm, nowMs),
          drawUnit: () => this.#random.drawUnit(),
        }),
    );
  }

  #createQueues(): QueueSimulation<Return> {
    const { size, gate } = this.#options;
    return new QueueSimulation({
      events: this.#events,
      random: this.#random,
      size,
      targets: this.#targets,
      slotsPerTarget: SLOTS_PER_TARGET,
      workMs: WORK_MS,
      gate,
      handler: {
        computeRank: () => 0,
        handleDispatch: () => {},
        handleResponse: (call, isTooLate) =>
          this.#recordResponse(call, isTooLate),
        handleRejection: (call, rejection) =>
          this.#handleRejection(call, rejection),
      },
    });
  }

  run(): ReturnsResult {
    for (const kind of CLIENT_KINDS) this.#scheduleArrival(kind);
    if (this.#options.way === "booked") this.#scheduleExchanges();
    this.#events.runUntil(this.#endMs + LONGEST_TIMEOUT_MS);
    return this.#buildResult();
  }

  get #endMs(): number {
    return this.#options.seconds * 1000;
  }

  /** Room of all targets, calls per millisecond. */
  get #roomPerMs(): number {
    return this.#targets * SLOTS_PER_TARGET / WORK_MS;
  }

  #scheduleArrival(kind: ClientKind): void {
    const perMs = BURST_DEMAND * this.#roomPerMs / CLIENT_KINDS.length;
    this.#events.delay(this.#random.drawExponential(1 / perMs), () => {
      const { nowMs } = this.#events;
      if (nowMs >= this.#endMs) return;
      const isDrawn = isBurst(nowMs) ||
        this.#random.drawUnit() < USUAL_DEMAND / BURST_DEMAND;
      if (isDrawn) this.#startClient(kind);
      this.#scheduleArrival(kind);
    });
  }

  #startClient(kind: ClientKind): void {
    const client = {
      kind,
      arrivedAtMs: this.#events.nowMs,
      isImpatient: this.#random.drawUnit() < this.#options.impatientShare,
      rejections: 0,
      isServed: false,
      isInTime: false,
    };
    this.#clients.push(client);
    this.#submit(client);
  }

  /** Submits a call of a client to a VM; the load balancer picks it by hash. */
  #submit(client: Client): void {
    const { nowMs } = this.#events;
    const { kind, arrivedAtMs } = client;
    const vm = this.#random.drawInteger(0, this.#options.size.vms - 1);
    const timeoutAtMs = arrivedAtMs + kind.timeoutMs;
    this.#demand.recordCall(vm, nowMs);
    const call: Return = {
      vm,
      account: "",
      arrivedAtMs: nowMs,
      aimMs: kind.aimMs,
      timeoutAtMs,
      client,
    };
    const remainingMs = timeoutAtMs - nowMs;
    this.#queues.submit(call, this.#isClaimed(vm, client, remainingMs));
  }

  #isClaimed(vm: number, client: Client, remainingMs: number): boolean {
    const { way } = this.#options;
    if (way === "oracle") return client.rejections > 0 && !client.isImpatient;
    if (way !== "booked") return false;
    const { nowMs } = this.#events;
    const route = client.kind.name;
    return this.#detectors[vm].isReturn(route, remainingMs, nowMs) &&
      this.#books[vm].claim(GROUP, undefined, nowMs);
  }

  #handleRejection(call: Return, rejection: Rejection): void {
    const { client, timeoutAtMs } = call;
    client.rejections++;
    const remainingMs = timeoutAtMs - this.#events.nowMs;
    if (client.isImpatient) {
      const mayReturn = client.rejections <= MAX_IMPATIENT_RETURNS &&
        remainingMs > IMPATIENT_DELAY_MS + WORK_MS;
      if (!mayReturn) return;
      this.#events.delay(IMPATIENT_DELAY_MS, () => this.#submit(client));
      return;
    }
    if (client.rejections > 1) return;
    const longestMs = remainingMs * WAIT_SHARE;
    const delayMs = this.#computeDelayMs(call, longestMs, rejection);
    this.#events.delay(
      Math.min(delayMs, longestMs),
      () => this.#submit(client),
    );
  }

  #computeDelayMs(
    call: Return,
    longestMs: number,
    { callsPerMs, excessMs }: Rejection,
  ): number {
    const { nowMs } = this.#events;
    const drawUnit = () => this.#random.drawUnit();
    switch (this.#options.way) {
      case "waited":
        return computeRetryAfterMs(
          nowMs - call.arrivedAtMs,
          excessMs,
          drawUnit,
        );
      case "spread":
        return longestMs * drawUnit();
      case "booked":
        return this.#book(this.#books[call.vm], longestMs, {
          // Without a rate, the VM's share of all slots stands for it.
          roomPerMs: (callsPerMs ??
            this.#demand.computeShare(call.vm, nowMs) * this.#roomPerMs) *
            WORK_MS,
        });
      case "oracle":
        return this.#book(this.#books[0], longestMs, {
          roomPerMs: this.#roomPerMs * WORK_MS,
          bookableShare: isBurst(nowMs) ? 0.5 : 1 - USUAL_DEMAND,
        });
    }
  }

  #book(
    book: ReturnBook,
    latestMs: number,
    room: { roomPerMs: number; bookableShare?: number },
  ): number {
    const startedAt = performance.now();
    const delayMs = book.book(
      GROUP,
      { workMs: WORK_MS, earliestMs: 0, latestMs, ...room },
      this.#events.nowMs,
    );
    this.#bookingMs += performance.now() - startedAt;
    this.#bookings++;
    return delayMs;
  }

  #recordResponse({ client }: Return, isTooLate: boolean): void {
    this.#servedMs += WORK_MS;
    if (isTooLate) {
      this.#vainMs += WORK_MS;
      return;
    }
    const tookMs = this.#events.nowMs - client.arrivedAtMs;
    client.isServed = true;
    client.isInTime = tookMs <= client.kind.aimMs;
  }

  #scheduleExchanges(): void {
    this.#books.forEach((_, vm) => {
      const phaseMs = DUE_INTERVAL_MS * this.#random.drawUnit();
      this.#events.delay(phaseMs, () => this.#exchangeDue(vm));
    });
  }

  #exchangeDue(vm: number): void {
    const { nowMs } = this.#events;
    const { size } = this.#options;
    const due = this.#books[vm].listDue(nowMs);
    this.#toldRows += due.length;
    this.#told.record(vm, nowMs, due[0]?.[1] ?? 0);
    const returns = this.#sumTold(vm, nowMs - computeAgeMs(size, vm, nowMs));
    const rows: DueRow[] = returns > 0 ? [[GROUP, returns]] : [];
    this.#receivedRows += rows.length;
    this.#books[vm].setPeerDue("others", rows, nowMs, "gathered");
    this.#events.delay(DUE_INTERVAL_MS, () => this.#exchangeDue(vm));
  }

  /** Sums what the other VMs had told by a time. */
  #sumTold(vm: number, atMs: number): number {
    return this.#told.takeOthers(vm, atMs)
      .reduce((sum, returns) => sum + returns, 0);
  }

  #computeBytesPerSecond(): number {
    const { size, seconds } = this.#options;
    const rows = computeRowTraffic(size, {
      ownRows: this.#toldRows / size.vms,
      hubRows: this.#receivedRows / size.vms,
    });
    return rows * ROW_BYTES / (seconds + LONGEST_TIMEOUT_MS / 1000);
  }

  #buildResult(): ReturnsResult {
    const roomMs = this.#roomPerMs * WORK_MS * this.#endMs;
    return {
      ...summarizeClients(this.#clients),
      used: this.#servedMs / roomMs,
      vain: this.#vainMs / Math.max(1, this.#servedMs),
      bytesPerSecond: this.#computeBytesPerSecond(),
      decisionMicros: this.#bookingMs * 1000 / Math.max(1, this.#bookings),
    };
  }
}

function isBurst(nowMs: number): boolean {
  return nowMs >= FIRST_BURST_MS &&
    (nowMs - FIRST_BURST_MS) % BURST_INTERVAL_MS < BURST_MS;
}
