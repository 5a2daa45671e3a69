/** Task that queries addresses for the run of an upstream there. Each query uses a connection of its own. */
import { type IncomingMessage, request } from 'node:http';
import { toError } from '../../errors/ternmount-error.js';
import type { Logger } from '../../logging/logger.js';
import { HEALTH_PATH } from '../../model/health-path.js';
import type { HolderProtocol } from '../../model/holder-protocol.js';
import { parseAddress } from '../../wire/address.js';
import { limitReceivedBytes } from '../../wire/http/received-bytes.js';
import { isFinalStatus } from '../../wire/http/status.js';
import type { IdentityAnswer, IdentityQuestion, QuestionId } from '../identity-question.js';

export interface IdentityQuestionsOptions {
  readonly protocol: HolderProtocol;
  /** Without a response within this time the answer is `unknown`. */
  readonly timeoutMillis: number;
  readonly localAddress?: string | undefined;
  readonly log: Logger;
  readonly answered: (question: QuestionId, answer: IdentityAnswer) => void;
}

/** Largest head of a response; the body isn't read. */
const MAX_RESPONSE_BYTES = 64 * 1024;
/** Status if the run at the address isn't the one that the query names. */
const MISDIRECTED_REQUEST = 421;
const UNKNOWN: IdentityAnswer = { type: 'unknown' };

export class IdentityQuestions {
  readonly #options: IdentityQuestionsOptions;

  constructor(options: IdentityQuestionsOptions) {
    this.#options = options;
  }

  /** Sends a query; `answered` is called exactly once with its result. A query that can't be written has none. */
  ask(question: IdentityQuestion): void {
    try {
      this.#send(question);
    } catch (thrown) {
      queueMicrotask(() => this.#report(question, UNKNOWN, toError(thrown).message));
    }
  }

  #send(question: IdentityQuestion): void {
    const { protocol, timeoutMillis, localAddress } = this.#options;
    const { host, port } = parseAddress(question.address);
    let isEnded = false;
    const end = (answer: IdentityAnswer, reason: string): void => {
      if (!isEnded) {
        isEnded = true;
        clearTimeout(timer);
        outgoing.destroy();
        this.#report(question, answer, reason);
      }
    };
    const outgoing = request({
      agent: false,
      host,
      port,
      method: 'GET',
      path: question.healthPath ?? HEALTH_PATH,
      headers: { [protocol.instanceHeader]: question.claimant },
      ...(localAddress && { localAddress }),
    });
    const timer = setTimeout(() => end(UNKNOWN, 'timeout'), timeoutMillis);
    limitReceivedBytes(outgoing, MAX_RESPONSE_BYTES, () => end(UNKNOWN, 'too long'));
    outgoing.on('response', (response) =>
      end(this.#parseResponse(response), `status ${response.statusCode}`),
    );
    outgoing.on('error', (error: NodeJS.ErrnoException) => end(UNKNOWN, error.code ?? error.message));
    outgoing.end();
  }

  /** Status and headers suffice; the body is ignored. */
  #parseResponse({ statusCode = 0, headers }: IncomingMessage): IdentityAnswer {
    if (!isFinalStatus(statusCode)) {
      return UNKNOWN;
    }
    if (statusCode === MISDIRECTED_REQUEST) {
      return { type: 'another' };
    }
    const named = headers[this.#options.protocol.identityHeader];
    return typeof named === 'string' && named !== '' ? { type: 'named', upstream: named } : UNKNOWN;
  }

  #report({ id, address, claimant }: IdentityQuestion, answer: IdentityAnswer, reason: string): void {
    this.#options.log.info('identity-answered', { upstream: claimant, address, answer, reason });
    this.#options.answered(id, answer);
  }
}
