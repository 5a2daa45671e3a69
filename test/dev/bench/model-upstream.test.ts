import { expect } from 'chai';
import { ModelUpstream, type ServerRequest } from '../../../src/dev/bench/world/model-upstream.js';
import { ASSUMED_TRAITS } from '../../../src/dev/bench/world/upstream-traits.js';
import { EventQueue } from '../../../src/dev/virtual/event-queue.js';
import { RandomSource } from '../../../src/dev/virtual/random-source.js';
import type { AttemptResult } from '../../../src/routing/types.js';

const TRAITS = {
  ...ASSUMED_TRAITS,
  slots: 2,
  queueLimit: 3,
  connections: 10,
  connectMillis: 1,
  probeMillis: 5,
  serviceMillis: 10,
  sigma: 0,
};

function start() {
  const queue = new EventQueue();
  const definition = {
    id: 'u1',
    service: 'board',
    address: '127.0.0.1:1',
    zone: 'a',
    mayHold: [],
    leaving: false,
  };
  const upstream = new ModelUpstream(queue, new RandomSource(1), definition, false, TRAITS);
  const results: AttemptResult[] = [];
  const send = (): ServerRequest => {
    const request: ServerRequest = {
      credentials: null,
      deadlineAt: 1000,
      cancelled: false,
      respond: (result) => results.push(result),
    };
    upstream.serve(request);
    return request;
  };
  return { queue, upstream, results, send };
}

const typesOf = (results: readonly AttemptResult[]): string[] => results.map(({ type }) => type);

describe('ModelUpstream', () => {
  it('processes as many requests as it has slots and sheds requests beyond its queue limit', () => {
    const { queue, results, send } = start();
    for (let count = 0; count < 7; count += 1) {
      send();
    }
    expect(typesOf(results)).to.deep.equal(['refused', 'refused']);
    queue.runUntil(10);
    expect(results).to.have.length(4);
    queue.runUntil(30);
    expect(typesOf(results.slice(2))).to.deep.equal(Array(5).fill('answered'));
  });

  it('does not process requests of callers that have disconnected', () => {
    const { queue, upstream, send } = start();
    const requests = [send(), send(), send()];
    (requests[2] as ServerRequest).cancelled = true;
    queue.runUntil(100);
    expect(upstream.startedCount).to.equal(2);
  });

  it('breaks open requests when it is killed, and is cold after a restart', () => {
    const { queue, upstream, results, send } = start();
    send();
    upstream.kill();
    expect(typesOf(results)).to.deep.equal(['broken']);
    upstream.restart();
    send();
    queue.runUntil(10);
    expect(results).to.have.length(1);
    queue.runUntil(100);
    expect(typesOf(results)).to.deep.equal(['broken', 'answered']);
  });

  it('answers after it thaws', () => {
    const { queue, upstream, results, send } = start();
    upstream.freeze();
    send();
    queue.runUntil(500);
    expect(results).to.deep.equal([]);
    upstream.thaw();
    queue.runUntil(600);
    expect(typesOf(results)).to.deep.equal(['answered']);
  });
});
