// Stand-in for a model runner, as PROTOCOL.md describes it: it either prefills prompts or decodes and
// streams events. One in trouble begins an answer, and sends bytes that are no event without end.
import { randomBytes } from "node:crypto";
import { createServer } from "node:http";

const CHUNK = Buffer.alloc(64 * 1024, "x");

export class Engine {
  /** Requests that began to run. */
  runs = [];
  prefills = 0;
  endless = [];
  /** Streams without end that may be begun; none by default. */
  mayBeginEndless = () => false;
  /** Whether the next stream has neither a length nor chunks and ends with its connection. */
  isNextUnframed = () => false;
  onRun = () => undefined;
  #server;
  #sequence = 0;
  #busyUntil = 0;
  /** When this runner may send the next bytes of its answers without end. */
  #nextChunkAt = 0;
  #sockets = new Set();

  constructor(options) {
    Object.assign(this, {
      service: "llm", slots: 64, prefillMs: 60, events: 6, eventMs: 30,
      reconfigMs: 3000, bytesPerS: 100e6,
    }, options);
  }

  async start(ip) {
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 15_000;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
      socket.on("error", () => undefined);
    });
    await new Promise((resolve) => this.#server.listen(0, ip, resolve));
    this.address = `${ip}:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  get entry() {
    return {
      service: this.service, address: this.address, zone: this.zone,
      version: "v1", slots: this.slots, state: "ready", coldLeftMs: 0,
      stage: this.stage, models: [{ name: "m", version: 1, adapters: [] }],
      sequence: 1,
    };
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const { url, headers } = request;
    const id = headers["attempt-id"];
    if (id !== undefined) response.setHeader("Attempt-Id", id);
    if (url === "/health") return sendJson(response, 200, {});
    const expected = headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      return response.writeHead(421, { "Instance-Id": this.id }).end();
    }
    if (url === "/api/report") return sendJson(response, 200, this.#report);
    if (url === "/api/kv-list") return sendJson(response, 200, { epoch: "e", next: 0, held: [] });
    if (url.startsWith("/api/kv-handle/")) return sendJson(response, 200, {});
    if (url === "/api/order") return this.#order(JSON.parse(Buffer.concat(chunks)), response);
    if (id === undefined) return response.writeHead(400, { "Not-Executed": "1" }).end();
    const isPrefill = headers["serving-stage"] === "prefill";
    if (Date.now() < this.#busyUntil) {
      return response.writeHead(503, { "Not-Executed": "1" }).end();
    }
    if (isPrefill !== (this.stage === "prefill")) {
      return response.writeHead(421, { "Instance-Id": this.id }).end();
    }
    if (isPrefill) {
      this.prefills++;
      await sleep(this.prefillMs);
      return sendJson(response, 200, {
        kvHandle: randomBytes(6).toString("hex"), tokens: 1460, version: 1,
      });
    }
    if (this.isNextUnframed()) return await this.#streamUnframed(id, request.socket);
    await this.#stream(id, headers, response);
  }

  get #report() {
    return {
      stage: this.stage, models: [{ name: "m", version: 1, adapters: [] }],
      busy: Date.now() < this.#busyUntil, sequence: this.#sequence, queued: 0,
      active: 0, kvUsed: 0, kvTotal: 468842, kvHandles: 0,
    };
  }

  #order({ opcode, stage, expect }, response) {
    if (opcode !== "stage") return response.writeHead(400).end();
    if (expect !== undefined && expect !== this.#sequence) return response.writeHead(409).end();
    if (stage === this.stage) return sendJson(response, 200, {});
    this.#sequence++;
    this.#busyUntil = Date.now() + this.reconfigMs;
    this.stage = stage;
    sendJson(response, 202, {});
  }

  #recordRun(id, isUnframed) {
    const run = { id, at: Date.now(), runner: this.id, isUnframed };
    this.runs.push(run);
    this.onRun(run);
  }

  async #streamUnframed(id, socket) {
    this.#recordRun(id, true);
    socket.write(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n" +
        `Weight-Versions: 1\r\nAttempt-Id: ${id}\r\nResponse-Seal: seal.${this.id}.${id}\r\n\r\n`,
    );
    for (let event = 1; event <= this.events; event++) {
      await sleep(this.eventMs);
      if (socket.destroyed) return;
      socket.write(formatEvent(event, id));
    }
    socket.end();
  }

  async #stream(id, headers, response) {
    this.#recordRun(id, false);
    response.writeHead(200, {
      "Content-Type": "text/event-stream", "Weight-Versions": "1",
      "Response-Seal": `seal.${this.id}.${id}`,
    });
    response.flushHeaders();
    if (this.mayBeginEndless()) return await this.#streamEndless(id, response);
    const from = Number(headers["last-event-id"] ?? 0) + 1;
    for (let event = from; event <= this.events; event++) {
      await sleep(this.eventMs);
      if (response.destroyed) return;
      response.write(formatEvent(event, id));
    }
    response.end();
  }

  /** Sends bytes until the caller closes, within `bytesPerS` for all such answers together. */
  async #streamEndless(id, response) {
    const entry = { id, from: Date.now(), bytes: 0 };
    this.endless.push(entry);
    while (!response.destroyed) {
      if (!response.write(CHUNK)) {
        await new Promise((resolve) => {
          const done = () => {
            response.off("drain", done);
            response.off("close", done);
            resolve();
          };
          response.on("drain", done);
          response.on("close", done);
        });
      }
      entry.bytes += CHUNK.length;
      const chunkMs = CHUNK.length / this.bytesPerS * 1000;
      this.#nextChunkAt = Math.max(this.#nextChunkAt, Date.now()) + chunkMs;
      await sleep(Math.max(1, this.#nextChunkAt - Date.now()));
    }
    entry.until = Date.now();
  }
}

function formatEvent(event, id) {
  return `id: ${event}\ndata: piece ${event} of ${id}\n\n`;
}

function sendJson(response, status, value) {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    "Content-Type": "application/json", "Content-Length": Buffer.byteLength(body),
  }).end(body);
}

function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
