/**
 * Non-cryptographic hashing and rendezvous (highest random weight) placement.
 *
 * @module
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** 32-bit FNV-1a of `text`, continued from `seed` so that hashes can be chained. */
export function hashText(text: string, seed = FNV_OFFSET): number {
  let hash = seed;
  for (let i = 0; i < text.length; i++) {
    hash ^= text.charCodeAt(i);
    hash = Math.imul(hash, FNV_PRIME);
  }
  return hash >>> 0;
}

/** Finishes a hash so that nearby inputs differ in all bits (murmur3 finaliser). */
export function mixHash(hash: number): number {
  let h = hash;
  h ^= h >>> 16;
  h = Math.imul(h, 0x85ebca6b);
  h ^= h >>> 13;
  h = Math.imul(h, 0xc2b2ae35);
  h ^= h >>> 16;
  return h >>> 0;
}

/** Weight of `member` for `key`, both combined into one 32-bit value. */
export function computeRendezvousWeight(key: string, member: string): number {
  return mixHash(hashText(member, hashText(key)));
}

/** The `count` members with the highest weight for `key`, best first. */
export function pickRendezvous(
  key: string,
  members: readonly string[],
  count: number,
): string[] {
  const weighted = members.map((member) => ({
    member,
    weight: computeRendezvousWeight(key, member),
  }));
  weighted.sort((a, b) =>
    b.weight - a.weight || (a.member < b.member ? -1 : 1)
  );
  return weighted.slice(0, count).map((entry) => entry.member);
}
