import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import { sleep } from "heatherarch-core";
import { Gateway } from "heatherarch-gateway";
import { type Fleet, parseFleet } from "heatherarch-settings";
import { findFreePorts } from "heatherarch-standins";
import { request } from "undici";
import { createFakeHost } from "../../proofs/fake_host.ts";

const CLIENT_COUNT = 10;
const STALL_MS = 300;
const FLEET = parseFleet({
  deployment: "d",
  availabilityZones: ["zone-a"],
  services: [{ name: "reader", kind: "model", models: ["m"] }],
  targets: [],
}).unwrap() as Fleet;
const BODY = JSON.stringify({ model: "m", prompt: "p", max_tokens: 2 });
const COMPLETION = "POST /v1/completions HTTP/1.1\r\nhost: h\r\n" +
  `content-length: ${BODY.length}\r\n\r\n${BODY}`;

async function openConnection(port: number): Promise<Socket> {
  const socket = connect(port, "127.0.0.1");
  await new Promise((resolve) => socket.once("connect", resolve));
  return socket;
}

function blockEventLoop(ms: number): void {
  const untilMs = performance.now() + ms;
  while (performance.now() < untilMs);
}

// Guards against work for clients that have left: a late VM read a request and served it before it read
// the end of the connection behind it.
test("a late gateway serves no request of clients that have left meanwhile", async () => {
  const { host } = createFakeHost({ engines: ["e1"] });
  let served = 0;
  const gateway = new Gateway({
    ...host,
    readFleet: () => {
      served++;
      return null;
    },
  });
  const [port] = await findFreePorts(1);
  await gateway.listen("127.0.0.1", port);
  const sockets = await Promise.all(
    Array.from({ length: CLIENT_COUNT }, () => openConnection(port)),
  );
  await new Promise((resolve) => setTimeout(resolve, 50));
  for (const socket of sockets) {
    socket.write("GET /v1/models HTTP/1.1\r\nhost: h\r\n\r\n");
    socket.destroy();
  }
  blockEventLoop(STALL_MS);
  const live = await request(`http://127.0.0.1:${port}/v1/models`);
  await live.body.dump();
  gateway.close();
  assert.equal(live.statusCode, 503);
  assert.equal(served, 1);
});

// Guards against requests that count as open for ever, so that a VM that stops waits for them until its grace
// period ends: Node.js tells nothing of the responses behind the first one of a connection that ends.
test("no request of a connection that has ended is open", async () => {
  const { host } = createFakeHost({ engines: ["e1"] });
  const gateway = new Gateway({ ...host, readFleet: () => FLEET });
  const [port] = await findFreePorts(1);
  await gateway.listen("127.0.0.1", port);
  const socket = await openConnection(port);
  socket.write(COMPLETION + COMPLETION + COMPLETION);
  await sleep(100);
  assert.equal(gateway.inFlight, 3);
  socket.destroy();
  await sleep(100);
  gateway.close();
  assert.equal(gateway.inFlight, 0);
});
