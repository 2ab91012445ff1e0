// Stand-in for the platform's metadata store: topics of records in memory, as PROTOCOL.md describes.
import { createServer } from "node:http";

export class Store {
  #topics = new Map();
  #server;
  #waiters = new Set();
  address = "";

  async start(ip) {
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    await new Promise((resolve) => this.#server.listen(0, ip, resolve));
    this.address = `${ip}:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes the newest record of a key; without a value the key is dropped. */
  put(topic, key, value) {
    const name = Buffer.from(key);
    const text = value === undefined ? "" : JSON.stringify(value);
    this.append(topic, Buffer.concat([
      Buffer.from([name.length]), name, Buffer.from(text),
    ]));
  }

  append(topic, record) {
    this.#get(topic).push(record);
    for (const wake of [...this.#waiters]) wake();
  }

  #get(topic) {
    if (!this.#topics.has(topic)) this.#topics.set(topic, []);
    return this.#topics.get(topic);
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const url = new URL(request.url, "http://store");
    const topic = url.searchParams.get("topic") ?? "";
    const part = url.searchParams.get("part") ?? "0";
    const name = part === "0" ? topic : `${topic}#${part}`;
    response.setHeader("Store-Era", "0");
    switch (url.pathname) {
      case "/api/log-append":
        return this.#append(url, name, Buffer.concat(chunks), response);
      case "/api/log-read":
        return await this.#read(url, name, response);
      case "/api/log-newest":
        return this.#newest(name, response);
      default:
        response.writeHead(404).end();
    }
  }

  #append(url, name, body, response) {
    const records = this.#get(name);
    const asOf = url.searchParams.get("asOf");
    if (asOf !== null && Number(asOf) !== records.length) {
      return sendJson(response, 412, { endOffset: records.length });
    }
    const offset = records.length;
    for (let at = 0; at + 4 <= body.length;) {
      const length = body.readUInt32BE(at);
      this.append(name, body.subarray(at + 4, at + 4 + length));
      at += 4 + length;
    }
    // An append takes 4 ms.
    setTimeout(
      () => sendJson(response, 200, { offset, endOffset: this.#get(name).length }),
      4,
    );
  }

  async #read(url, name, response) {
    const from = Number(url.searchParams.get("from"));
    const waitMs = Math.min(30_000, Number(url.searchParams.get("waitMs") ?? 0));
    const records = this.#get(name);
    const untilMs = performance.now() + waitMs;
    while (records.length <= from && performance.now() < untilMs) {
      await new Promise((resolve) => {
        const done = () => {
          clearTimeout(timer);
          this.#waiters.delete(done);
          resolve();
        };
        const timer = setTimeout(done, untilMs - performance.now());
        this.#waiters.add(done);
        response.once("close", done);
      });
      if (response.destroyed) return;
    }
    if (from > records.length) return sendJson(response, 410, { firstOffset: 0 });
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(records.length));
    const parts = [head];
    for (const record of records.slice(from)) {
      const length = Buffer.alloc(4);
      length.writeUInt32BE(record.length);
      parts.push(length, record);
    }
    const body = Buffer.concat(parts);
    response.writeHead(200, { "Content-Length": body.length }).end(body);
  }

  #newest(name, response) {
    const newest = new Map();
    const records = this.#get(name);
    records.forEach((record, offset) => {
      const key = record.toString("utf8", 1, 1 + record[0]);
      const value = record.subarray(1 + record[0]);
      if (value.length === 0) newest.delete(key);
      else newest.set(key, { key, value: value.toString("base64"), offset });
    });
    sendJson(response, 200, {
      items: [...newest.values()],
      hasMore: false,
      endOffset: records.length,
    });
  }
}

function sendJson(response, status, value) {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    "Content-Type": "application/json",
    "Content-Length": Buffer.byteLength(body),
  }).end(body);
}
