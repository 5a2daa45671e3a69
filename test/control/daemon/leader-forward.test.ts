/** Requests that a member passes to the leader over their connection: their responses, and when callers are sent there instead. */
import { expect } from 'chai';
import { LeaderForward } from '../../../src/control/daemon/leader-forward.js';
import type { ForwardableRequest } from '../../../src/control/forwarded-request.js';
import type { OperatorRequest, OperatorResponse } from '../../../src/control/types.js';
import type { Frame } from '../../../src/wire/index.js';
import { LogRecorder } from '../../router/log-recorder.js';

const WITHDRAWAL: ForwardableRequest = { type: 'withdraw', upstream: 'u1', born: 7 };
const ACCEPTED: OperatorResponse = {
  type: 'result',
  result: { type: 'accepted', revision: 4 },
  inForce: false,
};
const HUGE_BYTES = 2 * 1024 * 1024;

function frameOf(kind: number, payload: Uint8Array): Frame {
  return { kind, correlation: 0, payload };
}

describe('requests passed to the leader', () => {
  let received: OperatorRequest[];
  let sentFrames: number;
  let leader: LeaderForward;
  let follower: LeaderForward;
  let isConnected: boolean;
  let answers: boolean;
  let log: LogRecorder;

  beforeEach(() => {
    received = [];
    sentFrames = 0;
    isConnected = true;
    answers = true;
    log = new LogRecorder();
    const operate = (request: OperatorRequest): Promise<OperatorResponse> => {
      received.push(request);
      return answers ? Promise.resolve(ACCEPTED) : new Promise(() => {});
    };
    leader = new LeaderForward({ send: () => false, operate, log });
    follower = new LeaderForward({
      send: (_to, kind, payload) => {
        sentFrames += 1;
        leader.onFrame(frameOf(kind, payload), (back, content) =>
          follower.onFrame(frameOf(back, content), () => {}),
        );
        return isConnected;
      },
      operate,
      log,
    });
  });

  /** Guards against upstreams and operators that were all sent to the leader, which accepts one connection a turn. */
  it('are carried out there, and its response is returned', async () => {
    const responses = await Promise.all([
      follower.forward('m1', WITHDRAWAL),
      follower.forward('m1', WITHDRAWAL),
    ]);
    expect(responses).to.deep.equal([ACCEPTED, ACCEPTED]);
    expect(received).to.deep.equal([WITHDRAWAL, WITHDRAWAL]);
  });

  it('have no response without a connection', async () => {
    isConnected = false;
    answers = false;
    expect(await follower.forward('m1', WITHDRAWAL)).to.equal(null);
  });

  it('have none from a leader that is silent, and nothing more is passed to it for a while', async () => {
    answers = false;
    expect(await follower.forward('m1', WITHDRAWAL)).to.equal(null);
    expect(await follower.forward('m1', WITHDRAWAL)).to.equal(null);
    expect(sentFrames).to.equal(1);
    answers = true;
    expect(await follower.forward('m2', WITHDRAWAL)).to.deep.equal(ACCEPTED);
    expect(log.warnings).to.deep.equal(['leader-silent']);
  });

  it('are not passed on if they are huge', async () => {
    const routes = ['x'.repeat(HUGE_BYTES)];
    const change = {
      type: 'declaration-apply',
      version: 1,
      expected: 0,
      extent: 'whole',
      routes,
      services: [],
      limits: null,
      removedRoutes: [],
      removedServices: [],
      retiresRanges: true,
    } as const;
    expect(await follower.forward('m1', { type: 'declare', actor: 'operator', change })).to.equal(null);
    expect(sentFrames).to.equal(0);
  });

  // Guards against members of an earlier release that fail on a request of a later one.
  it('are left if this release does not know them', async () => {
    const later = { type: 'of-a-later-release' } as unknown as ForwardableRequest;
    const distant: LeaderForward = new LeaderForward({
      send: (_to, kind, payload) => {
        setImmediate(() =>
          leader.onFrame(frameOf(kind, payload), (back, content) =>
            distant.onFrame(frameOf(back, content), () => {}),
          ),
        );
        return true;
      },
      operate: () => Promise.reject(new Error('not asked here')),
      log,
    });
    expect(await distant.forward('m1', later)).to.deep.equal({ type: 'unknown' });
    expect(received).to.deep.equal([]);
  });

  it('leave other frames to other readers', () => {
    expect(leader.onFrame(frameOf(17, new Uint8Array(0)), () => {})).to.equal(false);
  });
});
