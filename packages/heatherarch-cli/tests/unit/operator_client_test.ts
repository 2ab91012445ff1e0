import assert from "node:assert/strict";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, test } from "node:test";
import { CommandError, OperatorClient } from "../../mod.ts";

const servers: Server[] = [];

afterEach(() => {
  for (const server of servers.splice(0)) {
    server.close();
    server.closeAllConnections();
  }
});

/** Starts a VM's operator port that responds, or resets connections after the request. */
async function startVm(isSilent: boolean) {
  const received: string[] = [];
  const server = createServer((request, response) => {
    received.push(`${request.method} ${request.url}`);
    if (isSilent) request.socket.destroy();
    else response.end(JSON.stringify({ verdict: "accepted", offset: 1 }));
  });
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return { url: `http://127.0.0.1:${port}`, received };
}

/** Starts a VM's operator port that responds without end. */
async function startEndlessVm(): Promise<string> {
  const part = Buffer.alloc(1024 * 1024, " ");
  const sendOn = (response: ServerResponse): void => {
    while (!response.destroyed && response.write(part));
    response.once("drain", () => sendOn(response));
  };
  const server = createServer((_request, response) => sendOn(response));
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const UNREACHABLE = "http://127.0.0.1:1";
const CHANGE = { kind: "putProfile", profile: { name: "desk" } };

test("a change goes to the next VM if nothing was sent to the first one", async () => {
  const vm = await startVm(false);
  const client = new OperatorClient({ urls: [UNREACHABLE, vm.url] });
  assert.equal((await client.publish(CHANGE, -1)).verdict, "accepted");
});

// A repeated change was rejected as stale, by the very operator who had made it.
test("a change whose response is lost is not published at another VM, and the error says so", async () => {
  const [lost, other] = [await startVm(true), await startVm(false)];
  const client = new OperatorClient({ urls: [lost.url, other.url] });
  await assert.rejects(
    client.publish(CHANGE, -1),
    (error) =>
      error instanceof CommandError && /may be in force/.test(error.message),
  );
  assert.equal(lost.received.length, 1);
  assert.deepEqual(other.received, []);
});

test("a read is repeated at the next VM", async () => {
  const [lost, other] = [await startVm(true), await startVm(false)];
  const client = new OperatorClient({ urls: [lost.url, other.url] });
  await client.readStatus();
  assert.equal(other.received.length, 1);
});

// Guards against a response without end, which is read until the memory is full.
test("a response that is too long is given up", async () => {
  const client = new OperatorClient({ urls: [await startEndlessVm()] });
  await assert.rejects(client.readStatus(), /exceeds 67108864 bytes/);
});
