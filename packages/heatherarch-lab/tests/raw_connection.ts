/**
 * A client's connection on which requests are written as bytes, so that they may be pipelined and follow a
 * response that has not ended.
 *
 * @module
 */
import { once } from "node:events";
import { connect, type Socket } from "node:net";

/** A response as it arrived. */
export interface RawResponse {
  readonly status: number;
  readonly closesConnection: boolean;
  readonly body: string;
  /** Whether the response arrived to its end. */
  readonly isWhole: boolean;
}

/** A request to be written. */
export interface RawRequest {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly deadlineMs?: number;
  readonly body?: string;
}

const HEAD_END = "\r\n\r\n";
const LAST_CHUNK = "0\r\n\r\n";

/** One connection. */
export class RawConnection {
  readonly #socket: Socket;
  #received = "";

  private constructor(socket: Socket) {
    this.#socket = socket;
    socket.setEncoding("latin1");
    socket.on("data", (text: string) => (this.#received += text));
    socket.on("error", () => undefined);
  }

  /** Opens a connection to `host:port`. */
  static async open(address: string): Promise<RawConnection> {
    const [host, port] = address.split(":");
    const socket = connect({ host, port: Number(port), noDelay: true });
    await once(socket, "connect");
    return new RawConnection(socket);
  }

  /** Whether the connection has ended. */
  get isClosed(): boolean {
    return this.#socket.destroyed || this.#socket.readableEnded;
  }

  /** Writes requests at once. */
  send(...requests: readonly RawRequest[]): void {
    this.#socket.write(requests.map(formatRequest).join(""));
  }

  /** Returns what has arrived so far. */
  readResponses(): RawResponse[] {
    const responses: RawResponse[] = [];
    let rest = this.#received;
    while (rest.includes(HEAD_END)) {
      const start = rest.indexOf(HEAD_END) + HEAD_END.length;
      const head = rest.slice(0, start).toLowerCase();
      const { body, end } = readBody(head, rest.slice(start));
      responses.push({
        status: Number(head.slice("http/1.1 ".length).slice(0, 3)),
        closesConnection: head.includes("\r\nconnection: close"),
        body,
        isWhole: end !== undefined,
      });
      if (end === undefined) break;
      rest = rest.slice(start + end);
    }
    return responses;
  }

  /** Resolves when the connection has ended. */
  async waitClosed(): Promise<void> {
    if (!this.isClosed) await once(this.#socket, "close");
  }

  close(): void {
    this.#socket.destroy();
  }
}

function formatRequest(
  { method, path, deadlineMs, body = "" }: RawRequest,
): string {
  const lines = [
    `${method} ${path} HTTP/1.1`,
    "Host: h",
    ...(deadlineMs === undefined ? [] : [`X-Deadline-Ms: ${deadlineMs}`]),
    `Content-Length: ${Buffer.byteLength(body)}`,
  ];
  return `${lines.join("\r\n")}${HEAD_END}${body}`;
}

/** Reads a body as far as it has arrived. Its end is undefined if it is not complete. */
function readBody(
  head: string,
  text: string,
): { body: string; end: number | undefined } {
  const length = /\r\ncontent-length: (\d+)/.exec(head)?.[1];
  if (length !== undefined) {
    const isWhole = text.length >= Number(length);
    const body = text.slice(0, Number(length));
    return { body, end: isWhole ? Number(length) : undefined };
  }
  const last = text.indexOf(LAST_CHUNK);
  if (last < 0) return { body: text, end: undefined };
  return { body: text.slice(0, last), end: last + LAST_CHUNK.length };
}
