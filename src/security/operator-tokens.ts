/** Operators' tokens. A token has 256 random bits and can't be guessed, so a plain SHA-256 is stored instead of a slow hash. */
import { createHash, randomBytes, timingSafeEqual } from 'node:crypto';

/** `read` permits reading; `write` also permits changes. */
export const OPERATOR_ROLES = ['read', 'write'] as const;
export type OperatorRole = (typeof OPERATOR_ROLES)[number];

/** An authenticated operator. */
export interface Operator {
  readonly name: string;
  readonly role: OperatorRole;
}

/** A token as stored in the tokens file. */
export interface TokenRecord extends Operator {
  /** SHA-256 of the token, hex. */
  readonly sha256: string;
  /** Expiry time, ISO 8601; `null` if it never expires. */
  readonly expires: string | null;
}

/** Authenticates operators by token. */
export interface TokenAuthority {
  /** Returns `undefined` if the token is unknown or expired. */
  authenticate(token: string): Operator | undefined;
}

const TOKEN_BYTES = 32;
const TOKEN_PREFIX = 'tmt_';

/** Creates a token; it is shown once and never stored. */
export function createToken(): string {
  return TOKEN_PREFIX + randomBytes(TOKEN_BYTES).toString('base64url');
}

/** SHA-256 of a token, hex. */
export function hashToken(token: string): string {
  return createHash('sha256').update(token, 'utf8').digest('hex');
}

/** Returns the operator of a token. Compares the token with each record in constant time. */
export function findOperator(
  records: readonly TokenRecord[],
  token: string,
  wallMillis: number,
): Operator | undefined {
  const hash = Buffer.from(hashToken(token), 'hex');
  let match: TokenRecord | undefined;
  for (const record of records) {
    if (timingSafeEqual(Buffer.from(record.sha256, 'hex'), hash)) {
      match = record;
    }
  }
  if (match === undefined || (match.expires !== null && Date.parse(match.expires) <= wallMillis)) {
    return undefined;
  }
  return { name: match.name, role: match.role };
}
