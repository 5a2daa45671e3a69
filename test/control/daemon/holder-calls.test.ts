/** Calls to upstreams that take plain grants: what goes over the wire, and how each way of ending is reported. */
import { expect } from 'chai';
import { HolderCalls } from '../../../src/control/daemon/holder-calls.js';
import type { GrantCall, HolderOutcome } from '../../../src/control/ranges/holder-call.js';
import { DEFAULT_HOLDER_PROTOCOL } from '../../../src/model/holder-protocol.js';
import { LogRecorder } from '../../router/log-recorder.js';
import { type ScriptedRequest, ScriptedUpstream } from '../../router/scripted-upstream.js';

const GRANT_MILLIS = 300;

function grantTo(upstream: string, address: string): GrantCall {
  return {
    kind: 'grant',
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

describe('calls to upstreams that take plain grants', () => {
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

  it('names the run that the grant is for', async () => {
    upstream.script = answer('200 OK');
    const outcome = await callAndWait(grantTo('run-1', upstream.address));
    expect(outcome).to.deep.equal({ type: 'accepted', handover: null });
    expect(upstream.requests[0]?.headers.get('ternmount-instance')).to.equal('run-1');
  });

  it('takes the answer of another run at the address for proof that this one has ended', async () => {
    upstream.script = answer('421 Misdirected Request');
    expect(await callAndWait(grantTo('run-1', upstream.address))).to.deep.equal({ type: 'ended' });
  });

  it('reports a higher fence, another status and silence each as what it is', async () => {
    upstream.script = answer('409 Conflict');
    expect(await callAndWait(grantTo('run-1', upstream.address))).to.deep.equal({ type: 'superseded' });
    upstream.script = answer('503 Service Unavailable');
    const rejected = await callAndWait(grantTo('run-1', upstream.address));
    expect(rejected).to.deep.equal({ type: 'rejected', status: 503 });
    upstream.script = () => {};
    expect(await callAndWait(grantTo('run-1', upstream.address))).to.deep.equal({ type: 'silent' });
  });

  it('takes a refused connection for proof that the run has ended', async () => {
    const { address } = upstream;
    await upstream.stop();
    expect(await callAndWait(grantTo('run-1', address))).to.deep.equal({ type: 'ended' });
    upstream = await new ScriptedUpstream().start();
  });
});
