import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { parseIpAddress } from "heatherarch-core";
import { splitAddress } from "../../mod.ts";

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
