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

/** Records crashes of incarnations `l1` to `l<count>` that ran the request, a second apart. */
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

test("a request is quarantined once three target incarnations have crashed while running it", () => {
  const quarantine = build();
  crash(quarantine, 2);
  assert.equal(quarantine.findQuarantined("r", 2000), undefined);
  crash(quarantine, 3);
  assert.equal(quarantine.findQuarantined("r", 3000)?.untilMs, 3000 + HOLD_MS);
  assert.deepEqual(quarantine.findQuarantined("r", 3000)?.incarnations, [
    "l1",
    "l2",
    "l3",
  ]);
  assert.equal(quarantine.findQuarantined("other", 3000), undefined);
});

test("an incarnation counts once, however many calls were lost there", () => {
  const quarantine = build();
  for (let i = 0; i < 5; i++) quarantine.recordCrash("r", "a", "l1", i);
  assert.equal(quarantine.countCrashes("r"), 1);
});

test("clearing a request also clears it of repeated reports that arrive later", () => {
  const quarantine = build();
  crash(quarantine, 3);
  assert.equal(quarantine.clear("r", 4000), true);
  assert.equal(quarantine.findQuarantined("r", 4000), undefined);
  crash(quarantine, 3);
  assert.equal(quarantine.countCrashes("r"), 0);
  quarantine.recordCrash("r", "a", "l4", 5000);
  assert.equal(quarantine.countCrashes("r"), 1);
});

// Under load, three simultaneous crashes were reported before a later successful run could clear
// the request, and the request was quarantined.
test("a request that just succeeded is not quarantined for simultaneous crashes", () => {
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

test("a success older than a minute does not clear a request of new crashes", () => {
  const quarantine = build();
  quarantine.markSuccess("r", -60_000);
  crash(quarantine, 3);
  assert.ok(quarantine.findQuarantined("r", 3000));
});

test("copies of a request are sent one at a time when one more crash would quarantine it", () => {
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

test("a request that crashes a target after its quarantine is quarantined for twice as long", () => {
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

test("a request without further reports is dropped", () => {
  const quarantine = build();
  crash(quarantine, 3);
  quarantine.expire(3000 + HOLD_MS);
  assert.equal(quarantine.isEmpty, false);
  quarantine.expire(3001 + 2 * HOLD_MS);
  assert.equal(quarantine.isEmpty, true);
});

test("one client account can't evict the suspected requests of another one", () => {
  const quarantine = build({ maxPerAccount: 4 });
  crash(quarantine, 3, "victim", "quiet");
  for (let i = 0; i < 50; i++) crash(quarantine, 1, `r${i}`, "noisy");
  assert.ok(quarantine.findQuarantined("victim", 3000));
  assert.equal(quarantine.listReports(undefined, 3000).reports.length, 3 + 4);
});

test("listeners are called once for each change and for each new report", () => {
  const quarantine = build();
  const changes: string[] = [];
  let newReports = 0;
  quarantine.registerChangeListener(({ kind, request, isOwn }) =>
    changes.push(`${kind} ${request} ${isOwn}`)
  );
  quarantine.registerReportListener(() => newReports++);
  crash(quarantine, 3);
  assert.deepEqual(changes, ["held r true"]);
  assert.equal(newReports, 3);
  const reports = quarantine.listReports(undefined, 3000).reports;
  quarantine.mergePeerReports(reports, 3000);
  assert.equal(newReports, 3);
  quarantine.clear("r", 4000);
  assert.deepEqual(changes.slice(1), ["cleared r true"]);
  const peer = build();
  peer.registerChangeListener(({ kind, isOwn }) =>
    changes.push(`${kind} at peer ${isOwn}`)
  );
  peer.mergePeerReports(reports, 3000);
  peer.mergePeerReports(quarantine.listReports(undefined, 4000).reports, 4000);
  assert.deepEqual(changes.slice(2), [
    "held at peer false",
    "cleared at peer false",
  ]);
});

test("replicas converge regardless of the order and number of reports", () => {
  const report = fc.record({
    request: fc.constantFrom("r", "s"),
    incarnation: fc.constantFrom("l1", "l2", "l3", "l4"),
    isCrash: fc.constantFrom<0 | 1>(0, 1),
  });
  const reports = fc.array(report, { maxLength: 12 });
  const orders = reports.chain((list) =>
    fc.tuple(
      fc.shuffledSubarray(list, { minLength: list.length }),
      fc.shuffledSubarray(list, { minLength: list.length }),
    )
  );
  fc.assert(fc.property(orders, ([one, other]) => {
    const states = [one, [...other, ...other]].map((list) => {
      const quarantine = build();
      for (const { request, incarnation, isCrash } of list) {
        const single: CrashReport = [request, "a", incarnation, isCrash, 5];
        quarantine.mergePeerReports([single], 1000);
      }
      return ["r", "s"].map((request) => quarantine.countCrashes(request));
    });
    assert.deepEqual(states[0], states[1]);
  }));
});

test("a peer that reads page by page from a cursor reaches the state of the source", () => {
  const peer = build();
  const source = build();
  let cursor: number | undefined;
  for (let i = 0; i < 900; i++) {
    source.recordCrash(`r${i % 40}`, "a", `l${i}`, i);
    if (i % 7 === 0) source.clear(`r${i % 40}`, i);
    if (i % 100 !== 0) continue;
    const page = source.listReports(cursor, i);
    cursor = page.cursor;
    peer.mergePeerReports(page.reports, i);
  }
  for (let left = 1; left > 0;) {
    const page = source.listReports(cursor, 900);
    cursor = page.cursor;
    peer.mergePeerReports(page.reports, 900);
    left = page.reports.length;
  }
  for (let i = 0; i < 40; i++) {
    assert.equal(peer.countCrashes(`r${i}`), source.countCrashes(`r${i}`));
  }
});

// When all targets of a zone crash together, thousands of requests become suspects at once.
test("many reports are listed in pages, oldest first, each once", () => {
  const source = build();
  for (let i = 0; i < 2000; i++) {
    source.recordCrash(`r${i}`, `a${i % 50}`, "l", i);
  }
  const seen: string[] = [];
  let cursor: number | undefined;
  for (let i = 0; i < 20; i++) {
    const { reports, cursor: next } = source.listReports(cursor, 2000);
    assert.ok(reports.length <= 256);
    seen.push(...reports.map(([request]) => request));
    cursor = next;
  }
  assert.deepEqual(seen, Array.from({ length: 2000 }, (_, i) => `r${i}`));
});

test("requests with the same method, host, path and body share a digest, and no others do", () => {
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
