/**
 * Filters the headers that a proxy forwards from one connection to another.
 *
 * @module
 */

/** Hop-by-hop headers (RFC 9110, section 7.6.1). */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/**
 * Copies the end-to-end headers of a list of alternating names and values, except those in
 * `excluded`.
 */
export function copyEndToEndHeaders(
  raw: readonly string[],
  excluded: ReadonlySet<string> = new Set(),
): string[] {
  const connectionOptions = listConnectionOptions(raw);
  const kept: string[] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i].toLowerCase();
    if (
      CONNECTION_HEADERS.has(name) || connectionOptions.has(name) ||
      excluded.has(name)
    ) {
      continue;
    }
    kept.push(raw[i], raw[i + 1]);
  }
  return kept;
}

/** Lists the header names that `Connection` headers declare as hop-by-hop. */
function listConnectionOptions(raw: readonly string[]): Set<string> {
  const options = new Set<string>();
  for (let i = 0; i + 1 < raw.length; i += 2) {
    if (raw[i].toLowerCase() !== "connection") continue;
    for (const name of raw[i + 1].split(",")) {
      options.add(name.trim().toLowerCase());
    }
  }
  return options;
}
