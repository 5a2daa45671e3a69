/** Proof that a session message comes from a control member which knows the cluster's secret. */
import { createHmac, timingSafeEqual } from 'node:crypto';

/** Names what is proved, so that no other proof under the same secret can stand for it. */
const SUBJECT = 'ternmount-session/1\n';
const PROOF_PATTERN = /^[0-9a-f]{64}$/;

/** HMAC-SHA-256 of the body's bytes under the secret, hex. */
export function computeSessionProof(secret: string, body: string | Uint8Array): string {
  return createHmac('sha256', secret).update(SUBJECT).update(body).digest('hex');
}

/** Whether `proof` is the one of this body. Compares in constant time. */
export function isSessionProof(secret: string, body: Uint8Array, proof: string): boolean {
  if (!PROOF_PATTERN.test(proof)) {
    return false;
  }
  const expected = Buffer.from(computeSessionProof(secret, body), 'hex');
  return timingSafeEqual(expected, Buffer.from(proof, 'hex'));
}
