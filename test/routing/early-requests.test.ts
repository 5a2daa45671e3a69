/** Requests that arrive before the first configuration. */
import { expect } from 'chai';
import { createRouterNode } from '../../src/routing/index.js';
import type { ArrivedRequest, RouterCore, RouterEffect, RouterInput } from '../../src/routing/types.js';
import { CONFIG, type EffectOf, service, upstream } from './router-harness.js';

/** A router without a configuration, and its clock. */
class StartingRouter {
  now = 1000;
  readonly #core: RouterCore;
  #syncTo = '';
  #stamp = 0;

  constructor(holdsEarlyRequests: boolean) {
    this.#core = createRouterNode({ ...CONFIG, holdsEarlyRequests });
  }

  step(input: RouterInput): RouterEffect[] {
    return this.#core.step(input, this.now, 0);
  }

  send(number: number, deadlineMillis: number | null = 1200): RouterEffect[] {
    const request: ArrivedRequest = {
      request: number,
      service: 'pantry',
      key: null,
      method: 'GET',
      target: '/x',
      variant: null,
      deadlineMillis,
      idempotency: null,
    };
    return this.step({ type: 'request', request });
  }

  pass(millis: number): RouterEffect[] {
    this.now += millis;
    return this.step({ type: 'tick' });
  }

  /** Makes the router send its first sync request. */
  requestSync(): void {
    const [sync] = only(this.step({ type: 'tick' }), 'send-control');
    if (sync?.message.type === 'sync-request') {
      this.#syncTo = sync.to;
      this.#stamp = sync.message.stamp;
    }
  }

  /** Answers the sync request with a configuration. */
  configure(): RouterEffect[] {
    return this.step({
      type: 'control-message',
      from: this.#syncTo,
      message: {
        type: 'sync-response',
        stamp: this.#stamp,
        confirmed: true,
        revision: 5,
        snapshot: {
          revision: 5,
          services: [service('pantry')],
          upstreams: [upstream('u1', 'pantry')],
          shards: [],
          routes: [],
          declaration: null,
          ranges: [],
          suspects: [],
        },
        delta: null,
        leader: null,
        members: [],
        turn: null,
      },
    });
  }
}

function only<Type extends RouterEffect['type']>(effects: RouterEffect[], type: Type): EffectOf<Type>[] {
  return effects.filter((effect): effect is EffectOf<Type> => effect.type === type);
}

describe('requests before the first configuration', () => {
  it('are dispatched in order of arrival with their remaining time once it arrives', () => {
    const router = new StartingRouter(true);
    router.requestSync();
    expect(router.send(1, 3000)).to.deep.equal([]);
    router.now += 100;
    expect(router.send(2, 3000)).to.deep.equal([]);
    router.now += 100;
    const dispatched = only(router.configure(), 'dispatch');
    expect(dispatched.map(({ request, deadlineMillis }) => [request, deadlineMillis])).to.deep.equal([
      [1, 2800],
      [2, 2900],
    ]);
  });

  it('are refused with a retry time well before their deadline if it does not arrive', () => {
    const router = new StartingRouter(true);
    router.requestSync();
    router.send(1, 1200);
    expect(only(router.pass(599), 'refuse')).to.deep.equal([]);
    const [refusal] = only(router.pass(2), 'refuse');
    expect(refusal).to.include({ request: 1, status: 503, reason: 'no-configuration', outcome: 'not-run' });
    expect(refusal?.retryAfterMillis).to.be.above(0);
    expect(only(router.pass(5000), 'refuse')).to.deep.equal([]);
  });

  it('are dropped when their caller disconnects', () => {
    const router = new StartingRouter(true);
    router.requestSync();
    router.send(1, 1200);
    router.step({ type: 'request-cancelled', request: 1 });
    expect(only(router.pass(1300), 'refuse')).to.deep.equal([]);
  });

  it('are refused immediately unless holding is enabled', () => {
    const router = new StartingRouter(false);
    router.requestSync();
    expect(only(router.send(1), 'refuse')[0]).to.include({ reason: 'no-configuration' });
  });
});
