/** One attempt of a request of its own, without the rest of a router. */
import type { Pool } from 'undici';
import { DEFAULT_HEADER_NAMES } from '../../src/model/header-names.js';
import { createAnnouncedProtocol } from '../../src/router/attempts/announced-protocol.js';
import type { AnswerHead } from '../../src/router/attempts/answer-head.js';
import { Attempt } from '../../src/router/attempts/attempt.js';
import { HeldBytes } from '../../src/router/caller/held-bytes.js';
import type { AttemptResult } from '../../src/routing/types.js';

const STALL_MILLIS = 10_000;
const LARGE_BYTES = 1024 * 1024;
const PROTOCOL = createAnnouncedProtocol(DEFAULT_HEADER_NAMES);

export interface SingleRequest {
  readonly id: string;
  readonly target: string;
  readonly method: string;
  readonly body: Buffer;
  readonly onHead?: (head: AnswerHead) => void;
}

/** Sends a request whose upstream announces itself, and returns what became of it. */
export function attemptOnce(client: Pick<Pool, 'dispatch'>, request: SingleRequest): Promise<AttemptResult> {
  const { id: requestId, target, method, body, onHead } = request;
  return new Promise((resolve) => {
    const attempt = new Attempt({
      effect: { attempt: 1, instance: 'u1', deadlineMillis: 1000, wholeAnswerBytes: LARGE_BYTES } as never,
      exchange: {
        head: { requestId, target, method, key: null },
        forwardedHeaders: () => [],
        body,
      } as never,
      attemptId: 'a-1',
      protocol: PROTOCOL,
      storedAnswerBytes: null,
      held: new HeldBytes({ heldAnswerBytes: LARGE_BYTES, heldBytesPerConnection: LARGE_BYTES }),
      stallMillis: STALL_MILLIS,
      onConnected: () => {},
      onForeignAnswer: () => {},
      onHead: (_attempt, head) => onHead?.(head),
      onBodyReceived: null,
      ended: (_attempt, result) => resolve(result),
    });
    attempt.start(client as Pool);
  });
}
