/**
 * Operators' tokens. A token is 256 random bits, so that one SHA-256 of it is enough to store: there is nothing to guess
 * that a slow hash would have to protect.
 */
import { createHash, randomBytes, timingSafeEqual } from 'node:crypto';

/** `read` may look; `write` may also change. */
export const OPERATOR_ROLES = ['read', 'write'] as const;
export type OperatorRole = (typeof OPERATOR_ROLES)[number];

/** Who asks. */
export interface Operator {
  readonly name: string;
  readonly role: OperatorRole;
}

/** A token as the tokens file keeps it. */
export interface TokenRecord extends Operator {
  /** SHA-256 of the token, hex. */
  readonly sha256: string;
  /** When it stops working, ISO 8601; `null`: never. */
  readonly expires: string | null;
}

/** Tells who a token belongs to. */
export interface TokenAuthority {
  /** `undefined`: nobody's, or expired. */
  authenticate(token: string): Operator | undefined;
}

const TOKEN_BYTES = 32;
const TOKEN_PREFIX = 'tmt_';

/** Makes a token; it is shown once and never stored. */
export function createToken(): string {
  return TOKEN_PREFIX + randomBytes(TOKEN_BYTES).toString('base64url');
}

/** SHA-256 of a token, hex. */
export function hashToken(token: string): string {
  return createHash('sha256').update(token, 'utf8').digest('hex');
}

/** Finds whose token it is. Compares with each record in constant time. */
export function findOperator(
  records: readonly TokenRecord[],
  token: string,
  wallMillis: number,
): Operator | undefined {
  const hash = Buffer.from(hashToken(token), 'hex');
  let found: TokenRecord | undefined;
  for (const record of records) {
    if (timingSafeEqual(Buffer.from(record.sha256, 'hex'), hash)) {
      found = record;
    }
  }
  if (found === undefined || (found.expires !== null && Date.parse(found.expires) <= wallMillis)) {
    return undefined;
  }
  return { name: found.name, role: found.role };
}
