/** First frame of a connection in each direction. */
import type { Greeting } from '../../control/messages.js';
import { choice, fixedBytes, text } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';

export const NONCE_BYTES = 16;

/** A greeting with the nonce that the peer's proof must cover. */
export interface Hello extends Omit<Greeting, 'type'> {
  readonly type: 'hello';
  readonly nonce: Uint8Array;
}

export const helloCodec = defineMessage<Hello>(FRAME_KINDS.hello, 'hello', {
  cluster: text,
  kind: choice(['control', 'router'] as const),
  name: text,
  zone: text,
  nonce: fixedBytes(NONCE_BYTES),
});
