/** The routers through which a router may reach upstreams. Sent only to routers that report a relay address of their own. */
import type { RelayPeers } from '../../control/messages.js';
import type { RelayPeer } from '../../model/relay.js';
import { json } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';

export const relayPeersCodec = defineMessage<RelayPeers>(FRAME_KINDS.relayPeers, 'relay-peers', {
  peers: json<readonly RelayPeer[]>(),
});
