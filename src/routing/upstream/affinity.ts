/**
 * Which upstreams a router prefers among equals. Each router has an order of its own, which others' coming and going doesn't change,
 * so it keeps to few upstreams, knows them and reuses its connections; over many routers the orders spread evenly.
 */
import type { RouterId, UpstreamId } from '../../model/identifiers.js';

/** FNV-1a, 32 bits. */
const OFFSET_BASIS = 0x811c9dc5;
const PRIME = 0x01000193;
/** Multipliers and shifts of MurmurHash3's finalizer: names that differ in one digit must land far apart. */
const MIX_FIRST = 0x85ebca6b;
const MIX_SECOND = 0xc2b2ae35;

/** Place of an upstream in the order of a router; the lowest are preferred. */
export function affinityOf(router: RouterId, upstream: UpstreamId): number {
  const text = `${router} ${upstream}`;
  let hash = OFFSET_BASIS;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), MIX_FIRST);
  hash = Math.imul(hash ^ (hash >>> 13), MIX_SECOND);
  return (hash ^ (hash >>> 16)) >>> 0;
}
