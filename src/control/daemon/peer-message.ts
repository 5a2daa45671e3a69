/** Decodes messages from frames of other replicas, regardless of which side opened the connection. */
import type { RaftMessage } from '../../consensus/types.js';
import { TernmountError } from '../../errors/ternmount-error.js';
import type { ReplicaId } from '../../model/identifiers.js';
import { type Frame, joinRequestCodec, raftCodecs } from '../../wire/index.js';
import type { JoinRequest } from '../messages.js';

/** A message that its sender isn't allowed to send. */
class ForeignMessageError extends TernmountError {
  constructor(message: string) {
    super({ code: 'TERNMOUNT_CONTROL_FOREIGN_MESSAGE', retriable: false }, message);
  }
}

/**
 * Decodes a Raft message; returns `null` if it is addressed to another replica, which had this address before. Throws
 * if the message isn't from `sender`, and `MalformedFrameError` if the frame contains no message.
 */
export function readPeerMessage(
  frame: Frame,
  sender: ReplicaId | undefined,
  self: ReplicaId,
): RaftMessage | null {
  const message = raftCodecs.decode(frame.kind, frame.payload);
  if (message.from !== sender) {
    throw new ForeignMessageError(`replica ${sender} sent a message from replica ${message.from}`);
  }
  return message.to === self ? message : null;
}

/** Decodes a join request; returns `null` if the frame contains something else. Throws if the request isn't from `sender`. */
export function readJoinRequest(frame: Frame, sender: ReplicaId | undefined): JoinRequest | null {
  if (frame.kind !== joinRequestCodec.kind) {
    return null;
  }
  const request = joinRequestCodec.decode(frame.payload);
  if (request.replica !== sender) {
    throw new ForeignMessageError(`replica ${sender} sent a join request for replica ${request.replica}`);
  }
  return request;
}
