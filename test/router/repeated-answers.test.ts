/** Answers that an upstream sends a second time: none of them counts as the answer to another attempt, whatever id that carries. */
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { callRouter } from '../platform/announced-upstream.js';
import { RoutedRouter, writeAnswer, writeRefusal } from './routed-router.js';
import type { ScriptedRequest } from './scripted-upstream.js';

const ORDERS = 40;
/** Times after which the copy of a refusal is sent: before, around and after the next attempt. */
const COPY_DELAYS_MILLIS = [0, 1, 5, 10, 15, 20, 25, 30, 40];

interface RefusalCase {
  readonly name: string;
  readonly refuse: (request: ScriptedRequest) => void;
}

const REFUSALS: readonly RefusalCase[] = [
  { name: 'of an upstream that is full', refuse: writeRefusal },
  {
    name: 'of an upstream at its limit',
    refuse: (request) => writeAnswer(request, '429 Too Many Requests', ['ternmount-not-run: 1']),
  },
];

describe('the copy of a refusal', () => {
  let router: RoutedRouter;
  /** Ids of the requests that ran. */
  let ran: string[];

  beforeEach(async () => {
    router = await RoutedRouter.start({ limits: { connectionsPerUpstream: 1 } });
    ran = [];
  });

  afterEach(() => router.stop());

  function run(request: ScriptedRequest): void {
    ran.push(request.headers.get('ternmount-request-id') ?? '');
    setTimeout(() => writeAnswer(request), 5);
  }

  for (const { name, refuse } of REFUSALS) {
    it(`${name}, in the place of the answer to the next attempt, does not make a promise of what ran`, async () => {
      let attempt = 0;
      router.server.script = (request) => {
        attempt += 1;
        if (attempt === 1) {
          refuse(request);
          return;
        }
        const [first] = router.server.requests;
        refuse(first as ScriptedRequest);
        run(request);
      };
      const answer = await callRouter(router.daemon.address, '/orders/1', { id: 'q-1', deadline: 900 });
      expect(ran).to.deep.equal(['q-1']);
      expect(answer.status).to.equal(200);
    });
  }

  it('that comes at any time after the first one does not make a promise of what ran', async () => {
    let arrivals = 0;
    router.server.script = (request) => {
      arrivals += 1;
      if (arrivals % 2 === 0) {
        run(request);
        return;
      }
      writeRefusal(request);
      const delay = COPY_DELAYS_MILLIS[((arrivals - 1) / 2) % COPY_DELAYS_MILLIS.length] ?? 0;
      setTimeout(() => request.socket.destroyed || writeRefusal(request), delay);
    };
    const refused: string[] = [];
    for (let order = 1; order <= ORDERS; order += 1) {
      const id = `q-${order}`;
      const { status } = await callRouter(router.daemon.address, '/orders/1', { id, deadline: 900 });
      if (status === 503) {
        refused.push(id);
      }
    }
    await sleep(50);
    expect(refused.filter((id) => ran.includes(id))).to.deep.equal([]);
  });

  it('does not stand for the answer to a later request with the same id', async () => {
    router.server.script = writeRefusal;
    await callRouter(router.daemon.address, '/orders/1', { id: 'q-1', deadline: 900 });
    const last = router.server.requests.at(-1) as ScriptedRequest;
    router.server.script = (request) => {
      writeRefusal(last);
      run(request);
    };
    const answer = await callRouter(router.daemon.address, '/orders/1', { id: 'q-1', deadline: 900 });
    expect(ran).to.deep.equal(['q-1']);
    expect(answer.status).to.equal(200);
  });
});
