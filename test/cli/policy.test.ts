/** Tests `policy check` and `policy try`, which need no cluster. */
import { expect } from 'chai';
import { runCli, ScratchFolder } from './cli-harness.js';

const GOOD = `policy:
  - name: bulk-waits
    when: request.class == 'bulk' && queue.fill > 0.5
    action: hold
    holdMillis: 100
  - name: overload
    when: load > 1.0
    action: refuse
  - name: near
    when: upstream.zone != zone
    action: weigh
    weight: 10
`;

const WRONG = `policy:
  - name: one
    when: |
      load > 1.0 &&
        lod > 2.0
    action: refuse
  - name: two
    when: queue.fill
    action: refuse
`;

function record(changes: { service?: string; load?: number; length?: number; decision?: string }): string {
  const { service = 'menu', load = 0.1, length = 0, decision = 'pass' } = changes;
  return JSON.stringify({
    at: 1,
    context: {
      request: { class: 'bulk', method: 'GET', key: 'k', service, attempt: 1 },
      queue: { length, limit: 10 },
      load,
      zone: 'a',
      deadline: { remainingMillis: 1000 },
    },
    upstreams: [
      { id: 'far', zone: 'b', inFlight: 0, slots: 2, load: 0, serviceMillis: 5 },
      { id: 'near', zone: 'a', inFlight: 1, slots: 2, load: 0, serviceMillis: 5 },
    ],
    decision,
  });
}

describe('policy check', () => {
  const folder = new ScratchFolder();
  after(() => folder.remove());

  it('prints file, line and column of each problem', async () => {
    const file = folder.write('wrong.yaml', WRONG);
    const { exitCode, errors, output } = await runCli(['policy', 'check', file]);
    expect({ exitCode, output }).to.deep.equal({ exitCode: 2, output: '' });
    expect(errors).to.match(/wrong\.yaml:5:9: policy\.one\.when: .*lod/);
    expect(errors).to.match(/wrong\.yaml:8:11: policy\.two\.when: must give a bool/);
  });

  it('lists the valid files', async () => {
    const files = [folder.write('good.yaml', GOOD), folder.write('none.yaml', 'policy: []\n')];
    const { exitCode, output } = await runCli(['policy', 'check', ...files]);
    expect(exitCode).to.equal(0);
    expect(output).to.match(/good\.yaml: valid, 3 rules\n.*none\.yaml: valid, 0 rules\n/);
  });

  it('prints the problems as JSON', async () => {
    const file = folder.write('wrong.yaml', WRONG);
    const { exitCode, errors, output } = await runCli(['policy', 'check', file, '--output', 'json']);
    expect({ exitCode, errors }).to.deep.equal({ exitCode: 2, errors: '' });
    const [checked] = JSON.parse(output);
    expect(checked.problems[0]).to.include({ line: 5, column: 9, path: 'policy.one.when' });
  });

  it('continues after an invalid file', async () => {
    const files = [folder.write('wrong.yaml', WRONG), folder.write('good.yaml', GOOD)];
    const { exitCode, output } = await runCli(['policy', 'check', ...files]);
    expect(exitCode).to.equal(2);
    expect(output).to.match(/good\.yaml: valid/);
  });
});

describe('policy try', () => {
  const folder = new ScratchFolder();
  const policy = folder.write('good.yaml', GOOD);
  after(() => folder.remove());

  const trial = (trace: readonly string[], ...words: readonly string[]) =>
    runCli(['policy', 'try', policy, '--trace', folder.write('trace.jsonl', trace.join('\n')), ...words]);

  it('counts the decisions by rule', async () => {
    const trace = [
      record({}),
      record({ length: 6 }),
      record({ load: 2 }),
      record({ load: 3, decision: 'refuse' }),
    ];
    const { exitCode, output } = await trial(trace);
    expect(exitCode).to.equal(0);
    expect(output).to.contain('records: 4, passed: 1 (25 %)');
    expect(output).to.contain('decided otherwise than recorded: 2 (50 %)');
    expect(output).to.contain('another upstream preferred: 4 (100 %)');
    expect(output).to.match(/bulk-waits +hold +1\n/);
    expect(output).to.match(/overload +refuse +2\n/);
  });

  it('prints each decision as JSON', async () => {
    const { output } = await trial([record({ load: 2 })], '--output', 'json');
    const { records } = JSON.parse(output);
    expect(records).to.deep.equal([
      {
        at: 1,
        recorded: 'pass',
        decision: { type: 'refuse', rule: 'overload', retryAfterMillis: null },
        preferred: 'near',
      },
    ]);
  });

  it('requires --service if the trace has several services', async () => {
    const trace = [record({}), record({ service: 'other' })];
    const { exitCode, errors } = await trial(trace);
    expect(exitCode).to.equal(2);
    expect(errors).to.contain('menu, other');
    expect((await trial(trace, '--service', 'other')).output).to.contain('records: 1,');
  });

  for (const [problem, lines, message] of [
    ['no JSON', [record({}), '{'], /trace\.jsonl:2: is no JSON/],
    ['another shape', ['', '{"at":1}'], /trace\.jsonl:2: context/],
  ] as const) {
    it(`names the line of a trace that is ${problem}`, async () => {
      const { exitCode, errors } = await trial(lines);
      expect(exitCode).to.equal(2);
      expect(errors).to.match(message);
    });
  }
});
