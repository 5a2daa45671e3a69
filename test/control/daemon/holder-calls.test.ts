/** Calls to upstreams with plain grants: the requests on the wire, and the outcome reported for each response or failure. */
import { expect } from 'chai';
import { HolderCalls } from '../../../src/control/daemon/holder-calls.js';
import type { GrantCall, HolderCall, HolderOutcome } from '../../../src/control/ranges/holder-call.js';
import { DEFAULT_HOLDER_PROTOCOL } from '../../../src/model/holder-protocol.js';
import { LogRecorder } from '../../router/log-recorder.js';
import { type ScriptedRequest, ScriptedUpstream } from '../../router/scripted-upstream.js';

const GRANT_MILLIS = 300;

function grantTo(upstream: string, address: string): GrantCall {
  return {
    kind: 'grant',
    run: 'u1',
    isBound: false,
    id: 1,
    upstream,
    address,
    from: 4,
    to: 9,
    fence: 36,
    holdMillis: 2000,
    handover: null,
  };
}

function answer(status: string): (request: ScriptedRequest) => void {
  return ({ socket }) => socket.write(`HTTP/1.1 ${status}\r\ncontent-length: 0\r\n\r\n`);
}

describe('calls to upstreams with plain grants', () => {
  let upstream: ScriptedUpstream;
  let calls: HolderCalls | null = null;

  beforeEach(async () => {
    upstream = await new ScriptedUpstream().start();
  });

  afterEach(async () => {
    calls?.stop();
    calls = null;
    await upstream.stop();
  });

  function callAndWait(call: GrantCall): Promise<HolderOutcome> {
    return new Promise((resolve) => {
      calls = new HolderCalls({
        protocol: DEFAULT_HOLDER_PROTOCOL,
        grantMillis: GRANT_MILLIS,
        releaseMillis: GRANT_MILLIS,
        log: new LogRecorder(),
        ended: (_id, outcome) => resolve(outcome),
      });
      calls.call(call);
    });
  }

  /** Guards against a leader that ends: an id or an address that can't stand in a request threw inside the core's step. */
  for (const [what, id, address] of [
    ['an id with a line end', 'run\r\n1', ''],
    ['an id beyond U+00FF', 'run-\u4e00', ''],
    ['an address without a port', 'run-1', 'nowhere'],
    ['a port that is none', 'run-1', '127.0.0.1:99999'],
  ] as const) {
    it(`ends as not sent if the call can't be written: ${what}`, async () => {
      const outcome = await callAndWait(grantTo(id, address === '' ? upstream.address : address));
      expect(outcome).to.deep.equal({ type: 'not-sent' });
    });
  }

  it('sends the name of the run that the grant is for', async () => {
    upstream.script = answer('200 OK');
    const outcome = await callAndWait(grantTo('run-1', upstream.address));
    expect(outcome).to.deep.equal({ type: 'accepted', handover: null });
    expect(upstream.requests[0]?.headers.get('ternmount-instance')).to.equal('run-1');
  });

  it('reports the run as ended if another run at the address responds', async () => {
    upstream.script = answer('421 Misdirected Request');
    expect(await callAndWait(grantTo('run-1', upstream.address))).to.deep.equal({ type: 'ended' });
  });

  it('reports a higher fence, another status and a timeout as different outcomes', async () => {
    upstream.script = answer('409 Conflict');
    expect(await callAndWait(grantTo('run-1', upstream.address))).to.deep.equal({ type: 'superseded' });
    upstream.script = answer('503 Service Unavailable');
    const rejected = await callAndWait(grantTo('run-1', upstream.address));
    expect(rejected).to.deep.equal({ type: 'rejected', status: 503 });
    upstream.script = () => {};
    expect(await callAndWait(grantTo('run-1', upstream.address))).to.deep.equal({ type: 'silent' });
  });

  it('does not report the run as ended if the connection is refused', async () => {
    const { address } = upstream;
    await upstream.stop();
    expect(await callAndWait(grantTo('run-1', address))).to.deep.equal({ type: 'refused' });
    upstream = await new ScriptedUpstream().start();
  });

  /** Makes calls one after another with the same connections; returns their outcomes. */
  async function callInSequence(...steps: readonly (HolderCall | 'next')[]): Promise<HolderOutcome[]> {
    const outcomes: HolderOutcome[] = [];
    let onOutcome: (outcome: HolderOutcome) => void = () => {};
    calls = new HolderCalls({
      protocol: DEFAULT_HOLDER_PROTOCOL,
      grantMillis: GRANT_MILLIS,
      releaseMillis: GRANT_MILLIS,
      log: new LogRecorder(),
      ended: (_id, outcome) => onOutcome(outcome),
    });
    for (const call of steps) {
      if (call === 'next') {
        await startNextRun();
      } else {
        const outcome = new Promise<HolderOutcome>((resolve) => {
          onOutcome = resolve;
        });
        calls.call(call);
        outcomes.push(await outcome);
      }
    }
    return outcomes;
  }

  /** Starts another run of the upstream at the same address. */
  async function startNextRun(): Promise<void> {
    const port = Number(upstream.address.split(':')[1]);
    await upstream.stop();
    upstream = await new ScriptedUpstream(answer('200 OK')).start(port);
    await new Promise((resolve) => setTimeout(resolve, 20));
  }

  const boundGrant = (isBound: boolean, fence = 36): GrantCall => ({
    ...grantTo('u1', upstream.address),
    run: 'u1@100',
    fence,
    isBound,
  });

  it('does not take the copy of the answer to a grant for the answer to a release', async () => {
    let isReleased = false;
    upstream.script = (request) => {
      if (request.target.endsWith('/release')) {
        isReleased = true;
        answer('200 OK')(upstream.requests[0] as ScriptedRequest);
      } else {
        answer('200 OK')(request);
      }
    };
    const grant = grantTo('u1', upstream.address);
    const { id, address, from, to, fence, run } = grant;
    const release = { kind: 'release', upstream: 'u1', id, address, from, to, fence, run } as const;
    const outcomes = await callInSequence(grant, release);
    expect(isReleased).to.equal(true);
    expect(outcomes.map(({ type }) => type)).to.deep.equal(['accepted', 'silent']);
  });

  it('does not take the copy of a 421 to an earlier run for the end of the next one', async () => {
    upstream.script = (request) => {
      const isForNext = request.headers.get('ternmount-instance') === 'u2';
      answer('421 Misdirected Request')(isForNext ? (upstream.requests[0] as ScriptedRequest) : request);
    };
    const { address } = upstream;
    const outcomes = await callInSequence(
      { ...grantTo('u1', address) },
      { ...grantTo('u2', address), run: 'u2' },
    );
    expect(outcomes.map(({ type }) => type)).to.deep.equal(['ended', 'silent']);
  });

  it('renews a grant over the connection that it was first sent on', async () => {
    upstream.script = answer('200 OK');
    const outcomes = await callInSequence(boundGrant(false), boundGrant(true), boundGrant(true));
    expect(outcomes.map(({ type }) => type)).to.deep.equal(['accepted', 'accepted', 'accepted']);
    expect(new Set(upstream.requests.map(({ connection }) => connection)).size).to.equal(1);
  });

  it('never renews a grant at another run with the same id and address', async () => {
    upstream.script = answer('200 OK');
    const renewal = boundGrant(true);
    const outcomes = await callInSequence(boundGrant(false), 'next', renewal, renewal);
    expect(outcomes.map(({ type }) => type)).to.deep.equal(['accepted', 'unbound', 'unbound']);
    expect(upstream.requests).to.deep.equal([]);
  });

  it('sends another run a grant with a new fence', async () => {
    upstream.script = answer('200 OK');
    const outcomes = await callInSequence(boundGrant(false), 'next', boundGrant(true), boundGrant(false, 37));
    expect(outcomes.map(({ type }) => type)).to.deep.equal(['accepted', 'unbound', 'accepted']);
    expect(upstream.requests.map(({ body }) => JSON.parse(body).fence)).to.deep.equal([37]);
  });

  it('does not renew a grant that it never sent, such as one of an earlier leader', async () => {
    upstream.script = answer('200 OK');
    expect((await callInSequence(boundGrant(true)))[0]).to.deep.equal({ type: 'unbound' });
    expect(upstream.requests).to.deep.equal([]);
  });
});
