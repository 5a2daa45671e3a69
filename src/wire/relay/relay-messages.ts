/** Messages between a router and another one that carries its connection to an upstream, in the order in which they are sent. */
import type { UpstreamId } from '../../model/identifiers.js';
import { choice, text } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';

/** Asks for a connection to an upstream; sent together with the proof of the handshake. */
export interface RelayOpen {
  readonly type: 'relay-open';
  readonly upstream: UpstreamId;
}

/** Results of a `RelayOpen`. Numbers on the wire are positions in this list, so new ones go to its end. */
export const RELAY_RESULTS = [
  /** The connection is open. */
  'open',
  /** Nothing listens at the upstream's address. */
  'refused',
  /** The upstream's address didn't answer in time. */
  'silent',
  /** The upstream closed the connection at once. */
  'turned-away',
  /** The relay's configuration has no such upstream. */
  'unknown-upstream',
  /** The relay itself doesn't reach the upstream directly. */
  'no-path',
  /** The relay carries as many connections as it may. */
  'busy',
  /** The relay stops. */
  'stopping',
] as const;
export type RelayResult = (typeof RELAY_RESULTS)[number];

export interface RelayOpened {
  readonly type: 'relay-opened';
  readonly result: RelayResult;
}

/** The last message of a direction. `end`: the upstream or the router closed its side; `reset`: the connection to the upstream broke. */
export interface RelayEnd {
  readonly type: 'relay-end';
  readonly how: 'end' | 'reset';
}

export const relayOpenCodec = defineMessage<RelayOpen>(FRAME_KINDS.relayOpen, 'relay-open', {
  upstream: text,
});
export const relayOpenedCodec = defineMessage<RelayOpened>(FRAME_KINDS.relayOpened, 'relay-opened', {
  result: choice(RELAY_RESULTS),
});
export const relayEndCodec = defineMessage<RelayEnd>(FRAME_KINDS.relayEnd, 'relay-end', {
  how: choice(['end', 'reset'] as const),
});
