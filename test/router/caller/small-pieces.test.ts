/** Bodies of requests in pieces of one byte: what is held of them is little more than their bytes. */
import { EventEmitter } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { expect } from 'chai';
import { BodyReader } from '../../../src/router/caller/body-reader.js';

const READS = 2048;
const READ_BYTES = 64 * 1024;
const MAX_HELD_BYTES = 8 * 1024 * 1024;
const SETTLE_MILLIS = 50;
const MAX_SETTLES = 20;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Bytes of buffers in use. The collector frees them on a thread of its own, so this waits until no more are freed. */
async function usedBufferBytes(): Promise<number> {
  let usedBytes = Number.POSITIVE_INFINITY;
  for (let settles = 0; settles < MAX_SETTLES; settles += 1) {
    collectGarbage();
    await sleep(SETTLE_MILLIS);
    const nowBytes = process.memoryUsage().arrayBuffers;
    if (nowBytes >= usedBytes) {
      return nowBytes;
    }
    usedBytes = nowBytes;
  }
  return usedBytes;
}

describe('a body in pieces of one byte', () => {
  // Guards against a caller whose chunks of one byte keep all that was read with them, and end the router.
  it('is held without what was read with its pieces', async () => {
    const bodies = new BodyReader({ maxBodyBytes: READS, maxHeldBodyBytes: READS });
    const request = Object.assign(new EventEmitter(), { headers: { 'transfer-encoding': 'chunked' } });
    let received: Buffer | null = null;
    bodies.read(request as unknown as IncomingMessage, (_error, body) => {
      received = body;
    });
    const beforeBytes = await usedBufferBytes();
    for (let read = 0; read < READS; read += 1) {
      request.emit('data', Buffer.alloc(READ_BYTES, read % 251).subarray(0, 1));
    }
    const heldBytes = (await usedBufferBytes()) - beforeBytes;
    expect(heldBytes).to.be.below(MAX_HELD_BYTES);
    request.emit('end');
    expect(received).to.deep.equal(Buffer.from(Array.from({ length: READS }, (_, read) => read % 251)));
  });
});
