/**
 * Compares ways to know which software version began a stream that a client takes up at another VM, in
 * fleets of several sizes: while VMs are killed, VMs are cut off, and a new version comes.
 *
 * @module
 */
import { computeRendezvousWeight, Random } from "heatherarch-core";
import { computeStreamKey, StreamVersions } from "heatherarch-forward";

/** How a VM finds out which version began a stream. */
export const STREAM_WAYS = [
  /** Each VM tells all others the version of each stream that it begins. */
  "tellAll",
  /** VMs tell the hubs of their zone, which tell those of the next zone; small fleets tell all. */
  "tellHubs",
  /** Nobody is told; the VM that takes a stream up asks all others. */
  "askAll",
  /** The version follows from the attempt's id and the versions that a VM lists. */
  "agree",
] as const;
/** Name of a way. */
export type StreamWay = typeof STREAM_WAYS[number];

/** Result of one way in one fleet. */
export interface StreamRow {
  readonly vms: number;
  readonly way: StreamWay;
  /** Streams that clients took up at VMs in touch, and the share of them that went on. */
  readonly resumed: number;
  readonly wentOnShare: number;
  /** Streams that went on at another version, at all VMs. */
  readonly joinedWrongly: number;
  /** Bytes of records that a VM receives per second: mean, and at the busiest VM. */
  readonly meanBytesPerSecond: number;
  readonly mostBytesPerSecond: number;
  /** Messages for one stream that is taken up. */
  readonly asksPerStream: number;
}

const FLEET_SIZES = [9, 88, 870];
/** Availability zones by size of the fleet. */
const ZONES: Readonly<Record<number, number>> = { 9: 3, 88: 3, 870: 17 };
/** Streams that begin at a VM per second: the size to design for. */
const STREAMS_PER_VM = 35.6;
const SECONDS = 20;
/** Share of the streams that break off once they have begun. */
const BROKEN_SHARE = 0.02;
/** Share of the clients that come back in another zone. */
const OTHER_ZONE_SHARE = 0.05;
const HUBS_FROM_VMS = 20;
const HUBS_PER_ZONE = 2;
const KILLED_SHARE = 0.03;
const KILL_AT_S = 10;
const CUT_SHARE = 0.05;
const CUT_S = { from: 5, until: 15 };
const NEW_VERSION_AT_S = 8;
/** Longest time until a VM lists a new version, and until a peer is told of a stream, seconds. */
const MAX_LIST_LAG_S = 1;
const TELL_S = 0.05;
/** Time from the first event of a stream to the client's next attempt, seconds. */
const RETRY_S = { min: 0.02, max: 0.8 };
/** Share of the streams that begin at another version than agreed, which has no place. */
const DEVIATING_SHARE = 0.05;
const KEY_BYTES = 8;
const VERSIONS = ["v1", "v1.1"];
const NEW_VERSION = "v1.2";

/** Cost of one record at the VM that begins the stream, and at one that is told. */
export interface StreamRecordCost {
  readonly beginMicros: number;
  readonly tellMicros: number;
}

const COST_RECORDS = 100_000;

/** Measures the processor time of records. */
export function measureRecordCost(
  print: (line: string) => void,
): StreamRecordCost {
  const streams = new StreamVersions();
  const told = new StreamVersions();
  const startedAtMs = performance.now();
  for (let i = 0; i < COST_RECORDS; i++) {
    const identity = {
      attemptId: `${i}`,
      host: "ficu95.example",
      service: "s",
    };
    const key = computeStreamKey(identity);
    streams.recordStream({ key, softwareVersion: "v1" });
  }
  const begunAtMs = performance.now();
  for (let i = 0; i < COST_RECORDS; i++) {
    told.recordStream({ key: `${i}`, softwareVersion: "v1" }, "zone");
  }
  const micros = (ms: number): number => ms * 1000 / COST_RECORDS;
  const cost = {
    beginMicros: micros(begunAtMs - startedAtMs),
    tellMicros: micros(performance.now() - begunAtMs),
  };
  print(
    `a record: ${cost.beginMicros.toFixed(2)} us where the stream begins, ` +
      `${cost.tellMicros.toFixed(2)} us where it is told`,
  );
  return cost;
}

interface SimulatedVm {
  readonly id: string;
  readonly zone: number;
  readonly isHub: boolean;
  readonly isKilled: boolean;
  readonly isCut: boolean;
  readonly listLagS: number;
}

interface SimulatedStream {
  readonly id: string;
  readonly vm: SimulatedVm;
  readonly atS: number;
  readonly version: string;
}

/** Runs the simulation for all fleets and ways. */
export function runStreamBench(
  { seed, print }: { seed: number; print: (line: string) => void },
): StreamRow[] {
  const rows: StreamRow[] = [];
  print(
    "VMs way: share that went on at VMs in touch, joined wrongly, " +
      "bytes a second received (mean, most), asks a stream",
  );
  for (const vms of FLEET_SIZES) {
    for (const way of STREAM_WAYS) {
      const row = simulateFleet(vms, way, new Random(seed));
      rows.push(row);
      print(
        `${vms} ${way}: ${row.wentOnShare.toFixed(3)} of ${row.resumed}, ` +
          `${row.joinedWrongly}, ${row.meanBytesPerSecond.toFixed(0)}, ` +
          `${row.mostBytesPerSecond.toFixed(0)}, ` +
          row.asksPerStream.toFixed(1),
      );
    }
  }
  return rows;
}

function simulateFleet(
  count: number,
  way: StreamWay,
  random: Random,
): StreamRow {
  const vms = buildVms(count, random);
  const began = Math.round(count * STREAMS_PER_VM * SECONDS);
  let resumed = 0;
  let wentOn = 0;
  let joinedWrongly = 0;
  let asks = 0;
  let attempts = 0;
  for (let i = 0; i < began; i++) {
    const stream = beginStream(vms, way, `${i}`, random);
    const retryS = RETRY_S.min +
      random.drawUnit() * (RETRY_S.max - RETRY_S.min);
    const atS = stream.atS + retryS;
    const isBroken = random.drawUnit() < BROKEN_SHARE ||
      hasEnded(stream.vm, atS);
    if (!isBroken || hasEnded(stream.vm, stream.atS)) continue;
    const vm = pickNextVm(vms, stream, atS, random);
    const found = findVersion({ way, stream, vm, vms, atS });
    attempts++;
    asks += found.asks;
    if (found.version !== undefined && found.version !== stream.version) {
      joinedWrongly++;
    }
    if (isCutOff(vm, atS)) continue;
    resumed++;
    if (found.version === stream.version) wentOn++;
  }
  const bytes = computeBytes(vms, way);
  return {
    vms: count,
    way,
    resumed,
    wentOnShare: wentOn / Math.max(1, resumed),
    joinedWrongly,
    ...bytes,
    asksPerStream: asks / Math.max(1, attempts),
  };
}

function buildVms(count: number, random: Random): SimulatedVm[] {
  const zones = ZONES[count];
  return Array.from({ length: count }, (_, i) => ({
    id: `vm-${i}`,
    zone: i % zones,
    isHub: count >= HUBS_FROM_VMS && Math.floor(i / zones) < HUBS_PER_ZONE,
    isKilled: random.drawUnit() < KILLED_SHARE,
    isCut: random.drawUnit() < CUT_SHARE,
    listLagS: random.drawUnit() * MAX_LIST_LAG_S,
  }));
}

function beginStream(
  vms: readonly SimulatedVm[],
  way: StreamWay,
  id: string,
  random: Random,
): SimulatedStream {
  const vm = random.drawItem(vms);
  const atS = random.drawUnit() * SECONDS;
  const listed = listVersions(vm, atS);
  const isAsAgreed = way === "agree" && random.drawUnit() >= DEVIATING_SHARE;
  const version = isAsAgreed ? pickAgreed(id, listed) : random.drawItem(listed);
  return { id, vm, atS, version };
}

function listVersions(vm: SimulatedVm, atS: number): readonly string[] {
  const sinceS = NEW_VERSION_AT_S + vm.listLagS;
  const isListed = atS >= sinceS && !(vm.isCut && atS < CUT_S.until);
  return isListed ? [...VERSIONS, NEW_VERSION] : VERSIONS;
}

function pickAgreed(id: string, versions: readonly string[]): string {
  const weigh = (version: string): number =>
    computeRendezvousWeight(id, version);
  return versions.reduce((a, b) => weigh(b) > weigh(a) ? b : a);
}

function pickNextVm(
  vms: readonly SimulatedVm[],
  { vm }: SimulatedStream,
  atS: number,
  random: Random,
): SimulatedVm {
  const staysInZone = random.drawUnit() >= OTHER_ZONE_SHARE;
  const others = vms.filter((other) => other !== vm && !hasEnded(other, atS));
  const preferred = others.filter(({ zone }) =>
    (zone === vm.zone) === staysInZone
  );
  return random.drawItem(preferred.length > 0 ? preferred : others);
}

interface Lookup {
  readonly way: StreamWay;
  readonly stream: SimulatedStream;
  readonly vm: SimulatedVm;
  readonly vms: readonly SimulatedVm[];
  readonly atS: number;
}

/** Returns the version at which a VM continues a stream; undefined if it refuses it. */
function findVersion(
  { way, stream, vm, vms, atS }: Lookup,
): { version: string | undefined; asks: number } {
  if (way === "agree") {
    return { version: pickAgreed(stream.id, listVersions(vm, atS)), asks: 0 };
  }
  const isTold = !isCutOff(stream.vm, stream.atS) &&
    !isCutOff(vm, atS) && atS - stream.atS >= TELL_S;
  const isBeginnerInTouch = !hasEnded(stream.vm, atS) &&
    !isCutOff(stream.vm, atS) && !isCutOff(vm, atS);
  const hasHubs = vms.length >= HUBS_FROM_VMS;
  if (way === "tellAll" || (way === "tellHubs" && !hasHubs)) {
    const isKnown = isTold || isBeginnerInTouch;
    return {
      version: isKnown ? stream.version : undefined,
      asks: isTold ? 0 : vms.length - 1,
    };
  }
  if (way === "tellHubs") {
    const hubs = vms.filter((hub) =>
      hub.isHub && hub.zone === stream.vm.zone && !hasEnded(hub, atS) &&
      !isCutOff(hub, stream.atS) && !isCutOff(hub, atS)
    );
    const isKnown = isTold && hubs.length > 0;
    const isZoneOfBeginner = vm.zone === stream.vm.zone;
    return {
      version: isKnown ? stream.version : undefined,
      asks: isZoneOfBeginner
        ? HUBS_PER_ZONE
        : HUBS_PER_ZONE * ZONES[vms.length],
    };
  }
  return {
    version: isBeginnerInTouch ? stream.version : undefined,
    asks: vms.length - 1,
  };
}

function hasEnded(vm: SimulatedVm, atS: number): boolean {
  return vm.isKilled && atS >= KILL_AT_S;
}

function isCutOff(vm: SimulatedVm, atS: number): boolean {
  return vm.isCut && atS >= CUT_S.from && atS < CUT_S.until;
}

function computeBytes(
  vms: readonly SimulatedVm[],
  way: StreamWay,
): Pick<StreamRow, "meanBytesPerSecond" | "mostBytesPerSecond"> {
  const all = vms.length * STREAMS_PER_VM * KEY_BYTES;
  if (way === "askAll" || way === "agree") {
    return { meanBytesPerSecond: 0, mostBytesPerSecond: 0 };
  }
  const hubs = vms.filter(({ isHub }) => isHub).length;
  if (way === "tellAll" || hubs === 0) {
    return { meanBytesPerSecond: all, mostBytesPerSecond: all };
  }
  // A hub is told the streams of its zone, and those of one other zone.
  const zones = ZONES[vms.length];
  const byHub = all / zones * 2;
  return {
    meanBytesPerSecond: byHub * hubs / vms.length,
    mostBytesPerSecond: byHub,
  };
}
