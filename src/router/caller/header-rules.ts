/** Which headers the router forwards. Headers are flat lists of names and values, as received. */
import { HEADERS } from '../../model/outcome.js';

/** Headers about one connection (RFC 9110, 7.6.1). */
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
/** Headers that the router's HTTP client sets itself. */
const SET_BY_CLIENT: ReadonlySet<string> = new Set(['content-length', 'expect']);
/** Prefix of the headers between router and upstream, which are never forwarded. */
const INTERNAL_PREFIX = 'ternmount-';
const NO_NAMES: readonly string[] = [];

/** Headers of a caller's request that are forwarded to the upstream. */
export function forwardedRequestHeaders(rawHeaders: readonly string[]): string[] {
  return filterHeaders(rawHeaders, (name) => !SET_BY_CLIENT.has(name));
}

/** Headers of an upstream's answer that are forwarded to the caller. */
export function forwardedAnswerHeaders(rawHeaders: readonly string[]): string[] {
  return filterHeaders(rawHeaders, () => true);
}

/** Whether `header`, as received, is `name` (lower case). Comparing lengths first avoids most conversions to lower case. */
export function isHeaderNamed(header: string, name: string): boolean {
  return header.length === name.length && header.toLowerCase() === name;
}

/** Value of the first header with `name` (lower case). */
export function findHeader(rawHeaders: readonly string[], name: string): string | undefined {
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (isHeaderNamed(rawHeaders[index] as string, name)) {
      return rawHeaders[index + 1];
    }
  }
  return undefined;
}

/** The headers without those named in `names` (lower case). */
export function withoutHeaders(rawHeaders: readonly string[], names: readonly string[]): string[] {
  return omitNamed(rawHeaders, names);
}

/** Number of headers with `name` (lower case). */
export function countHeader(rawHeaders: readonly string[], name: string): number {
  let count = 0;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (isHeaderNamed(rawHeaders[index] as string, name)) {
      count += 1;
    }
  }
  return count;
}

/** Load that an upstream reported with an answer, or `null` if it reported none. */
export function reportedLoad(rawHeaders: readonly string[]): number | null {
  const load = Number(findHeader(rawHeaders, HEADERS.load) ?? Number.NaN);
  return Number.isFinite(load) && load >= 0 ? load : null;
}

function filterHeaders(rawHeaders: readonly string[], isForwarded: (name: string) => boolean): string[] {
  const kept: string[] = [];
  let connectionNames = NO_NAMES;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] as string;
    const lower = name.toLowerCase();
    if (lower === 'connection') {
      connectionNames = [...connectionNames, ...namesInConnection(rawHeaders[index + 1] as string)];
    } else if (!lower.startsWith(INTERNAL_PREFIX) && !HOP_BY_HOP.has(lower) && isForwarded(lower)) {
      kept.push(name, rawHeaders[index + 1] as string);
    }
  }
  return connectionNames.length === 0 ? kept : omitNamed(kept, connectionNames);
}

/** Names listed in a `Connection` header; these headers are hop-by-hop too. */
function namesInConnection(connectionHeader: string): string[] {
  const value = connectionHeader.toLowerCase();
  return value === 'keep-alive' || value === 'close' ? [] : value.split(',').map((name) => name.trim());
}

function omitNamed(headers: readonly string[], names: readonly string[]): string[] {
  const kept: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] as string;
    if (!names.includes(name.toLowerCase())) {
      kept.push(name, headers[index + 1] as string);
    }
  }
  return kept;
}
