import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  type CrashReport,
  hashRequest,
  RequestQuarantine,
  type RequestQuarantineOptions,
} from "../../mod.ts";

const HOLD_MS = 60_000;

function build(options: RequestQuarantineOptions = {}): RequestQuarantine {
  return new RequestQuarantine({ holdMs: HOLD_MS, ...options });
}

/** Lives `l1` to `l<count>` end under the request, a second apart. */
function crash(
  quarantine: RequestQuarantine,
  count: number,
  request = "r",
  account = "a",
): void {
  for (let i = 1; i <= count; i++) {
    quarantine.recordCrash(request, account, `l${i}`, i * 1000);
  }
}

test("a request is held back once three lives of targets have ended under it", () => {
  const quarantine = build();
  crash(quarantine, 2);
  assert.equal(quarantine.findQuarantined("r", 2000), undefined);
  crash(quarantine, 3);
  assert.equal(quarantine.findQuarantined("r", 3000)?.untilMs, 3000 + HOLD_MS);
  assert.deepEqual(quarantine.findQuarantined("r", 3000)?.lives, [
    "l1",
    "l2",
    "l3",
  ]);
  assert.equal(quarantine.findQuarantined("other", 3000), undefined);
});

test("a life counts once, however many calls were lost there", () => {
  const quarantine = build();
  for (let i = 0; i < 5; i++) quarantine.recordCrash("r", "a", "l1", i);
  assert.equal(quarantine.countCrashes("r"), 1);
});

test("a run that goes well clears a request, also of word that comes late", () => {
  const quarantine = build();
  crash(quarantine, 3);
  assert.equal(quarantine.clear("r", 4000), true);
  assert.equal(quarantine.findQuarantined("r", 4000), undefined);
  crash(quarantine, 3);
  assert.equal(quarantine.countCrashes("r"), 0);
  quarantine.recordCrash("r", "a", "l4", 5000);
  assert.equal(quarantine.countCrashes("r"), 1);
});

// Seen once beside load: three crashes at once, told before any run that went well after them.
test("a request that just succeeded is not held back for crashes that come at once", () => {
  const quarantine = build();
  quarantine.markSuccess("r", 500);
  crash(quarantine, 3);
  assert.equal(quarantine.findQuarantined("r", 3000), undefined);
  const peer = build();
  peer.markSuccess("r", 500);
  const other = build();
  crash(other, 3);
  peer.mergePeerReports(other.listReports(undefined, 3000).reports, 3000);
  assert.equal(peer.findQuarantined("r", 3000), undefined);
  other.mergePeerReports(peer.listReports(undefined, 3000).reports, 3000);
  assert.equal(other.findQuarantined("r", 3000), undefined);
});

test("a success of long ago vouches for nothing", () => {
  const quarantine = build();
  quarantine.markSuccess("r", -60_000);
  crash(quarantine, 3);
  assert.ok(quarantine.findQuarantined("r", 3000));
});

test("with one more end to go, copies of a request are sent one at a time", () => {
  const quarantine = build();
  crash(quarantine, 1);
  assert.equal(quarantine.admit("r", 1000).kind, "free");
  crash(quarantine, 2);
  const first = quarantine.admit("r", 2000);
  assert.ok(first.kind === "trial");
  assert.equal(quarantine.admit("r", 2000).kind, "onTrial");
  first.end();
  assert.equal(quarantine.admit("r", 2000).kind, "trial");
});

test("a request that is tried again after its time and ends a target is held for twice as long", () => {
  const quarantine = build();
  crash(quarantine, 3);
  const laterMs = 3000 + HOLD_MS;
  assert.equal(quarantine.admit("r", laterMs).kind, "trial");
  quarantine.recordCrash("r", "a", "l4", laterMs);
  assert.equal(
    quarantine.findQuarantined("r", laterMs)?.untilMs,
    laterMs + 2 * HOLD_MS,
  );
});

test("a request of which nothing more is heard is forgotten", () => {
  const quarantine = build();
  crash(quarantine, 3);
  quarantine.expire(3000 + HOLD_MS);
  assert.equal(quarantine.isEmpty, false);
  quarantine.expire(3001 + 2 * HOLD_MS);
  assert.equal(quarantine.isEmpty, true);
});

test("one client account can't push out what is known of another one's requests", () => {
  const quarantine = build({ maxPerAccount: 4 });
  crash(quarantine, 3, "victim", "quiet");
  for (let i = 0; i < 50; i++) crash(quarantine, 1, `r${i}`, "noisy");
  assert.ok(quarantine.findQuarantined("victim", 3000));
  assert.equal(quarantine.listReports(undefined, 3000).reports.length, 3 + 4);
});

test("listeners hear of a request when it is held back, and of news once", () => {
  const quarantine = build();
  const changes: string[] = [];
  let news = 0;
  quarantine.registerChangeListener(({ kind, request, isOwn }) =>
    changes.push(`${kind} ${request} ${isOwn}`)
  );
  quarantine.registerReportListener(() => news++);
  crash(quarantine, 3);
  assert.deepEqual(changes, ["held r true"]);
  assert.equal(news, 3);
  const notes = quarantine.listReports(undefined, 3000).reports;
  quarantine.mergePeerReports(notes, 3000);
  assert.equal(news, 3);
  quarantine.clear("r", 4000);
  assert.deepEqual(changes.slice(1), ["cleared r true"]);
  const peer = build();
  peer.registerChangeListener(({ kind, isOwn }) =>
    changes.push(`${kind} at peer ${isOwn}`)
  );
  peer.mergePeerReports(notes, 3000);
  peer.mergePeerReports(quarantine.listReports(undefined, 4000).reports, 4000);
  assert.deepEqual(changes.slice(2), [
    "held at peer false",
    "cleared at peer false",
  ]);
});

test("peers agree whatever the order, the number and the age of what they hear", () => {
  const fact = fc.record({
    request: fc.constantFrom("r", "s"),
    life: fc.constantFrom("l1", "l2", "l3", "l4"),
    isCrash: fc.constantFrom<0 | 1>(0, 1),
  });
  const facts = fc.array(fact, { maxLength: 12 });
  const orders = facts.chain((list) =>
    fc.tuple(
      fc.shuffledSubarray(list, { minLength: list.length }),
      fc.shuffledSubarray(list, { minLength: list.length }),
    )
  );
  fc.assert(fc.property(orders, ([one, other]) => {
    const states = [one, [...other, ...other]].map((list) => {
      const quarantine = build();
      for (const { request, life, isCrash } of list) {
        const note: CrashReport = [request, "a", life, isCrash, 5];
        quarantine.mergePeerReports([note], 1000);
      }
      return ["r", "s"].map((request) => quarantine.countCrashes(request));
    });
    assert.deepEqual(states[0], states[1]);
  }));
});

test("a peer that is told from a cursor on knows as much as one that is told all", () => {
  const told = build();
  const source = build();
  let cursor: number | undefined;
  for (let i = 0; i < 900; i++) {
    source.recordCrash(`r${i % 40}`, "a", `l${i}`, i);
    if (i % 7 === 0) source.clear(`r${i % 40}`, i);
    if (i % 100 !== 0) continue;
    const notes = source.listReports(cursor, i);
    cursor = notes.cursor;
    told.mergePeerReports(notes.reports, i);
  }
  for (let left = 1; left > 0;) {
    const notes = source.listReports(cursor, 900);
    cursor = notes.cursor;
    told.mergePeerReports(notes.reports, 900);
    left = notes.reports.length;
  }
  for (let i = 0; i < 40; i++) {
    assert.equal(told.countCrashes(`r${i}`), source.countCrashes(`r${i}`));
  }
});

// When a zone's targets end together, thousands of requests are suspects at once.
test("many facts are told a part at a time, the oldest first, each once", () => {
  const source = build();
  for (let i = 0; i < 2000; i++) {
    source.recordCrash(`r${i}`, `a${i % 50}`, "l", i);
  }
  const seen: string[] = [];
  let cursor: number | undefined;
  for (let i = 0; i < 20; i++) {
    const { reports: notes, cursor: next } = source.listReports(cursor, 2000);
    assert.ok(notes.length <= 256);
    seen.push(...notes.map(([request]) => request));
    cursor = next;
  }
  assert.deepEqual(seen, Array.from({ length: 2000 }, (_, i) => `r${i}`));
});

test("the same method, host, path and body are one request; anything else is another", () => {
  const call = {
    method: "POST",
    host: "a.example",
    path: "/x",
    body: Buffer.from("body"),
  };
  const digest = hashRequest(call);
  assert.equal(hashRequest({ ...call }), digest);
  const others = [
    { ...call, method: "PUT" },
    { ...call, host: "b.example" },
    { ...call, path: "/x?q=1" },
    { ...call, body: Buffer.from("bodz") },
    { ...call, host: "a.exampl", path: "e/x" },
  ];
  for (const other of others) assert.notEqual(hashRequest(other), digest);
});
