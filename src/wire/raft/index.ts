/** Codecs of the messages between replicas. */
import type { RaftMessage } from '../../consensus/types.js';
import { MessageCodecSet } from '../message-codec.js';
import { appendRequestCodec } from './append-request.js';
import { appendResponseCodec } from './append-response.js';
import { readIndexRequestCodec } from './read-index-request.js';
import { readIndexResponseCodec } from './read-index-response.js';
import { snapshotRequestCodec } from './snapshot-request.js';
import { snapshotResponseCodec } from './snapshot-response.js';
import { timeoutNowCodec } from './timeout-now.js';
import { voteRequestCodec } from './vote-request.js';
import { voteResponseCodec } from './vote-response.js';

export const raftCodecs = new MessageCodecSet<RaftMessage>([
  voteRequestCodec,
  voteResponseCodec,
  appendRequestCodec,
  appendResponseCodec,
  snapshotRequestCodec,
  snapshotResponseCodec,
  timeoutNowCodec,
  readIndexRequestCodec,
  readIndexResponseCodec,
]);
