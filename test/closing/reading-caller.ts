/** A caller that sends several reads at once and reads their answers at its own speed, until they are all there, the connection ends or it leaves. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { AnswerSplitter, type SplitAnswer } from './answer-splitter.js';

const POLL_MILLIS = 5;
/** Beyond what a caller can take before its router ends; what the system holds of an ended router may last much longer. */
const LEAVE_MILLIS = 12_000;

/** Answers up to this size are read whole. */
const SMALL_BYTES = 64 * 1024;

export type UpstreamFraming = 'length' | 'chunks' | 'connection';
/** Of the answer of the upstream. */
export type Making = UpstreamFraming | 'broken';

export interface ReadPlan {
  readonly id: string;
  readonly bytes: number;
  readonly making: Making;
}

export interface ReadingPlan {
  readonly reads: readonly ReadPlan[];
  readonly readFromMillis: number;
  readonly bytesPerSecond: number;
}

export interface ReadingResult {
  readonly plan: ReadingPlan;
  readonly sentAt: number;
  readonly endedAt: number;
  /** Whole answers in their order. */
  readonly answers: readonly SplitAnswer[];
  /** The answer that was cut; `null`: none. */
  readonly open: SplitAnswer | null;
  readonly end: string;
}

/** Reads until `leave` at most. Gives `null` if the connection couldn't be opened. */
export async function readAtSpeed(
  address: { host: string; port: number },
  plan: ReadingPlan,
  leave: Promise<unknown>,
): Promise<ReadingResult | null> {
  const socket = connect({ ...address, allowHalfOpen: true, noDelay: true });
  socket.on('error', () => {});
  try {
    await once(socket, 'connect');
  } catch {
    return null;
  }
  const answers: SplitAnswer[] = [];
  const splitter = new AnswerSplitter((answer) => answers.push(answer));
  const sentAt = performance.now();
  socket.write(plan.reads.map(requestOf).join(''));
  const end = await readAll(socket, plan, leave, (bytes) => {
    splitter.add(bytes);
    return answers.length === plan.reads.length;
  });
  socket.destroy();
  return { plan, sentAt, endedAt: performance.now(), answers, open: splitter.open, end };
}

/** Large and small answers have services of their own: a router expects those of a place to be alike. */
function requestOf({ id, bytes, making }: ReadPlan): string {
  const service = bytes > SMALL_BYTES ? 'bulk' : 'reads';
  return `GET /${service}/${id}?bytes=${bytes}&making=${making} HTTP/1.1\r\nHost: r\r\n\r\n`;
}

/** Reads at the speed of the plan until `take` says that all came. What isn't read stays with the system, which then holds the sender up. */
function readAll(
  socket: Socket,
  plan: ReadingPlan,
  leave: Promise<unknown>,
  take: (bytes: Buffer) => boolean,
): Promise<string> {
  const { bytesPerSecond, readFromMillis } = plan;
  const startAt = performance.now() + readFromMillis;
  let takenBytes = 0;
  return new Promise((resolve) => {
    const finish = (how: string): void => {
      clearInterval(timer);
      clearTimeout(limit);
      resolve(how);
    };
    const readDue = (): void => {
      const dueBytes = Math.floor(((performance.now() - startAt) / 1000) * bytesPerSecond) - takenBytes;
      const size = Math.min(dueBytes, socket.readableLength);
      const bytes: Buffer | null = size > 0 ? socket.read(size) : null;
      socket.read(0);
      if (bytes === null) {
        return;
      }
      takenBytes += bytes.length;
      if (take(bytes)) {
        finish('all');
      } else {
        setImmediate(readDue);
      }
    };
    const timer = setInterval(readDue, POLL_MILLIS);
    const limit = setTimeout(() => finish('left'), LEAVE_MILLIS);
    void leave.then(() => finish('left'));
    socket.once('end', () => finish('end'));
    socket.once('error', ({ code }: NodeJS.ErrnoException) => finish(code ?? 'error'));
    socket.once('close', () => finish('closed'));
  });
}
