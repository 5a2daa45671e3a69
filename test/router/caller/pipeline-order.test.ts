/** Which requests of a connection are dispatched, lost or kept waiting, without a socket. */
import { expect } from 'chai';
import { HeldBytes } from '../../../src/router/caller/held-bytes.js';
import { type PipelinedRequest, PipelineOrder } from '../../../src/router/caller/pipeline-order.js';

interface NamedRequest extends PipelinedRequest {
  readonly name: string;
}

const LIMITS = { requestsPerConnection: 4, heldBytesPerConnection: 100_000 };

function read(name: string, bodyBytes = 0): NamedRequest {
  return { name, isSafe: true, isWhole: true, allowsBehind: true, bodyBytes };
}

function write(name: string, bodyBytes = 0): NamedRequest {
  return { name, isSafe: false, isWhole: true, allowsBehind: true, bodyBytes };
}

function orderOf(...requests: NamedRequest[]): PipelineOrder<NamedRequest> {
  const order = new PipelineOrder<NamedRequest>(LIMITS);
  for (const request of requests) {
    order.add(request);
    order.complete(request);
  }
  return order;
}

function dispatchAll(order: PipelineOrder<NamedRequest>): string[] {
  const names: string[] = [];
  for (let next = order.dispatchNext(); next !== undefined; next = order.dispatchNext()) {
    names.push(next.name);
  }
  return names;
}

describe('the order of requests on a connection', () => {
  it('dispatches reads concurrently up to the limit, and the next when one is answered', () => {
    const requests = ['a', 'b', 'c', 'd', 'e'].map((name) => read(name));
    const order = orderOf(...requests);
    expect(dispatchAll(order)).to.deep.equal(['a', 'b', 'c', 'd']);
    expect(order.readMode).to.equal('look');
    order.remove(requests[0] as NamedRequest);
    expect(dispatchAll(order)).to.deep.equal(['e']);
    order.remove(requests[1] as NamedRequest);
    expect(order.readMode).to.equal('on');
  });

  it('dispatches a write alone: after all in front of it are answered, and before those behind it', () => {
    const [a, b, c, d] = [read('a'), write('b'), read('c'), read('d')] as const;
    const order = orderOf(a, b, c, d);
    expect(dispatchAll(order)).to.deep.equal(['a']);
    order.remove(a);
    expect(dispatchAll(order)).to.deep.equal(['b']);
    order.remove(b);
    expect(dispatchAll(order)).to.deep.equal(['c', 'd']);
  });

  it('dispatches nothing behind a read whose answer may break off, until it is whole', () => {
    const streamed = { ...read('b'), allowsBehind: false };
    const requests = [read('a'), streamed, read('c'), read('d')];
    const order = orderOf(...requests);
    expect(dispatchAll(order)).to.deep.equal(['a', 'b']);
    order.remove(requests[0] as NamedRequest);
    expect(dispatchAll(order)).to.deep.equal([]);
    streamed.allowsBehind = true;
    expect(dispatchAll(order)).to.deep.equal(['c', 'd']);
  });

  it('dispatches nothing behind a request whose body has not arrived', () => {
    const order = new PipelineOrder<NamedRequest>(LIMITS);
    const incomplete = { ...write('a', 10), isWhole: false };
    order.add(incomplete);
    order.add(read('b'));
    expect(dispatchAll(order)).to.deep.equal([]);
    incomplete.isWhole = true;
    order.complete(incomplete);
    expect([dispatchAll(order), order.heldBytes]).to.deep.equal([['a'], 10]);
  });

  it('loses the requests behind an answer that closes the connection, and accepts no more', () => {
    const [a, b, c, d] = [read('a'), read('b'), write('c'), read('d')] as const;
    const order = orderOf(a, b, c, d);
    dispatchAll(order);
    expect(order.closeAfter(a)).to.deep.equal([b, c, d]);
    expect([order.isClosing, order.size, order.lastDispatched]).to.deep.equal([true, 1, a]);
    order.remove(a);
    expect([order.size, order.lastDispatched]).to.deep.equal([0, undefined]);
  });

  it('still dispatches what was read before it was closed', () => {
    const [a, b] = [write('a'), read('b')] as const;
    const order = orderOf(a, b);
    dispatchAll(order);
    order.close();
    order.remove(a);
    expect(dispatchAll(order)).to.deep.equal(['b']);
  });

  it('dispatches no more than the capacity allows while answers are large, and more once they are small', () => {
    const requests = Array.from({ length: 8 }, (_, index) => read(`${index}`));
    const order = orderOf(...requests);
    order.recordAnswerSize(LIMITS.heldBytesPerConnection / 5);
    expect(dispatchAll(order)).to.deep.equal(['0', '1']);
    order.remove(requests[0] as NamedRequest);
    expect(dispatchAll(order)).to.deep.equal(['2']);
    order.recordAnswerSize(10);
    order.recordAnswerSize(10);
    expect(dispatchAll(order)).to.deep.equal(['3', '4']);
  });

  it('dispatches one at a time when an answer exceeds the whole capacity', () => {
    const requests = [read('a'), read('b')];
    const order = orderOf(...requests);
    order.recordAnswerSize(10 * LIMITS.heldBytesPerConnection);
    expect(dispatchAll(order)).to.deep.equal(['a']);
    order.remove(requests[0] as NamedRequest);
    expect(dispatchAll(order)).to.deep.equal(['b']);
  });

  it('stops reading at the byte limit, whether bodies, answers or waiting requests use it', () => {
    const body = orderOf(write('a'), write('b', LIMITS.heldBytesPerConnection));
    const answer = orderOf(read('a'));
    answer.hold(LIMITS.heldBytesPerConnection);
    const waiting = orderOf(...Array.from({ length: 100 }, (_, index) => read(`${index}`)));
    for (const order of [body, answer, waiting]) {
      dispatchAll(order);
      expect(order.readMode).to.equal('off');
    }
    answer.hold(-LIMITS.heldBytesPerConnection);
    expect(answer.readMode).to.equal('on');
  });

  it('continues reading after the only request is removed, however large its body was', () => {
    const request = read('a', LIMITS.heldBytesPerConnection);
    const order = orderOf(request);
    dispatchAll(order);
    order.remove(request);
    expect([order.readMode, order.heldBytes]).to.deep.equal(['on', 0]);
  });
});

const TOTAL = 1000;
const PIECE = 10;

describe('bytes of answers buffered for callers', () => {
  it('stay within the limit, are shared evenly by greedy holders, and leave capacity for a new one', () => {
    const held = new HeldBytes({ heldAnswerBytes: TOTAL, heldBytesPerConnection: TOTAL });
    const holders = new Array<number>(9).fill(0);
    for (let round = 0; round < TOTAL; round++) {
      holders.forEach((bytes, holder) => {
        if (held.hasCapacity(bytes)) {
          held.change(PIECE);
          holders[holder] = bytes + PIECE;
        }
      });
    }
    expect(held.used).to.be.at.most(TOTAL);
    expect(Math.max(...holders) - Math.min(...holders)).to.be.at.most(PIECE);
    expect(held.hasCapacity(0)).to.equal(true);
  });

  it('make the largest holder wait first', () => {
    const held = new HeldBytes({ heldAnswerBytes: TOTAL, heldBytesPerConnection: TOTAL });
    held.change(TOTAL / 2 + TOTAL / 10);
    expect([held.hasCapacity(TOTAL / 2), held.hasCapacity(TOTAL / 10)]).to.deep.equal([false, true]);
  });

  it('are limited for each connection', () => {
    const held = new HeldBytes({ heldAnswerBytes: TOTAL, heldBytesPerConnection: TOTAL / 10 });
    expect([held.hasCapacity(TOTAL / 10 - 1), held.hasCapacity(TOTAL / 10)]).to.deep.equal([true, false]);
  });

  it('wake only as many waiters as may find capacity, longest wait first', () => {
    const piece = 64 * 1024;
    const held = new HeldBytes({ heldAnswerBytes: 4 * piece, heldBytesPerConnection: 4 * piece });
    const woken: string[] = [];
    held.change(4 * piece);
    for (const name of ['a', 'b', 'c']) {
      held.waitForRelease(() => woken.push(name));
    }
    held.change(-2 * piece);
    expect([woken, held.waiting]).to.deep.equal([['a', 'b'], 1]);
    held.change(-piece);
    expect(woken).to.deep.equal(['a', 'b', 'c']);
  });

  it('wake a waiter once when some are released', () => {
    const held = new HeldBytes({ heldAnswerBytes: TOTAL, heldBytesPerConnection: TOTAL });
    let woken = 0;
    held.change(TOTAL);
    held.waitForRelease(() => {
      woken += 1;
    });
    held.change(-PIECE);
    held.change(-PIECE);
    expect([woken, held.waiting]).to.deep.equal([1, 0]);
  });
});
