// See claim.txt. Exit code: 1 rule broken, 0 rule held, 2 the case couldn't run.
import { fork } from "node:child_process";
import { randomBytes } from "node:crypto";
import { writeFileSync } from "node:fs";
import { Agent, request as sendRequest } from "node:http";
import { Store } from "../lib/store.mjs";
import { Fleet, pickNetwork } from "../lib/vms.mjs";

const RECORD = process.env.RECORD ??
  new URL("record.txt", import.meta.url).pathname;
const PROGRAM = new URL("../lib/engine-process.mjs", import.meta.url).pathname;
const HAS_TROUBLE = process.env.TROUBLE !== "0";
const ZONES = ["zone-a", "zone-b", "zone-c"];
/** Six machines, two in each zone. */
const VM_ZONES = [...ZONES, ...ZONES];
const HOST = "stand.example";
const EVENTS = 14;
const EVENT_MS = 100;
const STREAMS_PER_S = 90;
const LOAD_S = 70;
/**
 * `garble`, how "unframed": 0.05 of the answers of half of the runners, for 5 s. `node_kill`: one machine
 * of six, down for 3.5 s. Both begin anew every 9 s; without trouble streams are unframed as well.
 */
const UNFRAMED_SHARE = 0.05;
const CYCLE_MS = 9000;
const FAULTY_MS = 5000;
const KILL_AT_MS = 4500;
const DOWN_MS = 3500;

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
const network = pickNetwork();
const store = new Store();
const fleet = new Fleet();
const engines = [];
const runsById = new Map();
const sent = [];
const kills = [];
const timers = [];

/** A runner's place, in which one incarnation after the other runs. */
class Place {
  constructor(index) {
    this.index = index;
    this.stage = index < 3 ? "prefill" : "decode";
  }

  start() {
    const id = `i-${randomBytes(4).toString("hex")}`;
    const options = {
      id, zone: ZONES[this.index % 3], stage: this.stage, events: EVENTS,
      eventMs: EVENT_MS, prefillMs: 30,
    };
    const child = fork(PROGRAM, [JSON.stringify({
      ip: `${network}.${110 + this.index}`, options, unframedShare: UNFRAMED_SHARE,
    })]);
    this.id = id;
    this.child = child;
    child.on("message", ({ run, entry }) => {
      if (run !== undefined) runsById.set(run.id, [...runsById.get(run.id) ?? [], run]);
      else if (this.child === child) this.entry = entry;
    });
  }
}

/** Kills a machine's process; the platform starts it again. */
async function killVm(vm) {
  const at = Date.now();
  await vm.kill();
  kills.push({ vm: vm.name, at });
  await sleep(DOWN_MS);
  vm.restart();
}

async function main() {
  await store.start(`${network}.1`);
  for (let i = 0; i < 6; i++) {
    const place = new Place(i);
    place.start();
    engines.push(place);
  }
  const publish = () => {
    for (const { entry, id } of engines) {
      if (entry !== undefined) store.put("keyed.servers", id, entry);
    }
  };
  timers.push(setInterval(publish, 300));
  store.put("keyed.op", "config", {
    version: 7,
    routes: [{ hostname: HOST, name: "r-ask", pathPrefix: "/ask/", routeType: "streaming",
      timeoutMs: 5000, targetLatencyMs: 600, priority: 0, service: "llm",
      maxAttempts: 1, sessionAffinity: true, resumable: false, targetGapMs: 200 }],
    services: [{ name: "llm", healthPath: "/health", maxConnections: 360, protocol: "h1",
      tls: false, engine: { slots: 64, kvCapacity: 468842, tokenKvBytes: 163840,
        linkMbps: 1400000, moves: true, backups: true, stride: 7, most: 12,
        kvHoldS: 5, reconfigS: 3, pinMs: 4000, holdMs: 2000, models: [{ name: "m" }] } }],
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304,
      headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
  });
  if (!await fleet.start({ network, zones: VM_ZONES, storeAddress: store.address })) return 2;
  await sleep(3000);
  const startedAt = Date.now();
  timers.push(setInterval(() => makeTrouble(Date.now() - startedAt), 100));
  const agent = new Agent({ keepAlive: true, maxSockets: 100 });
  const calls = [];
  while (Date.now() - startedAt < LOAD_S * 1000) {
    calls.push(sendStream(agent));
    await sleep(-Math.log(1 - Math.random()) * 1000 / STREAMS_PER_S);
  }
  await Promise.all(calls);
  agent.destroy();
  return judge();
}

let lastKillCycle = -1;

/** The answers of three of the runners are in part unframed, and one machine is killed after the other. */
function makeTrouble(elapsedMs) {
  const cycle = Math.floor(elapsedMs / CYCLE_MS);
  const inCycleMs = elapsedMs % CYCLE_MS;
  const isFaulty = inCycleMs < FAULTY_MS;
  const decoders = engines.filter(({ entry }) => entry?.stage === "decode");
  for (const { child } of engines) {
    if (child?.connected) child.send({ isFaulty: false });
  }
  for (const { child } of decoders.slice(0, 3)) {
    if (child?.connected) child.send({ isFaulty });
  }
  if (!HAS_TROUBLE || inCycleMs < KILL_AT_MS || lastKillCycle === cycle) return;
  if (elapsedMs > (LOAD_S - 3) * 1000) return;
  lastKillCycle = cycle;
  void killVm(fleet.vms[cycle % fleet.vms.length]);
}

/** One attempt of a client. It gives the stream up after a gap of 2.4 s. */
function sendStream(agent) {
  const running = fleet.vms.filter(({ isRunning }) => isRunning);
  const vm = running[Math.floor(Math.random() * running.length)];
  const id = randomBytes(8).toString("hex");
  const entry = { id, vm: vm.name, at: Date.now(), status: 0, end: "", events: 0 };
  sent.push(entry);
  const [host, port] = vm.front.split(":");
  const hex = randomBytes(4).toString("hex");
  return new Promise((resolve) => {
    const finish = (end) => {
      if (entry.end !== "") return;
      entry.end = end;
      clearTimeout(gap);
      resolve();
    };
    let gap;
    const startGap = () => {
      clearTimeout(gap);
      gap = setTimeout(() => {
        finish("gap");
        request.destroy();
      }, 2400);
    };
    const request = sendRequest({
      host, port, agent, method: "POST", path: "/ask/1",
      headers: { Host: HOST, "Attempt-Id": id, "Deadline-Ms": 5000, "Model-Id": "m",
        "Token-Count": "383,20", "Prompt-Prefix": `5c1e07a2:92,${hex}:291`,
        "Content-Length": 2 },
    }, (response) => {
      entry.status = response.statusCode;
      entry.sealed = response.headers["response-seal"] !== undefined;
      let text = "";
      response.on("data", (bytes) => {
        text += bytes;
        entry.events = text.split("\n\n").length - 1;
        startGap();
      });
      response.on("end", () => finish("complete"));
      response.on("error", () => finish("cut"));
      response.on("close", () => finish("cut"));
    });
    startGap();
    request.on("error", (error) => finish(error.code ?? error.message));
    request.end("{}");
  });
}

/** ORDER: a stream ends as complete before its last piece. */
function judge() {
  const early = sent.filter(({ status, sealed, end, events }) =>
    status === 200 && sealed && end === "complete" && events < EVENTS
  );
  const unframed = [...runsById.values()].flat().filter(({ isUnframed }) => isUnframed);
  const lines = [
    `trouble: ${HAS_TROUBLE}, streams: ${sent.length}, VMs: ${fleet.vms.length}`,
    `ends of attempts: ${JSON.stringify(countBy(sent, (e) => `${e.status} ${e.end}`))}`,
    `runs: ${[...runsById.values()].flat().length}, without length or chunks: ${unframed.length}`,
    `machines' processes killed: ${kills.length} ${JSON.stringify(kills)}`,
    `ORDER: ${early.length} streams ended as complete before their last piece (of ${EVENTS})`,
  ];
  for (const { id, vm, events, at } of early) {
    lines.push(`stream ${id} at ${vm}, sent ${at}: 200, sealed, complete after ${events} events; ran ${
      JSON.stringify(runsById.get(id))}`);
    for (const { name, lines: log } of fleet.vms) {
      for (const line of log.filter((text) => text.includes(id))) lines.push(`  ${name}: ${line}`);
    }
  }
  lines.push("", "all streams: id, VM, sent (Unix ms), status, end, events, runs (runner, u if unframed)");
  for (const { id, vm, at, status, end, events } of sent) {
    const runs = (runsById.get(id) ?? []).map(({ runner, isUnframed }) =>
      `${runner}${isUnframed ? " u" : ""}`);
    lines.push(`${id} ${vm} ${at} ${status} ${end} ${events} ${runs.join(" ")}`);
  }
  writeFileSync(RECORD, lines.join("\n") + "\n");
  console.log(lines.slice(0, 5).join("\n"));
  if (!sent.some(({ end, events }) => end === "complete" && events === EVENTS)) return 2;
  return early.length > 0 ? 1 : 0;
}

function countBy(list, key) {
  const counts = {};
  for (const entry of list) counts[key(entry)] = (counts[key(entry)] ?? 0) + 1;
  return counts;
}

let code = 2;
try {
  code = await main();
} catch (error) {
  console.error(error);
}
for (const timer of timers) clearInterval(timer);
await fleet.stop();
for (const { child } of engines) child?.kill("SIGKILL");
store.stop();
process.exit(code);
