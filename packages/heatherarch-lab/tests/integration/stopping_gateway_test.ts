import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { sleep } from "heatherarch-core";
import { buildDeployment, Cluster, SHAPES } from "../../mod.ts";
import { RawConnection, type RawRequest } from "../raw_connection.ts";

const NOTICE_MS = 1000;
const DRAIN_TIMEOUT_MS = 2000;
/** A booking that begins in the notice ends within the grace period. */
const BOOKING_MS = 1200;
/** A booking that doesn't. */
const LONG_BOOKING_MS = 6000;
const CONNECTIONS = 12;
const LATE_MS = 500;
const POLL_MS = 20;
/** Time from the stop until all connections must have ended. */
const END_MS = NOTICE_MS + DRAIN_TIMEOUT_MS + 1000;

let cluster: Cluster;

async function startCluster(
  { bookingMs = BOOKING_MS, vms = 1 } = {},
): Promise<void> {
  cluster = new Cluster({
    deployment: await buildDeployment({
      ...SHAPES.small,
      availabilityZones: ["zone-a"],
      vmsPerZone: vms,
    }),
    standins: { bookingMs, speeds: { stepMs: 60 } },
    settings: {
      shutdown: { noticeMs: NOTICE_MS, drainTimeoutMs: DRAIN_TIMEOUT_MS },
    },
  });
  await cluster.start();
}

afterEach(async () => {
  await cluster.stop();
});

function buildBooking(deadlineMs: number): RawRequest {
  const path = "/services/bookings/book";
  return { method: "POST", path, deadlineMs, body: "a seat" };
}

function buildStream(maxTokens: number): RawRequest {
  const body = JSON.stringify({
    model: "reader-7b",
    prompt: "a question",
    max_tokens: maxTokens,
    stream: true,
  });
  return { method: "POST", path: "/v1/completions", deadlineMs: 30_000, body };
}

const LOOKUP: RawRequest = {
  method: "GET",
  path: "/services/bookings/free",
  deadlineMs: 500,
};

function openConnections(): Promise<RawConnection[]> {
  const [vm] = cluster.deployment.vms;
  return Promise.all(
    Array.from(
      { length: CONNECTIONS },
      () => RawConnection.open(vm.callers),
    ),
  );
}

/** Waits until the first bytes of all responses have arrived. */
async function waitBegun(connections: readonly RawConnection[]): Promise<void> {
  const hasBegun = (connection: RawConnection): boolean =>
    connection.readResponses().length > 0;
  while (!connections.every(hasBegun)) await sleep(POLL_MS);
}

/** Waits until a number of bookings run. */
async function waitRunning(bookings: number): Promise<void> {
  while ((await cluster.readLedger()).runs.length < bookings) {
    await sleep(POLL_MS);
  }
}

/** Serves a booking, so that the VM knows how long one takes. */
async function serveBooking(): Promise<void> {
  const [vm] = cluster.deployment.vms;
  const connection = await RawConnection.open(vm.callers);
  connection.send(buildBooking(20_000));
  while (!connection.readResponses()[0]?.isWhole) await sleep(POLL_MS);
  connection.close();
}

function stopVm(): void {
  cluster.signalVm(cluster.deployment.vms[0].id, "SIGTERM");
}

/** Waits for the end of all connections. Returns the numbers of outcomes. */
async function countOutcomes(
  connections: readonly RawConnection[],
  requestsEach: number,
): Promise<Record<string, number>> {
  const ended = Promise.all(connections.map((one) => one.waitClosed()));
  await Promise.race([ended, sleep(END_MS)]);
  const counts: Record<string, number> = {};
  for (const connection of connections) {
    const responses = connection.readResponses();
    for (let index = 0; index < requestsEach; index++) {
      const response = responses[index];
      const outcome = response === undefined
        ? "no response"
        : `${response.status}${response.isWhole ? "" : " cut"}`;
      counts[outcome] = (counts[outcome] ?? 0) + 1;
    }
    connection.close();
  }
  return counts;
}

// Guards against bookings that a stopping VM sends to a target and cuts: they arrived in the notice, on
// connections that had no request, and can't end before the VM does.
test("a stopping VM refuses bookings that can't end in time, and sends them to no target", async () => {
  await startCluster({ bookingMs: LONG_BOOKING_MS });
  await serveBooking();
  const connections = await openConnections();
  stopVm();
  await sleep(LATE_MS);
  for (const connection of connections) connection.send(buildBooking(20_000));
  const counts = await countOutcomes(connections, 1);
  const { runs } = await cluster.readLedger();
  assert.deepEqual(counts, { 503: CONNECTIONS });
  assert.equal(runs.length, 1, "the booking before the stop");
});

// Guards against refusals of calls whose own deadline ends before the VM does.
test("a stopping VM serves what can end in time", async () => {
  await startCluster();
  const connections = await openConnections();
  stopVm();
  for (const connection of connections) connection.send(buildBooking(2000));
  await sleep(LATE_MS);
  const others = await openConnections();
  for (const connection of others) connection.send(LOOKUP);
  assert.deepEqual(await countOutcomes(connections, 1), { 200: CONNECTIONS });
  assert.deepEqual(await countOutcomes(others, 1), { 200: CONNECTIONS });
});

// Guards against a booking that is accepted behind a stream on the same connection and cut.
test("requests that are pipelined behind a response at a stopping VM are all answered", async () => {
  await startCluster({ bookingMs: LONG_BOOKING_MS });
  await serveBooking();
  const connections = await openConnections();
  for (const connection of connections) connection.send(buildStream(20));
  await waitBegun(connections);
  stopVm();
  await sleep(LATE_MS);
  for (const connection of connections) {
    connection.send(buildBooking(20_000), LOOKUP, LOOKUP);
  }
  const counts = await countOutcomes(connections, 4);
  assert.deepEqual(counts, { 200: 3 * CONNECTIONS, 503: CONNECTIONS });
});

// Guards against requests that are dropped without a word behind a response that closes their connection.
test("requests that are pipelined after the notice are all refused", async () => {
  await startCluster();
  const connections = await openConnections();
  for (const connection of connections) connection.send(buildStream(40));
  await waitBegun(connections);
  stopVm();
  await sleep(NOTICE_MS + 200);
  for (const connection of connections) {
    connection.send(
      buildBooking(20_000),
      buildBooking(20_000),
      buildBooking(20_000),
    );
  }
  const counts = await countOutcomes(connections, 4);
  const { runs } = await cluster.readLedger();
  assert.deepEqual(counts, { 200: CONNECTIONS, 503: 3 * CONNECTIONS });
  assert.equal(runs.length, 0);
});

// Guards against responses that are cut at the end: the client can't tell what became of its call.
test("what is in progress when the VM ends gets a whole response", async () => {
  await startCluster({ bookingMs: LONG_BOOKING_MS });
  const bookings = await openConnections();
  const streams = await openConnections();
  for (const connection of bookings) connection.send(buildBooking(20_000));
  for (const connection of streams) connection.send(buildStream(250));
  await waitRunning(CONNECTIONS);
  await waitBegun(streams);
  stopVm();
  const bookingCounts = await countOutcomes(bookings, 1);
  const streamCounts = await countOutcomes(streams, 1);
  assert.deepEqual(bookingCounts, { 502: CONNECTIONS });
  assert.deepEqual(streamCounts, { 200: CONNECTIONS });
  for (const connection of bookings) {
    const [{ body }] = connection.readResponses();
    assert.equal(JSON.parse(body).error.run, "unknown");
  }
});

// Guards against a resumable generation that a stopping VM ends although its grace period is not over: its
// client has left and reads it through another VM, so no connection of the stopping VM is open.
test("a resumable generation whose client has left goes on while its VM stops", async () => {
  await startCluster({ vms: 2 });
  const [first, second] = cluster.deployment.vms;
  const abort = new AbortController();
  const { body = "" } = buildStream(30);
  const begun = await fetch(`http://${first.callers}/v1/completions`, {
    method: "POST",
    headers: { "x-heatherarch-resumable": "true" },
    body,
    signal: abort.signal,
  });
  const id = begun.headers.get("x-request-id") as string;
  abort.abort();
  const url = `http://${second.callers}/v1/streams/${id}?from=0`;
  // The link between the VMs may not be ready yet.
  let resumed = await fetch(url);
  while (!resumed.ok) resumed = await fetch(url);
  stopVm();
  assert.match(await resumed.text(), /\[DONE\]/);
});
