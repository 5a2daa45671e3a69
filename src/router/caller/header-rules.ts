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
const NONE_NAMED: readonly string[] = [];

/** Headers of a caller's request that go to the upstream. */
export function forwardedRequestHeaders(rawHeaders: readonly string[]): string[] {
  return filterHeaders(rawHeaders, (name) => !SET_BY_CLIENT.has(name));
}

/** Headers of an upstream's answer that go to the caller. */
export function forwardedAnswerHeaders(rawHeaders: readonly string[]): string[] {
  return filterHeaders(rawHeaders, () => true);
}

/** Whether a header as it came is called `name` (lower case). Most differ in length already. */
export function isCalled(header: string, name: string): boolean {
  return header.length === name.length && header.toLowerCase() === name;
}

/** Value of the first header called `name` (lower case). */
export function findHeader(rawHeaders: readonly string[], name: string): string | undefined {
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (isCalled(rawHeaders[index] as string, name)) {
      return rawHeaders[index + 1];
    }
  }
  return undefined;
}

/** The headers without those called one of `names` (lower case). */
export function withoutHeaders(rawHeaders: readonly string[], names: readonly string[]): string[] {
  return withoutNamed(rawHeaders, names);
}

/** How many headers are called `name` (lower case). */
export function countHeader(rawHeaders: readonly string[], name: string): number {
  let count = 0;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (isCalled(rawHeaders[index] as string, name)) {
      count += 1;
    }
  }
  return count;
}

/** Load that an upstream reported with an answer; `null` if it reported none. */
export function reportedLoad(rawHeaders: readonly string[]): number | null {
  const load = Number(findHeader(rawHeaders, HEADERS.load) ?? Number.NaN);
  return Number.isFinite(load) && load >= 0 ? load : null;
}

function filterHeaders(rawHeaders: readonly string[], passes: (name: string) => boolean): string[] {
  const kept: string[] = [];
  let named = NONE_NAMED;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] as string;
    const lower = name.toLowerCase();
    if (lower === 'connection') {
      named = [...named, ...namesIn(rawHeaders[index + 1] as string)];
    } else if (!lower.startsWith(INTERNAL_PREFIX) && !HOP_BY_HOP.has(lower) && passes(lower)) {
      kept.push(name, rawHeaders[index + 1] as string);
    }
  }
  return named.length === 0 ? kept : withoutNamed(kept, named);
}

/** Headers that a `Connection` header names are about this connection too. */
function namesIn(connectionHeader: string): string[] {
  const value = connectionHeader.toLowerCase();
  return value === 'keep-alive' || value === 'close' ? [] : value.split(',').map((name) => name.trim());
}

function withoutNamed(headers: readonly string[], named: readonly string[]): string[] {
  const kept: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] as string;
    if (!named.includes(name.toLowerCase())) {
      kept.push(name, headers[index + 1] as string);
    }
  }
  return kept;
}
