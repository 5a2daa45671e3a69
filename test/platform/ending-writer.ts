/** Writes answers whose connection ends in a given way at a given place, as those of faulty servers may. */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

export const FRAMINGS = ['length', 'chunks', 'connection'] as const;
export const ENDINGS = ['fin', 'half-closed', 'reset', 'silent'] as const;
export const PLACES = [
  'before the head',
  'in the head',
  'in the body',
  'at the last byte',
  'after the last byte',
] as const;

/** How an answer is framed, how its connection ends, and where. */
export interface EndingCase {
  readonly framing: (typeof FRAMINGS)[number];
  readonly ending: (typeof ENDINGS)[number];
  readonly place: (typeof PLACES)[number];
}

export const ENDING_CASES: readonly EndingCase[] = FRAMINGS.flatMap((framing) =>
  ENDINGS.flatMap((ending) => PLACES.map((place) => ({ framing, ending, place }))),
);

const LATER_MILLIS = 20;

const END: Readonly<Record<EndingCase['ending'], (socket: Socket) => unknown>> = {
  fin: (socket) => socket.destroySoon(),
  'half-closed': (socket) => socket.end(),
  reset: (socket) => socket.resetAndDestroy(),
  silent: () => {},
};

/** The body that is sent. Without a length, whatever a FIN ends is the whole. */
export function sentBody({ place }: EndingCase, body: Buffer): Buffer {
  switch (place) {
    case 'before the head':
    case 'in the head':
      return Buffer.alloc(0);
    case 'in the body':
      return body.subarray(0, body.length / 2);
    default:
      return body;
  }
}

/** Whether the answer that is sent is a whole one; `undefined`: it is, but a reset may overtake it. */
export function isSentWhole({ framing, ending, place }: EndingCase): boolean | undefined {
  const isAll = place === 'at the last byte' || place === 'after the last byte';
  if (framing === 'connection') {
    return (isAll || place === 'in the body') && (ending === 'fin' || ending === 'half-closed');
  }
  return isAll && ending === 'reset' ? undefined : isAll;
}

/** Connections that an answer resets, though maybe some moments after its last byte. */
const resetByAnswer = new WeakSet<Socket>();

/** Whether an answer before ends the connection, so that the next one may be broken off or can't be sent at all. */
export function isEndedByEarlierAnswer(socket: Socket): boolean {
  return resetByAnswer.has(socket) || socket.writableEnded;
}

export function writeEnding(
  { socket, headers }: Pick<IncomingMessage, 'socket' | 'headers'>,
  ending: EndingCase,
  body: Buffer,
): void {
  socket.on('error', () => {});
  const bytes = bytesOf(ending, String(headers['ternmount-request-id'] ?? ''), body);
  const end = (): unknown => END[ending.ending](socket);
  if (ending.ending === 'reset') {
    resetByAnswer.add(socket);
  }
  // The system must have taken the bytes: a reset discards what it hasn't.
  socket.write(bytes, () => {
    if (ending.place === 'after the last byte') {
      setTimeout(end, LATER_MILLIS);
    } else {
      end();
    }
  });
}

function bytesOf({ framing, place }: EndingCase, id: string, body: Buffer): Buffer {
  const lines = ['HTTP/1.1 200 OK', `ternmount-request-id: ${id}`];
  const framed = framing === 'chunks' ? inChunks(body) : body;
  if (framing === 'length') {
    lines.push(`content-length: ${body.length}`);
  } else if (framing === 'chunks') {
    lines.push('transfer-encoding: chunked');
  }
  const head = Buffer.from([...lines, '', ''].join('\r\n'));
  switch (place) {
    case 'before the head':
      return Buffer.alloc(0);
    case 'in the head':
      return head.subarray(0, head.length / 2);
    case 'in the body':
      return Buffer.concat([head, framed.subarray(0, framed.length / 2)]);
    default:
      return Buffer.concat([head, framed]);
  }
}

function inChunks(body: Buffer): Buffer {
  const half = body.length / 2;
  const parts = [body.subarray(0, half), body.subarray(half)];
  const chunks = parts.map((part) =>
    Buffer.concat([Buffer.from(`${part.length.toString(16)}\r\n`), part, Buffer.from('\r\n')]),
  );
  return Buffer.concat([...chunks, Buffer.from('0\r\n\r\n')]);
}
