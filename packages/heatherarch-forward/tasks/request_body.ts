/**
 * Reads the body of a client's request.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type { FramingBudget, HeldBody } from "heatherarch-client-limits";
import { ServeError } from "heatherarch-core";
import type { BodyReads } from "./client_reads.ts";

/** Options of {@linkcode readRequestBody}. */
export interface RequestBodyOptions {
  readonly request: IncomingMessage;
  readonly held: HeldBody;
  readonly maxBytes: number;
  readonly framing: FramingBudget;
  /** Undefined if the body has no framing. */
  readonly reads: BodyReads | undefined;
}

/** Reads the complete body; returns undefined if the client disconnected. */
export async function readRequestBody(
  { request, held, maxBytes, framing, reads }: RequestBodyOptions,
): Promise<Buffer | undefined> {
  const totalBytes = Math.min(readDeclaredBytes(request), maxBytes);
  const framed = reads === undefined ? undefined : framing.open();
  let size = 0;
  try {
    for await (const chunk of request) {
      size += (chunk as Buffer).length;
      reads?.recordBody((chunk as Buffer).length);
      if (size > maxBytes) {
        throw new ServeError("payloadTooLarge", `body over ${maxBytes} bytes`);
      }
      held.append(chunk as Buffer, totalBytes);
      await framed?.awaitTurn(reads?.framingBytes ?? 0);
    }
  } catch (error) {
    if (error instanceof ServeError) throw error;
    // The client closed its connection, so no response can be sent.
    return undefined;
  } finally {
    framed?.close();
  }
  return held.complete();
}

/** Returns the size that the request declares; infinite for a chunked body. */
function readDeclaredBytes({ headers }: IncomingMessage): number {
  const declared = headers["content-length"];
  return declared === undefined ? Infinity : Number(declared);
}
