/**
 * Compares what VMs that are cut off from all targets can do with their calls, in fleets of several
 * sizes, and measures what a call costs that is handed over.
 *
 * @module
 */
import { Random, RuntimeClock } from "heatherarch-core";
import { encodeHandoverResponse } from "heatherarch-forward";
import {
  HandoverClient,
  type HandoverPeer,
  HandoverServer,
  PeerSelection,
} from "heatherarch-handover";
import { type LinkIdentity, Membership, MeshNode } from "heatherarch-mesh";
import { findFreePorts } from "heatherarch-standins";

/** What a cut VM does with a call. */
export const CUT_WAYS = ["handOver", "notReady", "reject"] as const;
/** Name of a way. */
export type CutWay = typeof CUT_WAYS[number];

/** Which VMs are cut off: a share of each zone, or the whole first zone. */
export type CutPattern = "third" | "twoThirds" | "zone";

/** Result of one way in one fleet. */
export interface HandoverRow {
  readonly vms: number;
  readonly pattern: CutPattern;
  readonly way: CutWay;
  /** Share of the first attempts at all VMs that are served. */
  readonly servedShare: number;
  /** Offers for each call that is handed over. */
  readonly offersPerCall: number;
  /** Calls at the busiest VM that reaches targets, relative to the mean of these VMs. */
  readonly busiest: number;
}

/** Cost of a call that is handed over, at both VMs together. */
export interface HandoverCost {
  readonly bytesSent: number;
  readonly bytesReceived: number;
  readonly cpuMicros: number;
}

const FLEET_SIZES = [9, 88, 300, 870];
const PATTERNS: readonly CutPattern[] = ["third", "twoThirds", "zone"];
const ZONES = 3;
/** Calls that one VM receives per second. */
const CALLS_PER_VM = 2.7;
/** Time of the cut that is simulated, once VMs know that their paths are lost. */
const CUT_SECONDS = 10;
/** The platform takes a VM out after two checks, one a second, that found it not ready. */
const NOTICE_SECONDS = 2;
/** Offers of one call, as in the forwarding path. */
const MAX_OFFERS = 6;
const COST_CALLS = 2000;
const REQUEST_BYTES = 800;
const RESPONSE_BYTES = 800;

/** Runs the simulation for all fleets, patterns and ways. */
export function runHandoverBench(
  { seed, print }: { seed: number; print: (line: string) => void },
): HandoverRow[] {
  const rows: HandoverRow[] = [];
  print("VMs cut way: served first attempts, offers a call, busiest VM");
  for (const vms of FLEET_SIZES) {
    for (const pattern of PATTERNS) {
      for (const way of CUT_WAYS) {
        const row = simulateCut(vms, pattern, way, new Random(seed));
        rows.push(row);
        print(
          `${vms} ${pattern} ${way}: ${row.servedShare.toFixed(3)}, ` +
            `${row.offersPerCall.toFixed(2)}, ${row.busiest.toFixed(2)}`,
        );
      }
    }
  }
  return rows;
}

interface SimulatedVm extends HandoverPeer {
  readonly isCut: boolean;
  readonly selection: PeerSelection;
  calls: number;
}

function buildVms(
  count: number,
  pattern: CutPattern,
  random: Random,
): SimulatedVm[] {
  return Array.from({ length: count }, (_, i) => {
    const zone = i % ZONES;
    const rankInZone = Math.floor(i / ZONES) % 3;
    const isCut = pattern === "zone"
      ? zone === 0
      : rankInZone < (pattern === "third" ? 1 : 2);
    const availabilityZone = `zone-${zone}`;
    return {
      id: `vm-${i}`,
      availabilityZone,
      mesh: "",
      isCut,
      selection: new PeerSelection({
        availabilityZone,
        drawUnit: () => random.drawUnit(),
      }),
      calls: 0,
    };
  });
}

function simulateCut(
  count: number,
  pattern: CutPattern,
  way: CutWay,
  random: Random,
): HandoverRow {
  const vms = buildVms(count, pattern, random);
  const sound = vms.filter(({ isCut }) => !isCut);
  const total = Math.round(count * CALLS_PER_VM * CUT_SECONDS);
  let served = 0;
  let offers = 0;
  let handedOver = 0;
  for (let i = 0; i < total; i++) {
    const nowMs = i / total * CUT_SECONDS * 1000;
    const vm = pickEntryVm(vms, way, nowMs, random);
    if (!vm.isCut) {
      vm.calls++;
      served++;
      continue;
    }
    if (way !== "handOver") continue;
    handedOver++;
    const result = offerCall(vm, vms, nowMs);
    offers += result.offers;
    if (result.peer === undefined) continue;
    result.peer.calls++;
    served++;
  }
  const mean = sound.reduce((sum, { calls }) => sum + calls, 0) / sound.length;
  return {
    vms: count,
    pattern,
    way,
    servedShare: served / total,
    offersPerCall: handedOver === 0 ? 0 : offers / handedOver,
    busiest: Math.max(...sound.map(({ calls }) => calls)) / mean,
  };
}

/** Picks the VM that the platform's balancer connects a client to. */
function pickEntryVm(
  vms: readonly SimulatedVm[],
  way: CutWay,
  nowMs: number,
  random: Random,
): SimulatedVm {
  const drawn = random.drawItem(vms);
  if (way !== "notReady" || nowMs < NOTICE_SECONDS * 1000) return drawn;
  const inZone = vms.filter(({ availabilityZone }) =>
    availabilityZone === drawn.availabilityZone
  );
  const ready = inZone.filter(({ isCut }) => !isCut);
  // With fewer than half of a zone's VMs ready, the platform uses all of them.
  const used = ready.length === 0
    ? vms.filter(({ isCut }) => !isCut)
    : ready.length * 2 < inZone.length
    ? inZone
    : ready;
  return random.drawItem(used);
}

function offerCall(
  vm: SimulatedVm,
  vms: readonly SimulatedVm[],
  nowMs: number,
): { offers: number; peer: SimulatedVm | undefined } {
  const peers = vms.filter((peer) => peer !== vm);
  const asked = new Set<string>();
  while (asked.size < MAX_OFFERS) {
    const peer = vm.selection.pickPeer(peers, asked, nowMs) as
      | SimulatedVm
      | undefined;
    if (peer === undefined) break;
    asked.add(peer.id);
    if (!peer.isCut) {
      vm.selection.recordAccepted(peer.id, nowMs);
      return { offers: asked.size, peer };
    }
    vm.selection.recordFailure(peer.id, "noPath", nowMs);
  }
  return { offers: asked.size, peer: undefined };
}

/** Measures calls that are handed over on a kept connection on loopback. */
export async function measureHandoverCost(
  print: (line: string) => void,
): Promise<HandoverCost> {
  const clock = new RuntimeClock();
  const [port] = await findFreePorts(1);
  const mesh = `127.0.0.1:${port}`;
  const self = buildIdentity("peer", mesh);
  const response = Buffer.alloc(RESPONSE_BYTES);
  const server = new HandoverServer({
    decideOffer: () => Promise.resolve(undefined),
    getMaxBodyBytes: () => REQUEST_BYTES,
    serve: (_head, _body, responder) => {
      responder.sendHead(encodeHandoverResponse({ status: 200, headers: [] }));
      responder.sendBytes(response);
      responder.end();
      return Promise.resolve();
    },
  });
  const node = new MeshNode({
    self,
    listen: mesh,
    sharedKey: "bench-on-loopback",
    maxFrameBytes: REQUEST_BYTES * 100,
    heartbeatMs: 1000,
    silenceMs: 5000,
    clock,
    membership: new Membership({ self, silenceMs: 5000 }),
    translate: (address) => address,
    buildHeartbeat: () => undefined,
    onLinkClosed: () => undefined,
    acceptHandover: (link) => server.accept(link),
  });
  await node.start();
  const client = new HandoverClient({
    self: buildIdentity("cut", ""),
    sharedKey: "bench-on-loopback",
    clock,
    listPeers: () => [{ id: "peer", availabilityZone: "zone-a", mesh }],
    drawUnit: () => 0,
  });
  await handOverCall(client);
  const before = node.readTraffic();
  const cpuBefore = process.cpuUsage();
  for (let i = 0; i < COST_CALLS; i++) await handOverCall(client);
  const { user, system } = process.cpuUsage(cpuBefore);
  const after = node.readTraffic();
  client.close();
  node.stop();
  const cost = {
    bytesSent: (after.bytesReceived - before.bytesReceived) / COST_CALLS,
    bytesReceived: (after.bytesSent - before.bytesSent) / COST_CALLS,
    cpuMicros: (user + system) / COST_CALLS,
  };
  print(
    `a call: ${cost.bytesSent.toFixed(0)} bytes to the peer, ` +
      `${cost.bytesReceived.toFixed(0)} back, ` +
      `${cost.cpuMicros.toFixed(0)} us of both VMs`,
  );
  return cost;
}

function buildIdentity(id: string, mesh: string): LinkIdentity {
  return { id, incarnation: `${id}-1`, availabilityZone: "zone-a", mesh };
}

async function handOverCall(client: HandoverClient): Promise<void> {
  const offer = { service: "s", configVersion: 1 };
  const connection = await client.offerCall(offer, new Set());
  if (connection === undefined || connection === "declined") {
    throw new Error("the peer declined a call");
  }
  const head = {
    id: "9c41d07be2a35f68",
    method: "POST",
    path: "/lohu930/2f",
    host: "ficu95.example",
    headers: ["x-own", "value"],
    elapsedMs: 1,
    clientTimeoutMs: 4000,
    runs: 0,
    isUsageRecorded: false,
  };
  await new Promise<void>((resolve, reject) =>
    connection.send(head, Buffer.alloc(REQUEST_BYTES), {
      onResponse: () => undefined,
      onBytes: () => undefined,
      onEnd: resolve,
      onFailure: () => reject(new Error("the peer failed")),
      onLost: (reason) => reject(new Error(reason)),
    })
  );
}
