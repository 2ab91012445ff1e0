/**
 * Non-cryptographic hashing and rendezvous hashing (highest random weight).
 *
 * @module
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Computes the 32-bit FNV-1a hash of `text`. It starts from `seed`, so hashes can be chained. */
export function hashText(text: string, seed = FNV_OFFSET): number {
  let hash = seed;
  for (let i = 0; i < text.length; i++) {
    hash ^= text.charCodeAt(i);
    hash = Math.imul(hash, FNV_PRIME);
  }
  return hash >>> 0;
}

/** Applies the murmur3 finalizer, so that similar inputs differ in all bits. */
export function mixHash(hash: number): number {
  let h = hash;
  h ^= h >>> 16;
  h = Math.imul(h, 0x85ebca6b);
  h ^= h >>> 13;
  h = Math.imul(h, 0xc2b2ae35);
  h ^= h >>> 16;
  return h >>> 0;
}

/** Computes the 32-bit weight of `member` for `key`. */
export function computeRendezvousWeight(key: string, member: string): number {
  return mixHash(hashText(member, hashText(key)));
}

/** Returns the `count` members with the highest weights for `key`, in descending order. */
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
