import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { sleep } from "heatherarch-core";
import type { LogPort, LogRecord, LogSlice } from "heatherarch-log";
import {
  computeStreamKey,
  StreamRecordLog,
  StreamVersions,
} from "../../mod.ts";

/** Time in which a VM has written or read its records, milliseconds. */
const SETTLED_MS = 350;

/** A store that can trim its log, and that reads in small pages. */
class LogFake implements LogPort {
  first = 0;
  records: LogRecord[] = [];
  isDown = false;

  append(_stream: string, data: unknown): Promise<number> {
    if (this.isDown) return Promise.reject(new Error("down"));
    const offset = this.first + this.records.length;
    this.records.push({ offset, appendedAtMs: 0, data });
    return Promise.resolve(offset);
  }

  read(_stream: string, from: number): Promise<LogSlice> {
    const { first } = this;
    const next = first + this.records.length;
    if (from < first) {
      return Promise.resolve({ records: [], first, next: first });
    }
    const records = this.records.slice(from - first, from - first + 2);
    return Promise.resolve({ records, first, next });
  }

  trim(count: number): void {
    this.records.splice(0, count);
    this.first += count;
  }
}

class Vm {
  readonly streamVersions = new StreamVersions();
  hasSeveralVersions = true;
  readonly task: StreamRecordLog;

  constructor(store: LogPort) {
    this.task = new StreamRecordLog({
      store,
      streamVersions: this.streamVersions,
      log: { write: () => undefined },
      hasVersions: () => true,
      hasSeveralVersions: () => this.hasSeveralVersions,
      isCoordinator: () => true,
      countWriters: () => 1,
      getScope: () => "own",
    });
    running.push(this);
  }

  start(): void {
    this.task.start();
  }

  begin(attemptId: string, softwareVersion = "v1"): void {
    this.streamVersions.recordStream({
      key: buildKey(attemptId),
      softwareVersion,
    });
  }

  find(attemptId: string): Promise<string | undefined> {
    return this.task.findVersion(buildKey(attemptId));
  }
}

const running: Vm[] = [];

afterEach(() => {
  for (const { task } of running.splice(0)) task.stop();
});

function buildKey(attemptId: string): string {
  return computeStreamKey({ attemptId, host: "h", service: "s" });
}

async function startVm(store: LogPort, hasSeveralVersions = true): Promise<Vm> {
  const vm = new Vm(store);
  vm.hasSeveralVersions = hasSeveralVersions;
  vm.start();
  await sleep(0);
  return vm;
}

// Guards against streams that nobody continues once all VMs that knew their version are lost, also
// twice in a row.
test("VMs that start after the loss of all VMs know which version began each stream", async () => {
  const store = new LogFake();
  const first = await startVm(store);
  first.begin("a", "v1");
  first.begin("b", "v2");
  await sleep(SETTLED_MS);
  first.task.stop();
  const second = await startVm(store);
  assert.equal(await second.find("b"), "v2");
  second.begin("c", "v2");
  await sleep(SETTLED_MS);
  second.task.stop();
  store.trim(1);
  const third = await startVm(store);
  assert.equal(await third.find("a"), "v1");
  assert.equal(await third.find("c"), "v2");
  assert.equal(await third.find("d"), undefined);
});

// Guards against writes for each stream of a fleet whose engines all run the same version.
test("nothing is written while there is one version; then earlier streams are written too", async () => {
  const store = new LogFake();
  const vm = await startVm(store, false);
  vm.begin("a");
  await sleep(SETTLED_MS);
  assert.equal(store.records.length, 0);
  vm.hasSeveralVersions = true;
  await sleep(SETTLED_MS);
  vm.task.stop();
  const next = await startVm(store);
  assert.equal(await next.find("a"), "v1");
});

// Guards against records that are lost with a store, or while it doesn't respond.
test("records are written again after an outage of the store, and when it comes back from a copy", async () => {
  const store = new LogFake();
  const vm = await startVm(store);
  await sleep(SETTLED_MS);
  store.isDown = true;
  vm.begin("a");
  await sleep(SETTLED_MS);
  store.isDown = false;
  await sleep(2 * SETTLED_MS);
  store.records = [];
  vm.task.handleRestoration();
  await sleep(SETTLED_MS);
  vm.task.stop();
  const next = await startVm(store);
  assert.equal(await next.find("a"), "v1");
});

// Guards against a record that is read after the stream was recorded here.
test("a record in the store doesn't replace one that this VM has, and others' records are skipped", async () => {
  const store = new LogFake();
  await store.append("", { streams: [["v2", "not base64!"]] });
  await store.append("", null);
  const other = await startVm(store);
  other.begin("a", "v2");
  await sleep(SETTLED_MS);
  const vm = new Vm(store);
  vm.begin("a", "v1");
  vm.start();
  assert.equal(await vm.find("a"), "v1");
});
