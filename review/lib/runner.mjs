// Stand-in for a runner of a plain service, as PROTOCOL.md describes it. A faulty one sends a part of
// its answers twice; the second copy comes late, where the next answer on the connection is expected.
import { createServer } from "node:http";

export class Runner {
  /** Requests that began to run: id, time, and whether the connection carried a late copy. */
  runs = [];
  /** Requests with an id that were not run. */
  rejected = [];
  copies = [];
  extraShare = 0;
  #active = 0;
  #waiting = [];
  #pendingCopy = new WeakMap();
  #server;

  constructor(options) {
    Object.assign(this, { slots: 6, queue: 24, drawWorkMs: () => 50 }, options);
  }

  async start(ip) {
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 15_000;
    await new Promise((resolve) => this.#server.listen(0, ip, resolve));
    this.address = `${ip}:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Entry of the list of runners. */
  get entry() {
    return {
      service: this.service, address: this.address, zone: this.zone,
      version: "v1", slots: this.slots, state: "ready", coldLeftMs: 0,
      sequence: 1,
    };
  }

  async #handle(request, response) {
    for await (const _ of request);
    const { socket } = request;
    const copy = this.#pendingCopy.get(socket);
    if (copy !== undefined) {
      this.#pendingCopy.delete(socket);
      socket.write(copy.bytes);
      this.copies.push({
        at: Date.now(), status: copy.status, of: copy.id ?? "(no id)",
        whereExpected: request.headers["attempt-id"] ?? "(no id)",
      });
    }
    const id = request.headers["attempt-id"];
    if (id === undefined) {
      if (request.url === "/health") {
        return this.#send(socket, response, 200, undefined, {
          "Instance-Id": this.id,
        });
      }
      // "Not-Executed [...] 400 without an id"
      return this.#send(socket, response, 400, undefined, { "Not-Executed": "1" });
    }
    const expected = request.headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      this.rejected.push({ id, status: 421 });
      return this.#send(socket, response, 421, id, { "Instance-Id": this.id });
    }
    if (this.#active >= this.slots && this.#waiting.length >= this.queue) {
      this.rejected.push({ id, status: 503 });
      return this.#send(socket, response, 503, id, { "Not-Executed": "1" });
    }
    if (this.#active >= this.slots) {
      await new Promise((resolve) => this.#waiting.push(resolve));
    } else this.#active++;
    this.runs.push({ id, at: Date.now(), runner: this.id, method: request.method });
    await new Promise((resolve) => setTimeout(resolve, this.drawWorkMs()));
    const next = this.#waiting.shift();
    if (next === undefined) this.#active--;
    else next();
    this.#send(socket, response, 200, id, {
      "Response-Seal": `seal.${this.id}.${id}`,
    }, `answer to ${id}`);
  }

  #send(socket, response, status, id, headers, text = "") {
    const all = {
      ...(id === undefined ? {} : { "Attempt-Id": id }),
      "Server-Load": `${this.#active},${this.#waiting.length},${this.slots}`,
      ...headers,
      "Content-Length": Buffer.byteLength(text),
    };
    if (socket.destroyed) return;
    if (Math.random() < this.extraShare) {
      const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`);
      const bytes = `HTTP/1.1 ${status} X\r\n${lines.join("")}\r\n${text}`;
      this.#pendingCopy.set(socket, { bytes, status, id });
    }
    response.writeHead(status, all);
    response.end(text);
  }
}
