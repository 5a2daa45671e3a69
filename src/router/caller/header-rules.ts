/** Which headers pass through the router. Headers are flat lists of name and value, as they came. */
import { HEADERS } from '../../model/outcome.js';

/** Headers about one connection (RFC 9110, 7.6.1), and those that the router's own HTTP client or server sets. */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);
const SET_BY_CLIENT: ReadonlySet<string> = new Set(['content-length', 'expect']);
/** Headers between router and upstream; nobody else's copies pass. */
const INTERNAL_PREFIX = 'ternmount-';

/** Headers of a caller's request that go to the upstream. */
export function forwardedRequestHeaders(rawHeaders: readonly string[]): string[] {
  return filterHeaders(rawHeaders, (name) => !SET_BY_CLIENT.has(name));
}

/** Headers of an upstream's answer that go to the caller. */
export function forwardedAnswerHeaders(rawHeaders: readonly string[]): string[] {
  return filterHeaders(rawHeaders, () => true);
}

/** Value of the first header called `name` (lower case). */
export function findHeader(rawHeaders: readonly string[], name: string): string | undefined {
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() === name) {
      return rawHeaders[index + 1];
    }
  }
  return undefined;
}

/** Load that an upstream reported with an answer; `null` if it reported none. */
export function reportedLoad(rawHeaders: readonly string[]): number | null {
  const load = Number(findHeader(rawHeaders, HEADERS.load) ?? Number.NaN);
  return Number.isFinite(load) && load >= 0 ? load : null;
}

function filterHeaders(rawHeaders: readonly string[], passes: (name: string) => boolean): string[] {
  const named = connectionHeaders(rawHeaders);
  const kept: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] as string;
    const lower = name.toLowerCase();
    const internal = lower.startsWith(INTERNAL_PREFIX);
    if (!internal && !HOP_BY_HOP.has(lower) && !named.has(lower) && passes(lower)) {
      kept.push(name, rawHeaders[index + 1] as string);
    }
  }
  return kept;
}

/** Headers that `Connection` names are about this connection too. */
function connectionHeaders(rawHeaders: readonly string[]): ReadonlySet<string> {
  const named = new Set<string>();
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() === 'connection') {
      for (const name of (rawHeaders[index + 1] ?? '').split(',')) {
        named.add(name.trim().toLowerCase());
      }
    }
  }
  return named;
}
