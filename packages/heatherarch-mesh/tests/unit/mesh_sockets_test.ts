import assert from "node:assert/strict";
import { once } from "node:events";
import { test } from "node:test";
import fc from "fast-check";
import { parseIpAddress } from "heatherarch-core";
import { dialSocket, splitAddress } from "../../mod.ts";

const HOST = fc.oneof(fc.ipV4(), fc.ipV6().map((ip) => `[${ip}]`));

// Guards against addresses that pass the check of what peers announce and are dialled as another address.
test("an address is dialled as it is parsed", () => {
  fc.assert(fc.property(HOST, fc.integer({ min: 1, max: 65_535 }), (ip, to) => {
    const parsed = parseIpAddress(`${ip}:${to}`);
    assert.ok(parsed !== undefined, ip);
    const { host, port } = parsed;
    assert.deepEqual(splitAddress(`${ip}:${to}`), { host, port });
  }));
});

// Guards against a timer of the mesh that a peer's address ends: no links are opened or checked then.
test("an address that can't be dialled ends like a refused connection", async () => {
  for (const address of ["127.0.0.1:65536", "127.0.0.1:-1", "m", "a:b:c"]) {
    const socket = dialSocket(address, undefined);
    const [error] = await once(socket, "error");
    assert.ok(error instanceof Error, address);
    assert.ok(socket.destroyed);
  }
});
