/** Identity queries to an address: the requests on the wire, and the result for each response or failure. */
import { expect } from 'chai';
import { IdentityQuestions } from '../../../src/control/daemon/identity-questions.js';
import type { IdentityAnswer } from '../../../src/control/identity-question.js';
import { DEFAULT_HOLDER_PROTOCOL } from '../../../src/model/holder-protocol.js';
import { LogRecorder } from '../../router/log-recorder.js';
import { type Script, ScriptedUpstream } from '../../router/scripted-upstream.js';

const TIMEOUT_MILLIS = 300;
const PROTOCOL = { ...DEFAULT_HOLDER_PROTOCOL, instanceHeader: 'meant-for', identityHeader: 'spoken-by' };

function answer(status: string, spokenBy?: string): Script {
  const identity = spokenBy === undefined ? '' : `Spoken-By: ${spokenBy}\r\n`;
  return ({ socket }) => socket.write(`HTTP/1.1 ${status}\r\n${identity}content-length: 0\r\n\r\n`);
}

describe('identity queries to an address', () => {
  let upstream: ScriptedUpstream;

  beforeEach(async () => {
    upstream = await new ScriptedUpstream().start();
  });

  afterEach(() => upstream.stop());

  function ask(address = upstream.address, healthPath: string | null = '/well'): Promise<IdentityAnswer> {
    return new Promise((resolve) => {
      const questions = new IdentityQuestions({
        protocol: PROTOCOL,
        timeoutMillis: TIMEOUT_MILLIS,
        log: new LogRecorder(),
        answered: (id, identity) => {
          expect(id).to.equal(7);
          resolve(identity);
        },
      });
      questions.ask({ id: 7, address, claimant: 'run-2', healthPath });
    });
  }

  /** Guards against control members that end one after the other: the health path of a service held a blank. */
  for (const [what, address, path] of [
    ['a path with a blank', '', '/health '],
    ['a path beyond U+00FF', '', '/\u4e00'],
    ['a path with a line end', '', '/a\r\nb'],
    ['an address without a port', 'nowhere', '/well'],
  ] as const) {
    it(`have no answer if they can't be written: ${what}`, async () => {
      const asked = address === '' ? upstream.address : address;
      expect(await ask(asked, path)).to.deep.equal({ type: 'unknown' });
      expect(upstream.requests).to.deep.equal([]);
    });
  }

  it('name the run, at the path of its service, each over a connection of its own', async () => {
    upstream.script = answer('200 OK', 'run-2');
    await ask();
    await ask(upstream.address, null);
    expect(upstream.requests.map(({ method, target }) => [method, target])).to.deep.equal([
      ['GET', '/well'],
      ['GET', '/ternmount/v1/health'],
    ]);
    expect(upstream.requests.map(({ headers }) => headers.get('meant-for'))).to.deep.equal([
      'run-2',
      'run-2',
    ]);
    expect(upstream.requests.map(({ connection }) => connection)).to.deep.equal([1, 2]);
  });

  it('return the name in the response, whether the upstream is healthy or not', async () => {
    upstream.script = answer('200 OK', 'run-2');
    expect(await ask()).to.deep.equal({ type: 'named', upstream: 'run-2' });
    upstream.script = answer('503 Service Unavailable', 'run-2');
    expect(await ask()).to.deep.equal({ type: 'named', upstream: 'run-2' });
    upstream.script = answer('200 OK', 'run-1');
    expect(await ask()).to.deep.equal({ type: 'named', upstream: 'run-1' });
  });

  it('return `another` if another run rejects them', async () => {
    upstream.script = answer('421 Misdirected Request', 'run-2');
    expect(await ask()).to.deep.equal({ type: 'another' });
  });

  it('return `unknown` without a name, a response or a listener', async () => {
    const stopped = await new ScriptedUpstream().start();
    const { address } = stopped;
    await stopped.stop();
    const cases: readonly [Script, string][] = [
      [answer('200 OK'), upstream.address],
      [answer('200 OK', ''), upstream.address],
      [answer('503 Service Unavailable'), upstream.address],
      [({ socket }) => socket.destroy(), upstream.address],
      [({ socket }) => socket.write('nonsense\r\n\r\n'), upstream.address],
      [() => {}, upstream.address],
      [() => {}, address],
    ];
    for (const [script, target] of cases) {
      upstream.script = script;
      expect(await ask(target)).to.deep.equal({ type: 'unknown' });
    }
  });
});
