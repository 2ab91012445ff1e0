import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Server } from "node:net";
import { afterEach, test } from "node:test";
import { HttpService } from "../../mod.ts";

/** More than the kernel takes at once, so that the upload is still being written at the end. */
const LONG_BODY = Buffer.alloc(8 * 1024 * 1024);
const ANSWER = "p".repeat(507);

let server: Server | undefined;
let service: HttpService | undefined;

const undos: (() => void)[] = [];

afterEach(async () => {
  for (const undo of undos.splice(0)) undo();
  await service?.close();
  server?.close();
});

interface SentCall {
  readonly ending: "in order" | "by reset";
  readonly body?: Buffer;
  /** Head of the response without the empty line that ends it. */
  readonly head?: string;
  /** The target stops reading once it has ended its response. */
  readonly stopsReading?: boolean;
}

/** Sends a call to a target that sends a response without a length as soon as the call begins to arrive. */
async function send(
  { ending, body, head = "HTTP/1.1 200 OK", stopsReading = false }: SentCall,
) {
  server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => {
      socket.write(`${head}\r\n\r\n${ANSWER}`);
      if (ending === "in order") socket.end();
      else socket.resetAndDestroy();
      if (stopsReading) socket.pause();
    });
    undos.push(() => void socket.destroy());
  });
  await new Promise<void>((resolve) =>
    server?.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  service = new HttpService({
    address: `127.0.0.1:${port}`,
    maxConnections: 2,
    timeouts: { connectMs: 500, firstByteMs: 1000, gapMs: 1000 },
  });
  return await service.send({
    tryId: "t1",
    method: "POST",
    path: "/",
    headers: {},
    body,
    timeoutMs: 1000,
  });
}

for (
  const { name, body } of [
    { name: "a long call", body: LONG_BODY },
    { name: "a call without a body", body: undefined },
  ]
) {
  // Guards against a part of a response that counts as an answer.
  test(`a response to ${name} that is reset is broken`, async () => {
    assert.equal((await send({ ending: "by reset", body })).kind, "broken");
  });

  test(`a response to ${name} that ends in order is an answer`, async () => {
    const response = await send({ ending: "in order", body });
    assert.equal(response.kind, "answer");
    if (response.kind === "answer") assert.equal(String(response.body), ANSWER);
  });
}

// Guards against an end that is held back without a bound while the target stops reading.
test("a response whose target reads no more of the call is silent in the end", async () => {
  const call = { ending: "in order", body: LONG_BODY } as const;
  const response = await send({ ...call, stopsReading: true });
  assert.equal(response.kind, "silent");
});

// Guards against a status that is none, and a field whose name is none, in an answer.
test("a response with a broken head is broken", async () => {
  const fields = ["x own: 1", "x-own : 1", "x\x01own: 1"];
  const heads = [
    "HTTP/1.1 000 X",
    ...fields.map((field) => `HTTP/1.1 200 OK\r\n${field}`),
  ];
  for (const head of heads) {
    assert.equal((await send({ ending: "in order", head })).kind, "broken");
    await service?.close();
    server?.close();
  }
});
