/**
 * Which headers pass from one connection to another.
 *
 * @module
 */

/** Headers that concern a single connection (RFC 9110, section 7.6.1). */
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

/** Copies end-to-end headers of an alternating list, without those that `drop` names. */
export function copyEndToEndHeaders(
  raw: readonly string[],
  drop: ReadonlySet<string> = new Set(),
): string[] {
  const named = listNamedByConnection(raw);
  const kept: string[] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i].toLowerCase();
    if (CONNECTION_HEADERS.has(name) || named.has(name) || drop.has(name)) {
      continue;
    }
    kept.push(raw[i], raw[i + 1]);
  }
  return kept;
}

/** Names listed in `Connection` headers. */
function listNamedByConnection(raw: readonly string[]): Set<string> {
  const named = new Set<string>();
  for (let i = 0; i + 1 < raw.length; i += 2) {
    if (raw[i].toLowerCase() !== "connection") continue;
    for (const name of raw[i + 1].split(",")) {
      named.add(name.trim().toLowerCase());
    }
  }
  return named;
}
