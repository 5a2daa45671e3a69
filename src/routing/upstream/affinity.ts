/**
 * A router's order of preference among equal upstreams. Each router has its own order, which doesn't change when other upstreams are added or
 * removed. The router thus uses few upstreams, has current data about them and reuses its connections. Over many routers the load is even.
 */
import type { RouterId, UpstreamId } from '../../model/identifiers.js';

/** FNV-1a, 32 bits. */
const OFFSET_BASIS = 0x811c9dc5;
const PRIME = 0x01000193;
/** Multipliers of MurmurHash3's finalizer, which separates the hashes of names that differ in one digit. */
const MIX_FIRST = 0x85ebca6b;
const MIX_SECOND = 0xc2b2ae35;

/** Returns the position of an upstream in a router's order; lower values are preferred. */
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
