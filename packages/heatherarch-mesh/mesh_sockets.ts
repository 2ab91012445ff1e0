/**
 * Sockets of the mesh, with or without mutual TLS.
 *
 * @module
 */
import { connect, createServer, type Server, Socket } from "node:net";
import {
  connect as connectTls,
  createServer as createTlsServer,
} from "node:tls";

/** TLS certificates and key of the mesh, in PEM format. */
export interface MeshTls {
  readonly cert: string;
  readonly key: string;
  readonly ca: string;
}

/** Listens on `ip:port`. */
export async function listenSockets(
  address: string,
  tls: MeshTls | undefined,
  onSocket: (socket: Socket) => void,
): Promise<Server> {
  const { host, port } = splitAddress(address);
  const server: Server = tls === undefined
    ? createServer(onSocket)
    : createTlsServer(buildTlsOptions(tls), onSocket);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  return server;
}

/**
 * Connects to `ip:port`. The handshake of the link identifies the peer, not its host name. An address
 * that can't be dialled, which peers may announce, ends like a refused connection.
 */
export function dialSocket(address: string, tls: MeshTls | undefined): Socket {
  try {
    return openSocket(address, tls);
  } catch (error) {
    return new Socket().destroy(error as Error);
  }
}

function openSocket(address: string, tls: MeshTls | undefined): Socket {
  const { host, port } = splitAddress(address);
  if (tls === undefined) return connect({ host, port });
  return connectTls({
    host,
    port,
    ...buildTlsOptions(tls),
    checkServerIdentity: () => undefined,
  });
}

/** Splits `ip:port`. An IPv6 address is in brackets. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(":");
  const host = address.slice(0, colon).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(colon + 1)) };
}

function buildTlsOptions(tls: MeshTls) {
  return {
    cert: tls.cert,
    key: tls.key,
    ca: tls.ca,
    requestCert: true,
    rejectUnauthorized: true,
  };
}
