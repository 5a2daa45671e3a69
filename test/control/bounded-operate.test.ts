/**
 * The limit on concurrent requests. Hundreds of upstreams send announcements every second, and while no leader can commit, those with
 * updates wait in the core. With a shared limit an operator's change is rejected as soon as announcements reach it: with 600 upstreams
 * and a heartbeat interval of 870 ms that takes 0.4 s. The first test below fails if the limit is shared.
 */
import { expect } from 'chai';
import { boundOperate, type Operate } from '../../src/control/admin/bounded-operate.js';
import type { OperatorRequest, OperatorResponse } from '../../src/control/types.js';
import type { Logger } from '../../src/logging/logger.js';

const SILENT: Logger = { debug() {}, info() {}, warn() {}, error() {}, log() {}, sample() {} };
const BOUNDS = { maximumOperations: 4, operationTimeoutMillis: 60_000 };
const UPSTREAM = {
  id: 'u1',
  service: 'menu',
  address: '10.0.0.1:80',
  zone: 'a',
  mayHold: [],
  leaving: false,
};
const ANNOUNCEMENT: OperatorRequest = { type: 'announce', definition: UPSTREAM, report: null };
const WITHDRAWAL: OperatorRequest = { type: 'withdraw', upstream: 'u1' };
const EVACUATION: OperatorRequest = { type: 'evacuate', actor: 'test', zone: 'a', isOut: true };

/** A control core that responds only on `answerAll`. */
class PendingCore {
  readonly #pending: ((response: OperatorResponse) => void)[] = [];
  readonly operate: Operate;

  constructor() {
    this.operate = boundOperate(
      (_request) => new Promise((resolve) => this.#pending.push(resolve)),
      BOUNDS,
      SILENT,
    );
  }

  /** Number of requests that reached the core. */
  get count(): number {
    return this.#pending.length;
  }

  start(request: OperatorRequest, times = 1): Promise<OperatorResponse>[] {
    return Array.from({ length: times }, () => this.operate(request));
  }

  answerAll(): void {
    for (const resolve of this.#pending) {
      resolve({ type: 'done' });
    }
  }
}

async function codeOf(answer: Promise<OperatorResponse>): Promise<string> {
  return answer.then(
    ({ type }) => type,
    (error: { adminCode?: string }) => error.adminCode ?? 'no admin error',
  );
}

describe('the limit on concurrent requests', () => {
  for (const [name, request] of [
    ['announcements', ANNOUNCEMENT],
    ['withdrawals', WITHDRAWAL],
  ] as const) {
    it(`leaves capacity for operators regardless of the number of waiting ${name}`, async () => {
      const core = new PendingCore();
      const started = core.start(request, BOUNDS.maximumOperations);
      const [change] = core.start(EVACUATION);
      expect(core.count).to.equal(BOUNDS.maximumOperations + 1);
      core.answerAll();
      expect(await codeOf(change as Promise<OperatorResponse>)).to.equal('done');
      await Promise.all(started);
    });
  }

  it('leaves capacity for announcements regardless of the number of waiting operators', async () => {
    const core = new PendingCore();
    const started = core.start(EVACUATION, BOUNDS.maximumOperations);
    started.push(...core.start(ANNOUNCEMENT));
    expect(core.count).to.equal(BOUNDS.maximumOperations + 1);
    core.answerAll();
    await Promise.all(started);
  });

  for (const request of [ANNOUNCEMENT, EVACUATION]) {
    it(`rejects requests above it (${request.type}) and accepts them again after responses`, async () => {
      const core = new PendingCore();
      const started = core.start(request, BOUNDS.maximumOperations);
      const [rejected] = core.start(request);
      expect(await codeOf(rejected as Promise<OperatorResponse>)).to.equal('overloaded');
      core.answerAll();
      await Promise.all(started);
      const [retried] = core.start(request);
      core.answerAll();
      expect(await codeOf(retried as Promise<OperatorResponse>)).to.equal('done');
    });
  }
});
