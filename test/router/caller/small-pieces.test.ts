/** Bodies of requests in pieces of one byte: what is held of them is little more than their bytes. */
import { EventEmitter } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { expect } from 'chai';
import { BodyReader } from '../../../src/router/caller/body-reader.js';

const READS = 2048;
const READ_BYTES = 64 * 1024;
const MAX_HELD_BYTES = 8 * 1024 * 1024;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

describe('a body in pieces of one byte', () => {
  // Guards against a caller whose chunks of one byte keep all that was read with them, and end the router.
  it('is held without what was read with its pieces', () => {
    const bodies = new BodyReader({ maxBodyBytes: READS, maxHeldBodyBytes: READS });
    const request = Object.assign(new EventEmitter(), { headers: { 'transfer-encoding': 'chunked' } });
    let received: Buffer | null = null;
    bodies.read(request as unknown as IncomingMessage, (_error, body) => {
      received = body;
    });
    collectGarbage();
    const before = process.memoryUsage().arrayBuffers;
    for (let read = 0; read < READS; read += 1) {
      request.emit('data', Buffer.alloc(READ_BYTES, read % 251).subarray(0, 1));
    }
    collectGarbage();
    expect(process.memoryUsage().arrayBuffers - before).to.be.below(MAX_HELD_BYTES);
    request.emit('end');
    expect(received).to.deep.equal(Buffer.from(Array.from({ length: READS }, (_, read) => read % 251)));
  });
});
