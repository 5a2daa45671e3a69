/**
 * Headers on which an answer may depend besides service, key and target. Reads that share an answer must have the same ones:
 * cookies, credentials, ranges, conditions, languages and any other header that isn't ignored.
 */

/** Headers about the caller's connection or for tracing, on which a shared answer doesn't depend. */
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
/** Prefix of browsers' client hints and fetch metadata. */
const IGNORED_PREFIX = 'sec-';
/** The router's own headers never reach the upstream, so no answer depends on them. */
const INTERNAL_PREFIX = 'ternmount-';

/** Returns the headers that must be equal for reads to share an answer, or `null` for a read with a body, which shares none. */
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

/** Whether an answer is for one caller only, or depends on headers that may differ between reads that share it. */
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
        if (value.split(',').some((name) => isVaryingIgnored(name.trim().toLowerCase()))) {
          return true;
        }
    }
  }
  return false;
}

function isVaryingIgnored(name: string): boolean {
  return name === '*' || IGNORED.has(name) || name.startsWith(IGNORED_PREFIX);
}
