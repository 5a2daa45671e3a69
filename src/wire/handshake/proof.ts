/** Proof that the sender has the cluster's secret. */
import { createHmac } from 'node:crypto';
import { fixedBytes } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';

export const PROOF_BYTES = 32;

export type HandshakeRole = 'initiator' | 'acceptor';

export interface Proof {
  readonly type: 'proof';
  /** HMAC-SHA256 under the cluster's secret; see `computeProof`. */
  readonly mac: Uint8Array;
}

export const proofCodec = defineMessage<Proof>(FRAME_KINDS.proof, 'proof', { mac: fixedBytes(PROOF_BYTES) });

/**
 * HMAC over the prover's role and both hello payloads. The role prevents reflecting a proof to its sender; the nonces in
 * the hello messages prevent replaying an old proof.
 */
export function computeProof(
  secret: string,
  prover: HandshakeRole,
  initiatorHello: Uint8Array,
  acceptorHello: Uint8Array,
): Uint8Array {
  const mac = createHmac('sha256', secret);
  mac.update(`ternmount/1 ${prover} ${initiatorHello.length} ${acceptorHello.length}\n`);
  mac.update(initiatorHello);
  mac.update(acceptorHello);
  return mac.digest();
}
