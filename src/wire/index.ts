/** Frames, codecs and TCP connections between the processes of the system. */
export { formatAddress, parseAddress } from './address.js';
export { forwardedRequestCodec, forwardedResponseCodec } from './control/forwarded-request.js';
export { joinRequestCodec } from './control/join-request.js';
export {
  DEFAULT_MAX_FRAME_BYTES,
  encodeFrame,
  FRAME_KINDS,
  type Frame,
  FrameDecoder,
  HEADER_BYTES,
  PROTOCOL_VERSION,
} from './frame.js';
export {
  type BackoffTimings,
  DEFAULT_BACKOFF,
  FrameClient,
  type FrameClientOptions,
} from './frame-client.js';
export {
  DEFAULT_WIRE_LIMITS,
  FrameConnection,
  type FrameConnectionOwner,
  type SendResult,
  type WireIdentity,
  type WireLimits,
} from './frame-connection.js';
export { FrameServer, type FrameServerOptions } from './frame-server.js';
export { ensureAddressFree, ListenError } from './listen-error.js';
export { listenPatiently } from './listen-retry.js';
export type { MessageCodec } from './message-codec.js';
export { raftCodecs } from './raft/index.js';
export { controlToRouterCodecs, routerToControlCodecs } from './router/index.js';
export {
  FrameTooLargeError,
  HandshakeRefusedError,
  MalformedFrameError,
  PeerSilentError,
} from './wire-error.js';
