/** A caller that pipelines reads, goes on sending, and begins to read late. It keeps its connection until the other end closes it. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { FramedAnswers } from './framed-answers.js';

/** What a caller sends behind its reads. */
export const LAST_SENT = {
  nothing: () => '',
  'more reads': () => '',
  'a long body': () => 'POST /reads/body HTTP/1.1\r\nHost: r\r\nContent-Length: 40000000\r\n\r\n',
  'an endless body': () => 'POST /reads/body HTTP/1.1\r\nHost: r\r\nTransfer-Encoding: chunked\r\n\r\n',
  'no request': () => 'NONSENSE\r\n\r\n',
  'a long header': () => `GET /reads/header HTTP/1.1\r\nHost: r\r\nX: ${'x'.repeat(100_000)}`,
} as const;
export type LastSent = keyof typeof LAST_SENT;

/** What a caller goes on sending, `null`: nothing. */
const GOES_ON: Readonly<Record<LastSent, ((id: string) => string) | null>> = {
  nothing: null,
  'more reads': (id) => readRequest(id, 1000, 'whole'),
  'a long body': () => 'x'.repeat(20_000),
  'an endless body': () => `4e20\r\n${'x'.repeat(20_000)}\r\n`,
  'no request': () => 'NONSENSE\r\n\r\n',
  'a long header': () => 'x'.repeat(20_000),
};
const READ_EACH_MILLIS = 10;
/** A caller that waits for ever gives up. */
const GIVE_UP_MILLIS = 20_000;

export type Making = 'whole' | 'broken';

export interface CallerPlan {
  readonly name: string;
  readonly reads: number;
  readonly answerBytes: number;
  /** Place of a read whose upstream breaks its answer off; `null`: none. */
  readonly broken: number | null;
  readonly lastSent: LastSent;
  readonly readFromMillis: number;
  readonly bytesPerSecond: number;
  readonly sendEachMillis: number;
}

export interface CallerResult {
  readonly plan: CallerPlan;
  /** Ids of the reads that were answered whole with 200. */
  readonly whole: ReadonlySet<string>;
  /** Statuses in order, without cut answers. */
  readonly statuses: readonly number[];
  readonly end: string;
}

export function readRequest(id: string, bytes: number, making: Making): string {
  return `GET /reads/${id}?bytes=${bytes}&making=${making} HTTP/1.1\r\nHost: r\r\n\r\n`;
}

export function readIds({ name, reads }: CallerPlan): string[] {
  return Array.from({ length: reads }, (_, index) => `${name}-${index}`);
}

/** Resolves when the connection has ended; `null` if it couldn't be opened. */
export async function runCaller(
  address: { host: string; port: number },
  plan: CallerPlan,
): Promise<CallerResult | null> {
  const socket = connect({ ...address, allowHalfOpen: true, noDelay: true });
  socket.on('error', () => {});
  if (!(await opened(socket))) {
    return null;
  }
  const answers = new FramedAnswers();
  const ended = endOf(socket);
  const requests = readIds(plan).map((id, index) =>
    readRequest(id, plan.answerBytes, index === plan.broken ? 'broken' : 'whole'),
  );
  socket.write(requests.join('') + LAST_SENT[plan.lastSent]());
  const timer = keepSending(socket, plan);
  await sleep(plan.readFromMillis);
  const reading = readSlowly(socket, plan.bytesPerSecond, (bytes) => answers.add(bytes));
  const end = await ended;
  clearInterval(reading);
  clearInterval(timer);
  socket.destroy();
  return { plan, whole: new Set(answers.wholeIds), statuses: answers.statuses, end };
}

async function opened(socket: Socket): Promise<boolean> {
  try {
    await once(socket, 'connect');
    return true;
  } catch {
    return false;
  }
}

function endOf(socket: Socket): Promise<string> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => resolve('given up'), GIVE_UP_MILLIS);
    const finish = (how: string): void => {
      clearTimeout(timer);
      resolve(how);
    };
    socket.once('end', () => finish('end'));
    socket.once('error', ({ code }: NodeJS.ErrnoException) => finish(code ?? 'error'));
    socket.once('close', () => finish('closed'));
  });
}

/** Reads at a rate; what isn't read stays with the system, which then holds the sender up. */
function readSlowly(socket: Socket, bytesPerSecond: number, take: (bytes: Buffer) => void): NodeJS.Timeout {
  const startedAt = performance.now();
  let takenBytes = 0;
  const readDue = (): void => {
    const dueBytes = Math.floor(((performance.now() - startedAt) / 1000) * bytesPerSecond) - takenBytes;
    const bytes: Buffer | null = socket.read(Math.min(dueBytes, socket.readableLength));
    if (bytes !== null) {
      takenBytes += bytes.length;
      take(bytes);
    }
    socket.read(0);
  };
  return setInterval(readDue, READ_EACH_MILLIS);
}

function keepSending(
  socket: Socket,
  { name, lastSent, sendEachMillis }: CallerPlan,
): NodeJS.Timeout | undefined {
  const next = GOES_ON[lastSent];
  if (next === null) {
    return undefined;
  }
  let count = 0;
  return setInterval(() => {
    if (socket.writable && socket.writableLength === 0) {
      count += 1;
      socket.write(next(`${name}-more-${count}`));
    }
  }, sendEachMillis);
}
