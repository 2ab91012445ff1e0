import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type KeyedEntry,
  type Target,
  TargetDirectory,
  VersionHistory,
} from "../../mod.ts";

const LIFE_MS = 30_000;
const MAX_LIST_AGE_MS = 400;
const STEP_MS = 200;

function buildEntry(id: string, softwareVersion?: string): KeyedEntry<Target> {
  const value: Target = {
    id,
    service: "s",
    address: "127.0.0.1:1",
    availabilityZone: "zone-a",
    slots: 1,
    leaving: false,
    softwareVersion,
  };
  return { key: id, value };
}

class Scene {
  readonly directory = new TargetDirectory();
  readonly history = new VersionHistory({
    directory: this.directory,
    maxListAgeMs: MAX_LIST_AGE_MS,
  });
  nowMs = 1000;

  constructor(...entries: KeyedEntry<Target>[]) {
    this.directory.applyList(entries, this.nowMs);
    this.history.observe(this.nowMs);
  }

  /** Reads the list for some time; only the first read brings changes. */
  read(forMs: number, ...entries: KeyedEntry<Target>[]): void {
    const untilMs = this.nowMs + forMs;
    for (let changes = entries; this.nowMs < untilMs; changes = []) {
      this.nowMs += STEP_MS;
      this.directory.applyChanges(changes, this.nowMs);
      this.history.observe(this.nowMs);
      this.history.expire(this.nowMs, LIFE_MS);
    }
  }

  find(): string | undefined {
    const { history, nowMs } = this;
    history.observe(nowMs);
    if (!history.isCurrent(nowMs) || !history.hasHistory(LIFE_MS, nowMs)) {
      return undefined;
    }
    const versions = history.listVersions("s", LIFE_MS, nowMs);
    return versions.length === 1 ? versions[0].softwareVersion : undefined;
  }
}

// Guards against a VM that has just started and takes the version that is listed for the only one.
test("a version is the only one once it alone was listed for the life of a stream", () => {
  const scene = new Scene(buildEntry("a", "v1"));
  scene.read(LIFE_MS - STEP_MS);
  assert.equal(scene.find(), undefined);
  scene.read(STEP_MS);
  assert.equal(scene.find(), "v1");
  assert.deepEqual(
    scene.history.listVersions("t", LIFE_MS, scene.nowMs),
    [],
  );
});

// Guards against streams that are joined because the version that began them has left meanwhile.
test("a version that was listed within the life of a stream counts, also for a moment", () => {
  const scene = new Scene(buildEntry("a", "v1"));
  scene.read(LIFE_MS);
  scene.read(STEP_MS, buildEntry("b", "v2"), { key: "b" });
  assert.equal(scene.find(), undefined);
  scene.read(LIFE_MS - STEP_MS);
  assert.equal(scene.find(), undefined);
  scene.read(2 * STEP_MS);
  assert.equal(scene.find(), "v1");
});

test("targets that name no version have one that is not known", () => {
  const scene = new Scene(buildEntry("a", "v1"), buildEntry("b"));
  scene.read(LIFE_MS);
  assert.equal(scene.find(), undefined);
});

// Guards against versions that come and go while a VM doesn't read the list.
test("a gap between reads and a restored store make a VM begin anew", () => {
  const scene = new Scene(buildEntry("a", "v1"));
  scene.read(LIFE_MS);
  scene.nowMs += MAX_LIST_AGE_MS + STEP_MS;
  assert.equal(scene.find(), undefined);
  scene.read(LIFE_MS);
  assert.equal(scene.find(), undefined);
  scene.read(STEP_MS);
  assert.equal(scene.find(), "v1");
  scene.history.handleRestoration(scene.nowMs);
  assert.equal(scene.find(), undefined);
});
