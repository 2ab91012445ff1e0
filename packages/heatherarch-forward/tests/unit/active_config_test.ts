import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock, readMoment } from "heatherarch-core";
import { ActiveConfig } from "../../mod.ts";
import { buildConfig } from "./fixtures.ts";

function createConfig(version: number) {
  const clock = new ManualClock();
  const activeConfig = new ActiveConfig({ clock });
  activeConfig.applyConfig(buildConfig({ version }), "store");
  return { clock, activeConfig };
}

test("the age of a configuration counts from the newest read that confirms it", () => {
  const { clock, activeConfig } = createConfig(1);
  assert.equal(activeConfig.getAgeMs(), Infinity);
  const first = readMoment(clock);
  clock.advance(400);
  activeConfig.recordNewest(1, readMoment(clock));
  activeConfig.recordNewest(1, first);
  clock.advance(100);
  assert.equal(activeConfig.getAgeMs(), 100);
});

test("that there was no configuration confirms none that comes later", () => {
  const clock = new ManualClock();
  const activeConfig = new ActiveConfig({ clock });
  activeConfig.recordNewest(-1, readMoment(clock));
  activeConfig.applyConfig(buildConfig({ version: 1 }), "peer a");
  assert.equal(activeConfig.getAgeMs(), Infinity);
});

test("a suspension of the machine ages the configuration", () => {
  const { clock, activeConfig } = createConfig(1);
  activeConfig.recordNewest(1, readMoment(clock));
  clock.suspend(6000);
  assert.equal(activeConfig.getAgeMs(), 6000);
  clock.advance(10);
  assert.equal(activeConfig.getAgeMs(), 6010);
});

test("a newer version that was confirmed elsewhere counts once it is in force", () => {
  const { clock, activeConfig } = createConfig(1);
  activeConfig.recordNewest(3, readMoment(clock));
  assert.equal(activeConfig.getAgeMs(), Infinity);
  activeConfig.applyConfig(buildConfig({ version: 2 }), "peer a");
  assert.equal(activeConfig.getAgeMs(), Infinity);
  clock.advance(50);
  activeConfig.applyConfig(buildConfig({ version: 3 }), "peer a");
  assert.equal(activeConfig.getAgeMs(), 50);
});
