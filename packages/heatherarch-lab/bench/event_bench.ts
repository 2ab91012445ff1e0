/**
 * Measures the relay of a stream that can be resumed, whose events are split: bytes per second for events
 * of several sizes that arrive in parts of several sizes.
 *
 * @module
 */
import {
  type BodyListener,
  type ClientResponse,
  StreamRelay,
  type TargetExchange,
} from "heatherarch-forward";
import { roundTo } from "./statistics.ts";

/** Result for one size of events and of parts. */
export interface EventReport {
  readonly eventBytes: number;
  readonly partBytes: number;
  readonly megabytesPerSecond: number;
  readonly eventsPerSecond: number;
}

const EVENT_BYTES = [100, 10_000, 1_000_000];
/** A segment of a slow network, and what one read of a socket returns at most. */
const PART_BYTES = [1460, 65_536];
const STREAM_BYTES = 10_000_000;
const MIN_DURATION_MS = 1000;
const MEGABYTE = 1_000_000;

/** Measures all combinations of sizes. */
export async function runEventBench(): Promise<EventReport[]> {
  const reports: EventReport[] = [];
  for (const eventBytes of EVENT_BYTES) {
    for (const partBytes of PART_BYTES) {
      reports.push(await measureRelay(eventBytes, partBytes));
    }
  }
  return reports;
}

async function measureRelay(
  eventBytes: number,
  partBytes: number,
): Promise<EventReport> {
  const parts = buildParts(eventBytes, partBytes);
  await relayStream(parts);
  const startedAtMs = performance.now();
  let bytes = 0;
  while (performance.now() - startedAtMs < MIN_DURATION_MS) {
    bytes += await relayStream(parts);
  }
  const seconds = (performance.now() - startedAtMs) / 1000;
  return {
    eventBytes,
    partBytes,
    megabytesPerSecond: roundTo(bytes / MEGABYTE / seconds, 1),
    eventsPerSecond: Math.round(bytes / eventBytes / seconds),
  };
}

function buildParts(eventBytes: number, partBytes: number): Buffer[] {
  const events = Array.from({ length: STREAM_BYTES / eventBytes }, (_, i) => {
    const start = `id: ${i + 1}\ndata: `;
    return `${start}${"x".repeat(eventBytes - start.length - 2)}\n\n`;
  });
  const stream = Buffer.from(events.join(""));
  const parts: Buffer[] = [];
  for (let at = 0; at < stream.length; at += partBytes) {
    parts.push(stream.subarray(at, at + partBytes));
  }
  return parts;
}

/** Relays one stream and returns the bytes that the client has got. */
async function relayStream(parts: readonly Buffer[]): Promise<number> {
  let bytes = 0;
  const clientResponse = {
    isHeadSent: true,
    write: (written: Buffer) => {
      bytes += written.length;
      return true;
    },
  } as unknown as ClientResponse;
  const relay = new StreamRelay({
    clientResponse,
    isResumable: true,
    isEventStream: true,
    onFirstByte: () => undefined,
  });
  let listener: BodyListener | undefined;
  const exchange = {
    setBodyListener: (given: BodyListener) => listener = given,
  } as unknown as TargetExchange;
  const head = { status: 200, headers: {}, rawHeaders: [] };
  const result = relay.relay(exchange, head);
  for (const part of parts) listener?.onData(part);
  listener?.onEnd();
  if (await result !== "whole") throw new Error("the stream was not relayed");
  return bytes;
}
