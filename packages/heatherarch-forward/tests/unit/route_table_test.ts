import assert from "node:assert/strict";
import { ManualClock } from "heatherarch-core";
import { test } from "node:test";
import { ActiveConfig, RouteTable } from "../../mod.ts";
import { buildConfig, buildRoute } from "./fixtures.ts";

test("the route with the longest matching path prefix of the host is found", () => {
  const table = new RouteTable(buildConfig({
    routes: [
      buildRoute({ name: "short", pathPrefix: "/a/" }),
      buildRoute({ name: "long", pathPrefix: "/a/b/" }),
      buildRoute({ name: "other", host: "b.example", pathPrefix: "/" }),
    ],
  }));
  assert.equal(table.findRoute("a.example", "/a/x")?.name, "short");
  assert.equal(table.findRoute("A.example:80", "/a/b/x")?.name, "long");
  assert.equal(table.findRoute("a.example", "/a/?q=/a/b/")?.name, "short");
  assert.equal(table.findRoute("a.example", "/c/"), undefined);
  assert.equal(table.findRoute("a.example", "/a"), undefined);
});

test("calls are split by weight, and the other service is listed second", () => {
  const route = buildRoute({
    services: [{ service: "x", weight: 90 }, { service: "y", weight: 10 }],
  });
  const table = new RouteTable(buildConfig({ routes: [route] }));
  let second = 0;
  for (let i = 0; i < 2000; i++) {
    const names = table.listServices(route, `call-${i}`);
    assert.equal(names.length, 2);
    if (names[0] === "y") second++;
  }
  assert.ok(second > 120 && second < 290, `${second} of 2000`);
});

test("a service with weight 0 is never used", () => {
  const route = buildRoute({
    services: [{ service: "x", weight: 1 }, { service: "y", weight: 0 }],
  });
  const table = new RouteTable(buildConfig());
  assert.deepEqual(table.listServices(route, "k"), ["x"]);
});

test("the version in force never decreases", () => {
  const activeConfig = new ActiveConfig({ clock: new ManualClock() });
  const seen: number[] = [];
  const removeListener = activeConfig.registerListener(({ table }) =>
    seen.push(table.version)
  );
  assert.equal(
    activeConfig.applyConfig(buildConfig({ version: 7 }), "store"),
    true,
  );
  assert.equal(
    activeConfig.applyConfig(buildConfig({ version: 5 }), "store"),
    false,
  );
  assert.equal(
    activeConfig.applyConfig(buildConfig({ version: 7 }), "store"),
    false,
  );
  removeListener();
  assert.equal(
    activeConfig.applyConfig(buildConfig({ version: 9 }), "store"),
    true,
  );
  assert.equal(activeConfig.version, 9);
  assert.deepEqual(seen, [7]);
});
