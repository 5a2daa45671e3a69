/** Runs the steps of docs/OPERATIONS.md that lead from the ids of three kinds of failed requests to their causes. */
import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import { runLine } from '../contract/command-line-run.js';
import { type AnnouncedUpstream, callRouter } from './announced-upstream.js';
import { DeclaredCluster, DOCUMENT } from './declared-cluster.js';

const NETWORK = 78;

describe('from a failed request to its cause', function suite() {
  this.timeout(60_000);
  const cluster = new DeclaredCluster(NETWORK, 1);
  let router = '';
  let menu: AnnouncedUpstream;
  let isSlow = false;

  before(async () => {
    cluster.startMembers();
    expect(await cluster.declare(DOCUMENT, 0)).to.equal(200);
    menu = await cluster.addUpstream({
      id: 'menu-1',
      service: 'menu',
      keyed: true,
      work: async () => {
        await new Promise((resolve) => setTimeout(resolve, isSlow ? 400 : 5));
        return null;
      },
    });
    await cluster.addUpstream({
      id: 'pantry-1',
      service: 'pantry',
      work: async (_run, response) => {
        response.socket?.resetAndDestroy();
        return null;
      },
    });
    router = await cluster.startRouter();
    await cluster.untilHeld([menu]);
  });

  after(() => cluster.close());

  async function explain(id: string): Promise<string> {
    const logs = ['router-1.log', 'control-1.log'].map((name) => cluster.processes.file(name));
    return cluster.processes.until(`a record of ${id}`, async () => {
      const { output } = await runLine(['request', 'explain', id, ...logs]);
      return output === '' ? undefined : output;
    });
  }

  function first(output: string): Record<string, unknown> {
    return JSON.parse(output.split('\n')[0] ?? '{}');
  }

  it('an unsafe request whose outcome is unknown', async () => {
    const answer = await callRouter(router, '/orders/1', { id: 'order-1', method: 'POST', body: 'fish' });
    expect(answer.status).to.equal(502);
    const output = await explain('order-1');
    expect(first(output)).to.include({ reason: 'upstream-failed', outcome: 'unknown', route: 'orders' });
    expect(first(output).attempts).to.have.nested.property('[0].upstream', 'pantry-1');
    expect(first(output).attempts).to.have.nested.property('[0].result', 'broken');
    expect(output).to.match(/\n {2}.*"event":"upstream-changed","upstream":"pantry-1"/);
  });

  it('a request refused under load', async () => {
    isSlow = true;
    const ids = Array.from({ length: 40 }, (_, index) => `load-${index}`);
    const answers = await Promise.all(
      ids.map((id) => callRouter(router, '/sheets/1', { id, key: 7, deadline: 1000 })),
    );
    isSlow = false;
    const position = answers.findIndex(({ status }) => status === 503);
    expect(position).to.be.at.least(0);
    expect(Number(answers[position]?.headers['retry-after'])).to.be.above(0);
    const output = await explain(ids[position] as string);
    expect(first(output)).to.include({ outcome: 'not-run', owner: 'menu-1', service: 'menu' });
    expect(first(output).reason).to.be.oneOf(['would-miss-deadline', 'queue-full', 'deadline-passed']);
    expect(first(output).waitMillis).to.be.a('number');
  });

  it('a keyed request without an owner', async () => {
    menu.state = 'draining';
    expect(await menu.announce()).to.equal(200);
    await cluster.processes.until('a range without owner', async () =>
      readFileSync(cluster.processes.file('control-1.log'), 'utf8').includes('"leaving":true')
        ? true
        : undefined,
    );
    await menu.stop();
    const answer = await callRouter(router, '/sheets/1', { id: 'lost-1', key: 9, deadline: 1400 });
    expect(answer.status).to.equal(503);
    const output = await explain('lost-1');
    expect(first(output)).to.include({ reason: 'no-owner', outcome: 'not-run' });
    expect(output).to.match(/\n {2}.*"event":"range-changed"/);
  });

  it('a request without a log record', async () => {
    const { exitCode, errors } = await runLine([
      'request',
      'explain',
      'nobody',
      cluster.processes.file('router-1.log'),
    ]);
    expect(exitCode).to.equal(1);
    expect(errors).to.include('no record of request "nobody"');
  });
});
