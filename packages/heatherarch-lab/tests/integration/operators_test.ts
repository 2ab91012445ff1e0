import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { createHash } from "node:crypto";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { fileURLToPath } from "node:url";
import { stringify } from "smol-toml";
import { buildDeployment, Cluster, SHAPES } from "../../mod.ts";

const CLI_BINARY = fileURLToPath(import.meta.resolve("heatherarch-cli"))
  .replace(
    /mod\.js$/,
    "bin/heatherarch.js",
  );
const TOKEN = "sesame";

let cluster: Cluster;

before(async () => {
  cluster = new Cluster({ deployment: await buildDeployment(SHAPES.small) });
  await cluster.start();
});

after(() => cluster.stop());

interface CliResult {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

function runCli(...args: string[]): Promise<CliResult> {
  const vm = `http://${cluster.deployment.vms[0].operators}`;
  return new Promise((resolve) => {
    execFile(process.execPath, [
      CLI_BINARY,
      "--vm",
      vm,
      "--operator",
      "amihan",
      ...args,
    ], (error, out, err) => {
      resolve({ code: error ? Number(error.code) : 0, out, err });
    });
  });
}

function writeProfile(deadlineMs: number): string {
  const file = join(cluster.directory, `profile-${deadlineMs}.toml`);
  writeFileSync(file, stringify({ name: "desk", deadlineMs }));
  return file;
}

test("a profile is created, revised against its revision, and applied on all VMs", async () => {
  const putResult = await runCli(
    "profile",
    "put",
    writeProfile(1000),
    "--wait",
  );
  assert.equal(putResult.code, 0, putResult.err);
  assert.match(putResult.out, /in force everywhere/);
  const reviseResult = await runCli(
    "profile",
    "revise",
    "desk",
    "deadlineMs=2000",
    "--wait",
  );
  assert.equal(reviseResult.code, 0, reviseResult.err);
  const getResult = await runCli("profile", "get", "desk");
  assert.equal(JSON.parse(getResult.out).profile.deadlineMs, 2000);
});

test("of two changes with the same base revision, one is accepted and the refusal of the other names it", async () => {
  const stale = await runCli(
    "profile",
    "put",
    writeProfile(3000),
    "--base",
    "-1",
  );
  assert.equal(stale.code, 3);
  assert.match(stale.err, /stale.*by amihan \(put profile desk\)/);
  const { revision } = JSON.parse(
    (await runCli("profile", "get", "desk")).out,
  );
  const racing = await Promise.all([4000, 5000].map((deadlineMs) =>
    runCli(
      "profile",
      "put",
      writeProfile(deadlineMs),
      "--base",
      String(revision),
    )
  ));
  assert.deepEqual(racing.map(({ code }) => code).sort(), [0, 3]);
  const loser = racing.find(({ code }) => code === 3);
  assert.match(loser?.err ?? "", /stale.*by amihan \(put profile desk\)/);
  const { profile } = JSON.parse(
    (await runCli("profile", "get", "desk")).out,
  );
  assert.equal(profile.deadlineMs, racing[0].code === 0 ? 4000 : 5000);
});

test("an invalid file is refused with the location and reason of every error, and not published", async () => {
  const file = join(cluster.directory, "bad.toml");
  writeFileSync(
    file,
    stringify({ name: "Bad Name", deadlineMs: 1, extra: true }),
  );
  const result = await runCli("profile", "put", file);
  assert.equal(result.code, 2);
  for (const place of [/name: /, /deadlineMs: /, /extra/]) {
    assert.match(result.err, place);
  }
});

test("a drain and a restore appear in the status and in the audit trail", async () => {
  const target = cluster.deployment.fleet.targets[0].id;
  assert.equal((await runCli("drain", target, "--wait")).code, 0);
  assert.match((await runCli("status")).out, new RegExp(`${target}.*draining`));
  assert.equal((await runCli("restore", target, "--wait")).code, 0);
  const audit = JSON.parse((await runCli("audit", "--json")).out) as {
    author: string;
    what: string;
  }[];
  const what = audit.filter((entry) => entry.author === "amihan").map((entry) =>
    entry.what
  );
  assert.ok(
    what.includes(`drain ${target}`) && what.includes(`restore ${target}`),
  );
});

test("replace adds the new target and drains the old target", async () => {
  const { fleet } = cluster.deployment;
  const old = fleet.targets[0];
  const file = join(cluster.directory, "replacement.json");
  writeFileSync(file, JSON.stringify({ ...old, id: "replacement" }));
  const result = await runCli("replace", old.id, file, "--wait");
  assert.equal(result.code, 0, result.err);
  const config = JSON.parse((await runCli("config", "show")).out);
  assert.equal(config.directives[old.id].directive, "replacing");
  assert.ok(
    config.fleet.targets.some((entry: { id: string }) =>
      entry.id === "replacement"
    ),
  );
});

test("config diff lists the differences", async () => {
  const file = join(cluster.directory, "fleet.json");
  const fleet = { ...cluster.deployment.fleet, allowAnonymous: false };
  writeFileSync(file, JSON.stringify(fleet));
  assert.equal((await runCli("config", "check", file)).code, 0);
  assert.match(
    (await runCli("config", "diff", file)).out,
    /allowAnonymous: true -> false/,
  );
});

test("an unknown command and an unreachable VM exit with an error code", async () => {
  assert.equal((await runCli("fly")).code, 2);
  const unreachable = await runCli("--vm", "http://127.0.0.1:1", "status");
  assert.notEqual(unreachable.code, 0);
});

test("operators are authenticated if any are configured", async () => {
  const tokenSha256 = createHash("sha256").update(TOKEN).digest("hex");
  const secured = new Cluster({
    deployment: await buildDeployment({
      ...SHAPES.small,
      availabilityZones: ["zone-a"],
      vmsPerZone: 1,
    }),
    settings: { shutdown: { noticeMs: 0 } },
    vmSettings: () => ({
      operators: [{ name: "ligaya", tokenSha256 }] as never,
    }),
  });
  try {
    await secured.startStandins();
    const [vm] = secured.deployment.vms;
    secured.startVm(vm);
    await secured.waitHealthy();
    const send = (token: string) =>
      fetch(`http://${vm.operators}/v1/status`, {
        headers: { authorization: `Bearer ${token}` },
      });
    assert.equal((await send("wrong")).status, 401);
    assert.equal((await send(TOKEN)).status, 200);
  } finally {
    await secured.stop();
  }
});
