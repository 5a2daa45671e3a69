/** Which requests of a connection are handed on, lost or waited for, without a socket. */
import { expect } from 'chai';
import { HeldBytes } from '../../../src/router/caller/held-bytes.js';
import { type PipelinedRequest, PipelineOrder } from '../../../src/router/caller/pipeline-order.js';

interface NamedRequest extends PipelinedRequest {
  readonly name: string;
}

const LIMITS = { requestsPerConnection: 4, heldBytesPerConnection: 100_000 };

function read(name: string, bodyBytes = 0): NamedRequest {
  return { name, isSafe: true, isWhole: true, bodyBytes };
}

function write(name: string, bodyBytes = 0): NamedRequest {
  return { name, isSafe: false, isWhole: true, bodyBytes };
}

function orderOf(...requests: NamedRequest[]): PipelineOrder<NamedRequest> {
  const order = new PipelineOrder<NamedRequest>(LIMITS);
  for (const request of requests) {
    order.add(request);
    order.complete(request);
  }
  return order;
}

function handOnAll(order: PipelineOrder<NamedRequest>): string[] {
  const names: string[] = [];
  for (let next = order.handOnNext(); next !== undefined; next = order.handOnNext()) {
    names.push(next.name);
  }
  return names;
}

describe('the order of requests on a connection', () => {
  it('hands on reads side by side up to the bound, and the next when one is answered', () => {
    const requests = ['a', 'b', 'c', 'd', 'e'].map((name) => read(name));
    const order = orderOf(...requests);
    expect(handOnAll(order)).to.deep.equal(['a', 'b', 'c', 'd']);
    expect(order.reading).to.equal('look');
    order.remove(requests[0] as NamedRequest);
    expect(handOnAll(order)).to.deep.equal(['e']);
    order.remove(requests[1] as NamedRequest);
    expect(order.reading).to.equal('on');
  });

  it('hands on a write alone: when all in front of it are answered, and what is behind it after it', () => {
    const [a, b, c, d] = [read('a'), write('b'), read('c'), read('d')] as const;
    const order = orderOf(a, b, c, d);
    expect(handOnAll(order)).to.deep.equal(['a']);
    order.remove(a);
    expect(handOnAll(order)).to.deep.equal(['b']);
    order.remove(b);
    expect(handOnAll(order)).to.deep.equal(['c', 'd']);
  });

  it('hands on nothing that is behind a request whose body has to come', () => {
    const order = new PipelineOrder<NamedRequest>(LIMITS);
    const coming = { ...write('a', 10), isWhole: false };
    order.add(coming);
    order.add(read('b'));
    expect(handOnAll(order)).to.deep.equal([]);
    coming.isWhole = true;
    order.complete(coming);
    expect([handOnAll(order), order.heldBytes]).to.deep.equal([['a'], 10]);
  });

  it('loses what stands behind an answer that closes, and takes nothing more', () => {
    const [a, b, c, d] = [read('a'), read('b'), write('c'), read('d')] as const;
    const order = orderOf(a, b, c, d);
    handOnAll(order);
    expect(order.closeAfter(a)).to.deep.equal([b, c, d]);
    expect([order.isClosing, order.size, order.lastHandedOn]).to.deep.equal([true, 1, a]);
    order.remove(a);
    expect([order.size, order.lastHandedOn]).to.deep.equal([0, undefined]);
  });

  it('still hands on what was read before it was closed', () => {
    const [a, b] = [write('a'), read('b')] as const;
    const order = orderOf(a, b);
    handOnAll(order);
    order.close();
    order.remove(a);
    expect(handOnAll(order)).to.deep.equal(['b']);
  });

  it('hands on no more than would find room where answers are large, and all again once they are small', () => {
    const requests = Array.from({ length: 8 }, (_, index) => read(`${index}`));
    const order = orderOf(...requests);
    order.expect(LIMITS.heldBytesPerConnection / 5);
    expect(handOnAll(order)).to.deep.equal(['0', '1']);
    order.remove(requests[0] as NamedRequest);
    expect(handOnAll(order)).to.deep.equal(['2']);
    order.expect(10);
    order.expect(10);
    expect(handOnAll(order)).to.deep.equal(['3', '4']);
  });

  it('hands on one at a time where an answer is larger than all room', () => {
    const requests = [read('a'), read('b')];
    const order = orderOf(...requests);
    order.expect(10 * LIMITS.heldBytesPerConnection);
    expect(handOnAll(order)).to.deep.equal(['a']);
    order.remove(requests[0] as NamedRequest);
    expect(handOnAll(order)).to.deep.equal(['b']);
  });

  it('stops reading at the bound of bytes, whether bodies, answers or requests that wait hold them', () => {
    const body = orderOf(write('a'), write('b', LIMITS.heldBytesPerConnection));
    const answer = orderOf(read('a'));
    answer.hold(LIMITS.heldBytesPerConnection);
    const waiting = orderOf(...Array.from({ length: 100 }, (_, index) => read(`${index}`)));
    for (const order of [body, answer, waiting]) {
      handOnAll(order);
      expect(order.reading).to.equal('off');
    }
    answer.hold(-LIMITS.heldBytesPerConnection);
    expect(answer.reading).to.equal('on');
  });

  it('reads on for the body of the only request, however large', () => {
    const request = read('a', LIMITS.heldBytesPerConnection);
    const order = orderOf(request);
    handOnAll(order);
    order.remove(request);
    expect([order.reading, order.heldBytes]).to.deep.equal(['on', 0]);
  });
});

const TOTAL = 1000;
const PIECE = 10;

describe('bytes of answers held for callers', () => {
  it('stay within the bound, are shared alike by those who want all, and leave room for one who comes', () => {
    const held = new HeldBytes({ heldAnswerBytes: TOTAL, heldBytesPerConnection: TOTAL });
    const holders = new Array<number>(9).fill(0);
    for (let round = 0; round < TOTAL; round++) {
      holders.forEach((bytes, holder) => {
        if (held.hasRoom(bytes)) {
          held.change(PIECE);
          holders[holder] = bytes + PIECE;
        }
      });
    }
    expect(held.used).to.be.at.most(TOTAL);
    expect(Math.max(...holders) - Math.min(...holders)).to.be.at.most(PIECE);
    expect(held.hasRoom(0)).to.equal(true);
  });

  it('make the largest holder wait first', () => {
    const held = new HeldBytes({ heldAnswerBytes: TOTAL, heldBytesPerConnection: TOTAL });
    held.change(TOTAL / 2 + TOTAL / 10);
    expect([held.hasRoom(TOTAL / 2), held.hasRoom(TOTAL / 10)]).to.deep.equal([false, true]);
  });

  it('are bounded for each connection by itself', () => {
    const held = new HeldBytes({ heldAnswerBytes: TOTAL, heldBytesPerConnection: TOTAL / 10 });
    expect([held.hasRoom(TOTAL / 10 - 1), held.hasRoom(TOTAL / 10)]).to.deep.equal([true, false]);
  });

  it('wake only as many as may find room, the one first that waits longest', () => {
    const piece = 64 * 1024;
    const held = new HeldBytes({ heldAnswerBytes: 4 * piece, heldBytesPerConnection: 4 * piece });
    const woken: string[] = [];
    held.change(4 * piece);
    for (const name of ['a', 'b', 'c']) {
      held.whenReleased(() => woken.push(name));
    }
    held.change(-2 * piece);
    expect([woken, held.waiting]).to.deep.equal([['a', 'b'], 1]);
    held.change(-piece);
    expect(woken).to.deep.equal(['a', 'b', 'c']);
  });

  it('wake those who wait when some are released, once', () => {
    const held = new HeldBytes({ heldAnswerBytes: TOTAL, heldBytesPerConnection: TOTAL });
    let woken = 0;
    held.change(TOTAL);
    held.whenReleased(() => {
      woken += 1;
    });
    held.change(-PIECE);
    held.change(-PIECE);
    expect([woken, held.waiting]).to.deep.equal([1, 0]);
  });
});
