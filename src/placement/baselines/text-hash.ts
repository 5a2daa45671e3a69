/** Well-mixed 32-bit hashes for the baselines. */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** Returns a hash from 0 to 2^32 - 1. */
export function hashText(text: string): number {
  return hasher.h32(text);
}

/** Mixes two hashes into one (the finaliser of MurmurHash3). */
export function mixHashes(one: number, other: number): number {
  let hash = one ^ Math.imul(other, 0x9e3779b1);
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
