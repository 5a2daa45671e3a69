/** Reads a Raft message from a frame of another replica, whichever of the two made the connection. */
import type { RaftMessage } from '../../consensus/types.js';
import { TernmountError } from '../../errors/ternmount-error.js';
import type { ReplicaId } from '../../model/identifiers.js';
import { type Frame, joinRequestCodec, raftCodecs } from '../../wire/index.js';
import type { JoinRequest } from '../messages.js';

/** A message that its sender may not send. */
class ForeignMessageError extends TernmountError {
  constructor(message: string) {
    super({ code: 'TERNMOUNT_CONTROL_FOREIGN_MESSAGE', retriable: false }, message);
  }
}

/**
 * `null`: meant for a replica that lived at this address before. Throws if `sender` speaks for another replica, and
 * `MalformedFrameError` if it is no message.
 */
export function readPeerMessage(
  frame: Frame,
  sender: ReplicaId | undefined,
  self: ReplicaId,
): RaftMessage | null {
  const message = raftCodecs.decode(frame.kind, frame.payload);
  if (message.from !== sender) {
    throw new ForeignMessageError(`replica ${sender} spoke for ${message.from}`);
  }
  return message.to === self ? message : null;
}

/** Reads a join request; `null`: the frame carries something else. Throws if `sender` speaks for another replica. */
export function readJoinRequest(frame: Frame, sender: ReplicaId | undefined): JoinRequest | null {
  if (frame.kind !== joinRequestCodec.kind) {
    return null;
  }
  const request = joinRequestCodec.decode(frame.payload);
  if (request.replica !== sender) {
    throw new ForeignMessageError(`replica ${sender} spoke for ${request.replica}`);
  }
  return request;
}
