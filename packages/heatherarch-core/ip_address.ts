/**
 * Parses addresses of the form `ip:port`.
 *
 * @module
 */
import { isIPv4, isIPv6 } from "node:net";

/** An address to which a connection can be opened. */
export interface IpAddress {
  /** Without the brackets of an IPv6 address. */
  readonly host: string;
  readonly family: 4 | 6;
  readonly port: number;
}

const MAX_PORT = 65_535;
const MAX_PORT_DIGITS = 5;
const DIGITS: ReadonlySet<string> = new Set("0123456789");

/** Parses `ip:port`, with an IPv6 address in brackets; undefined if no connection can be opened to it. */
export function parseIpAddress(text: string): IpAddress | undefined {
  const colon = text.lastIndexOf(":");
  if (colon < 0) return undefined;
  const port = parsePort(text.slice(colon + 1));
  if (port === undefined) return undefined;
  const host = text.slice(0, colon);
  if (isIPv4(host)) return { host, family: 4, port };
  const inner = host.slice(1, -1);
  if (host !== `[${inner}]` || !isIPv6(inner)) return undefined;
  return { host: inner, family: 6, port };
}

/** Parses a port of 1 to 65535. `Number` alone would take other notations, such as hexadecimal. */
function parsePort(text: string): number | undefined {
  const isDecimal = text.length <= MAX_PORT_DIGITS &&
    [...text].every((char) => DIGITS.has(char));
  const port = isDecimal ? Number(text) : 0;
  return port >= 1 && port <= MAX_PORT ? port : undefined;
}
