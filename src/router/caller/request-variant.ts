/**
 * What an answer may depend on besides service, key and target. Reads that share an answer must agree in it: cookies,
 * credentials, ranges, conditions, languages and whatever else a caller sends.
 */

/** Headers about the caller's connection or for tracing, on which answers that may be shared don't depend. */
const IGNORED: ReadonlySet<string> = new Set([
  'connection',
  'date',
  'dnt',
  'host',
  'keep-alive',
  'priority',
  'referer',
  'traceparent',
  'tracestate',
  'user-agent',
  'x-request-id',
]);
/** Hints of browsers about themselves. */
const IGNORED_PREFIX = 'sec-';
/** The router's own headers never reach the upstream, so no answer depends on them. */
const INTERNAL_PREFIX = 'ternmount-';

/** `null` for a read with a body, which shares no answer. */
export function variantOf(rawHeaders: readonly string[], bodyBytes: number): string | null {
  if (bodyBytes > 0) {
    return null;
  }
  let variant = '';
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] as string).toLowerCase();
    if (!IGNORED.has(name) && !name.startsWith(IGNORED_PREFIX) && !name.startsWith(INTERNAL_PREFIX)) {
      variant += `${name}:${rawHeaders[index + 1]}\n`;
    }
  }
  return variant;
}

/** Whether an answer is for its requester alone, or depends on headers that reads which shared it may differ in. */
export function isPersonal(rawHeaders: readonly string[]): boolean {
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const value = rawHeaders[index + 1] as string;
    switch ((rawHeaders[index] as string).toLowerCase()) {
      case 'set-cookie':
        return true;
      case 'cache-control':
        if (/\b(?:private|no-store)\b/i.test(value)) {
          return true;
        }
        break;
      case 'vary':
        if (value.split(',').some((name) => variesBeyond(name.trim().toLowerCase()))) {
          return true;
        }
    }
  }
  return false;
}

function variesBeyond(name: string): boolean {
  return name === '*' || IGNORED.has(name) || name.startsWith(IGNORED_PREFIX);
}
