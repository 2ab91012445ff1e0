import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:net";
import { test } from "node:test";
import { findFreePorts, PortReservations } from "../../mod.ts";

type FreePorts = typeof import("../../free_ports.ts");

/** Loads a copy of the module with a state of its own, as another process has it. */
async function loadCopy(name: string): Promise<FreePorts> {
  const url = new URL(`../../free_ports.js?copy=${name}`, import.meta.url);
  return await import(url.href) as FreePorts;
}

test("ports of one process are not returned to another one while nobody listens on them", async () => {
  // Both copies begin their search at the same block.
  const first = await loadCopy("first");
  const second = await loadCopy("second");
  const ports: number[] = [];
  for (let i = 0; i < 30; i++) {
    ports.push(...await first.findFreePorts(4));
    ports.push(...await second.findFreePorts(4));
  }
  assert.equal(new Set(ports).size, 240);
});

test("searches at the same time return different ports, none of which is in use", async () => {
  const { findFreePorts } = await loadCopy("concurrent");
  const found = await Promise.all(
    Array.from({ length: 30 }, () => findFreePorts(4)),
  );
  const ports = found.flat();
  assert.equal(new Set(ports).size, 120);
  for (const port of ports) {
    const server = createServer().listen(port, "127.0.0.1");
    await once(server, "listening");
    server.close();
  }
});

test("ports are returned again once all blocks are reserved, but not while they are in use", async () => {
  // Consecutive ports that no other process gets.
  const [start] = await findFreePorts(40);
  const options = { start, blocks: 2, blockSize: 10 };
  const reservations = new PortReservations(options);
  const other = new PortReservations(options);
  const [usedPort, ...ports] = await reservations.find(18);
  const server = createServer().listen(usedPort, "127.0.0.1");
  await once(server, "listening");
  try {
    await assert.rejects(other.find(1), /found 0 of 1 free ports/);
    await assert.rejects(reservations.find(18), /found 17 of 18 free ports/);
    const found = await reservations.find(17);
    assert.deepEqual(found.sort(), ports.sort());
  } finally {
    server.close();
  }
});
