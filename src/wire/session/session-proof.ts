/** Proof that a session message comes from a control member with the cluster's secret. */
import { createHmac, timingSafeEqual } from 'node:crypto';

/** Separates this proof from other uses of the same secret. */
const CONTEXT = 'ternmount-session/1\n';
const PROOF_PATTERN = /^[0-9a-f]{64}$/;

/** Returns the HMAC-SHA-256 of the body under the secret, hex. */
export function computeSessionProof(secret: string, body: string | Uint8Array): string {
  return createHmac('sha256', secret).update(CONTEXT).update(body).digest('hex');
}

/** Whether `proof` is valid for this body. Compares in constant time. */
export function isSessionProof(secret: string, body: Uint8Array, proof: string): boolean {
  if (!PROOF_PATTERN.test(proof)) {
    return false;
  }
  const expected = Buffer.from(computeSessionProof(secret, body), 'hex');
  return timingSafeEqual(expected, Buffer.from(proof, 'hex'));
}
