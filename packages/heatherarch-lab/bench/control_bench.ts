/**
 * Slopes of the control work: bytes and processor time of one real daemon by the number of
 * its peers, the runners of its zone and the changes of configuration; cost of a step of each
 * decision machine at the size to design for.
 *
 * @module
 */
import { createServer, type Server } from "node:http";
import { createId, RuntimeClock, sleep } from "heatherarch-core";
import {
  type Heartbeat,
  type Link,
  Membership,
  MeshNode,
  type ReportRow,
} from "heatherarch-mesh";
import { parseFleet, type Target } from "heatherarch-settings";
import { Cluster } from "../cluster.ts";
import {
  buildDeployment,
  type DeployedVm,
  type Deployment,
} from "../deployment.ts";
import { findFreePorts } from "heatherarch-standins";
import { type MachineCost, measureMachines } from "./machine_costs.ts";
import { readUsage } from "./process_usage.ts";
import { fitLine, roundTo } from "./statistics.ts";

/** One size at which the daemon was measured. */
export interface ControlPoint {
  readonly peers: number;
  readonly runners: number;
  readonly changesPerSecond: number;
  readonly cpuShare: number;
  readonly bytesPerSecond: number;
  readonly residentMb: number;
}

/** Report of the benchmark. */
export interface ControlReport {
  readonly points: readonly ControlPoint[];
  readonly perPeer: { cpuPercent: number; bytesPerSecond: number };
  readonly perRunner: { cpuPercent: number; bytesPerSecond: number };
  readonly perChange: { cpuMs: number; bytes: number };
  readonly machines: readonly MachineCost[];
}

const SIZES = [
  { peers: 0, runners: 0, changesPerSecond: 0 },
  { peers: 10, runners: 0, changesPerSecond: 0 },
  { peers: 25, runners: 0, changesPerSecond: 0 },
  { peers: 50, runners: 0, changesPerSecond: 0 },
  { peers: 50, runners: 55, changesPerSecond: 0 },
  { peers: 50, runners: 110, changesPerSecond: 0 },
  { peers: 50, runners: 218, changesPerSecond: 0 },
  { peers: 50, runners: 218, changesPerSecond: 2 },
] as const;
const MEASUREMENT_MS = 12_000;
const WARMUP_MS = 3000;
const HEARTBEAT_MS = 500;
const HEARTBEAT_PER_LINK_MS = 80;
const ZONE = "zone-a";

/** Runs the benchmark. */
export async function runControlBench(
  print: (line: string) => void,
): Promise<ControlReport> {
  const points: ControlPoint[] = [];
  for (const size of SIZES) {
    const point = await measureSize(size);
    print(JSON.stringify(point));
    points.push(point);
  }
  const byPeer = points.filter((point) => point.runners === 0);
  const byRunner = points.filter((point) =>
    point.peers === 50 && point.changesPerSecond === 0
  );
  const line = (
    of: readonly ControlPoint[],
    x: (point: ControlPoint) => number,
    y: (point: ControlPoint) => number,
  ) => fitLine(of.map((point) => ({ x: x(point), y: y(point) }))).slope;
  const [quiet, busy] = points.slice(-2);
  const rate = busy.changesPerSecond;
  return {
    points,
    perPeer: {
      cpuPercent: roundTo(
        100 * line(byPeer, (p) => p.peers, (p) => p.cpuShare),
        4,
      ),
      bytesPerSecond: roundTo(
        line(byPeer, (p) => p.peers, (p) => p.bytesPerSecond),
        1,
      ),
    },
    perRunner: {
      cpuPercent: roundTo(
        100 * line(byRunner, (p) => p.runners, (p) => p.cpuShare),
        4,
      ),
      bytesPerSecond: roundTo(
        line(byRunner, (p) => p.runners, (p) => p.bytesPerSecond),
        1,
      ),
    },
    perChange: {
      cpuMs: roundTo(1000 * (busy.cpuShare - quiet.cpuShare) / rate, 2),
      bytes: Math.round((busy.bytesPerSecond - quiet.bytesPerSecond) / rate),
    },
    machines: measureMachines(),
  };
}

async function measureSize(
  size: { peers: number; runners: number; changesPerSecond: number },
): Promise<ControlPoint> {
  const deployment = await buildDeployment({
    name: "control",
    availabilityZones: [ZONE],
    vmsPerZone: 1,
    enginesPerZone: 1,
    servicesPerZone: 1,
    modelService: "reader",
    plainService: "bookings",
    planning: { policy: "none" },
  });
  const runners = await startTargetServers(size.runners);
  const peers: MeshNode[] = [];
  const withRunners = addTargets(deployment, runners);
  const cluster = new Cluster({ deployment: withRunners.deployment });
  try {
    await cluster.startStandins();
    const [vm] = deployment.vms;
    cluster.startVm(vm);
    await cluster.waitHealthy();
    const ports = await findFreePorts(Math.max(1, size.peers));
    for (let i = 0; i < size.peers; i++) {
      peers.push(
        await startPeer({
          vm,
          index: i,
          port: ports[i],
          count: size.peers,
          runners: withRunners.ids,
        }),
      );
    }
    const fleet = withRunners.fleet;
    const first = await cluster.publish({ kind: "publishFleet", fleet }, -1);
    if (first.status !== 200) throw new Error(JSON.stringify(first.body));
    await sleep(WARMUP_MS);
    return await measurePoint(cluster, vm, size);
  } finally {
    for (const peer of peers) peer.stop();
    await cluster.stop();
    for (const server of runners) server.close();
  }
}

async function measurePoint(
  cluster: Cluster,
  vm: DeployedVm,
  size: { peers: number; runners: number; changesPerSecond: number },
): Promise<ControlPoint> {
  const pid = cluster.getPid(vm.id) as number;
  const startMs = performance.now();
  const before = readUsage(pid);
  const trafficBefore = (await cluster.readStatus(vm)).mesh;
  let publishing = Promise.resolve();
  if (size.changesPerSecond > 0) {
    publishing = publishRepeatedly(cluster, size.changesPerSecond);
  }
  await sleep(MEASUREMENT_MS);
  await publishing;
  const after = readUsage(pid);
  const traffic = (await cluster.readStatus(vm)).mesh;
  const seconds = (performance.now() - startMs) / 1000;
  const bytes = traffic.bytesSent + traffic.bytesReceived -
    trafficBefore.bytesSent - trafficBefore.bytesReceived;
  return {
    ...size,
    cpuShare: roundTo((after.cpuSeconds - before.cpuSeconds) / seconds, 4),
    bytesPerSecond: Math.round(bytes / seconds),
    residentMb: Math.round(after.residentBytes / 1024 / 1024),
  };
}

async function publishRepeatedly(
  cluster: Cluster,
  perSecond: number,
): Promise<void> {
  let base = -1;
  const untilMs = performance.now() + MEASUREMENT_MS - 1000;
  while (performance.now() < untilMs) {
    const change = {
      kind: "putProfile",
      profile: { name: "default", deadlineMs: 1000 + base + 10 },
    };
    const answer = await cluster.publish(change, base);
    if (answer.status === 200) base = answer.body.offset ?? base;
    await sleep(1000 / perSecond);
  }
}

/** Small servers that report a load that changes all the time. */
async function startTargetServers(count: number): Promise<Server[]> {
  const servers: Server[] = [];
  for (let i = 0; i < count; i++) {
    let reads = i;
    const server = createServer((_req, res) => {
      reads++;
      res.setHeader("content-type", "application/json");
      res.end(JSON.stringify({
        role: "decode",
        model: "reader-7b",
        version: "1",
        changing: false,
        draining: false,
        running: reads % 60,
        waiting: reads % 3,
        pending_prefill_tokens: (reads * 37) % 4000,
        kv_used: 0.5,
        fencing: 0,
      }));
    });
    server.keepAliveTimeout = 60_000;
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    servers.push(server);
  }
  return servers;
}

function addTargets(deployment: Deployment, servers: readonly Server[]) {
  const extra: Partial<Target>[] = servers.map((server, index) => ({
    id: `runner${index}`,
    service: "reader",
    availabilityZone: ZONE,
    address: `127.0.0.1:${(server.address() as { port: number }).port}`,
  }));
  const targets = servers.length === 0 ? deployment.fleet.targets : extra;
  const fleet = parseFleet({ ...deployment.fleet, targets }).unwrap();
  const ids = extra.map((target) => target.id as string);
  return { deployment, fleet, ids };
}

/** A peer of the daemon that behaves as one: heartbeats, and rows of what it watches. */
async function startPeer(
  options: {
    vm: DeployedVm;
    index: number;
    port: number;
    count: number;
    runners: readonly string[];
  },
): Promise<MeshNode> {
  const { vm, index, port, count, runners } = options;
  const id = `${ZONE}-peer${index}`;
  const mesh = `127.0.0.1:${port}`;
  const self = {
    id,
    incarnation: createId("run"),
    availabilityZone: ZONE,
    mesh,
  };
  const membership = new Membership({ self, silenceMs: 5000 });
  membership.recordListing([{
    id: vm.id,
    availabilityZone: ZONE,
    mesh: vm.mesh,
  }]);
  const watched = runners.filter((_, at) =>
    at % count === index || (at + 7) % count === index
  );
  let beats = 0;
  const buildHeartbeat = (_link: Link): Heartbeat => {
    beats++;
    const reports = watched.map((
      runner,
    ): ReportRow => [
      runner,
      1,
      0,
      (beats + index) % 60,
      beats % 3,
      (beats * 37) % 4000,
    ]);
    return {
      kind: "heartbeat",
      configOffset: -1,
      controlOffset: -1,
      intervalMs: node.intervalMs,
      leaving: false,
      zone: [0, count],
      demand: [1000, 1000],
      ...(reports.length > 0 ? { reports } : {}),
    };
  };
  const node = new MeshNode({
    self,
    listen: mesh,
    sharedKey: "lab",
    maxFrameBytes: 1 << 22,
    heartbeatMs: Math.max(HEARTBEAT_MS, HEARTBEAT_PER_LINK_MS * count),
    silenceMs: 5000,
    clock: new RuntimeClock(),
    membership,
    translate: (address) => address,
    buildHeartbeat,
    onLinkClosed: () => undefined,
  });
  await node.start();
  return node;
}
