import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { parseIpAddress } from "../../mod.ts";

// Guards against addresses that are accepted although no connection can be opened to them.
test("only an IP address with a port of 1 to 65535 is parsed", () => {
  const unusable = [
    "",
    ":",
    "10.0.0.1",
    "10.0.0.1:",
    "10.0.0.1:0",
    "10.0.0.1:00",
    "10.0.0.1:65536",
    "10.0.0.1:99999",
    "10.0.0.1:123456",
    "10.0.0.1:-1",
    "10.0.0.1:+80",
    "10.0.0.1:0x50",
    "10.0.0.1:8e1",
    "10.0.0.1:80 ",
    "10.0.0.1:8.0",
    "10.0.0.1:٨٠",
    "999.1.1.1:80",
    "256.0.0.1:80",
    "10.0.1:80",
    "10.0.0.0.1:80",
    "010.0.0.1:80",
    "host:80",
    "[10.0.0.1]:80",
    "[::g]:80",
    "[::1:80",
    "::1:80",
    "10.0.0.1:80/x",
    "a@10.0.0.1:80",
  ];
  for (const text of unusable) {
    assert.equal(parseIpAddress(text), undefined, text);
  }
});

// Guards against sound addresses that are no longer accepted.
test("IPv4 and IPv6 addresses are parsed with each port", () => {
  assert.deepEqual(parseIpAddress("[fd00::1]:8080"), {
    host: "fd00::1",
    family: 6,
    port: 8080,
  });
  assert.equal(parseIpAddress("10.0.0.1:00080")?.port, 80);
  fc.assert(fc.property(
    fc.ipV4(),
    fc.integer({ min: 1, max: 65_535 }),
    (host, port) => {
      const parsed = parseIpAddress(`${host}:${port}`);
      assert.deepEqual(parsed, { host, family: 4, port });
    },
  ));
});
