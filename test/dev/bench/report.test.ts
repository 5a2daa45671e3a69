import { expect } from 'chai';
import { runArms, target, targetForAll, valuesOf } from '../../../src/dev/bench/arms.js';
import { loadExperiments } from '../../../src/dev/bench/load-experiments.js';
import { renderPlot } from '../../../src/dev/bench/report/plot.js';
import { renderTable } from '../../../src/dev/bench/report/table.js';
import { deploymentSchema } from '../../../src/settings/deployment.js';

const deployment = deploymentSchema.parse({
  name: 'none',
  zones: ['a'],
  network: { betweenZones: '1ms', client: '1ms' },
  services: [{ name: 's', keyed: false, repeatable: true }],
  upstreams: [
    { service: 's', count: 1, slots: 1, connections: 1, connect: '1ms', probe: '1ms', serviceTime: '1ms' },
  ],
  workload: {
    callers: 1,
    phases: [{ name: 'p', duration: '1s', requestsPerSecond: 1, mix: [{ service: 's', share: 1 }] }],
  },
});

function makeResult() {
  const context = { deployment, seeds: [1, 2, 3], progress: () => {} };
  const arms = runArms(context, [
    { name: 'ours', baseline: false, run: (seed) => [{ name: 'wait', unit: 'ms', value: seed * 10 }] },
    { name: 'plain', baseline: true, run: () => [{ name: 'wait', unit: 'ms', value: 100 }] },
  ]);
  const values = valuesOf(arms, 'ours', 'wait');
  const targets = [target('short wait', values, '<=', 20, 'ms'), targetForAll('short wait', values, 20)];
  return { arms, targets, notes: ['a note'] };
}

describe('experiment report', () => {
  it('shows medians with their ranges, baselines and targets', () => {
    const table = renderTable('title', makeResult());
    expect(table).to.include('20 [10-30]');
    expect(table).to.include('plain (baseline)');
    expect(table).to.match(/short wait +<= 20 ms +20 \[10-30\] +met/);
    expect(table).to.match(/short wait, every seed +<= 20 +20 \[10-30\] +NOT MET/);
  });

  it('renders an SVG with a panel for each measure and a chart', async () => {
    const points = [0, 1, 2].map((x) => ({ series: 'ours', x, y: x * x }));
    const charts = [{ title: 'over time', xTitle: 'x', yTitle: 'y', points }];
    const svg = await renderPlot('title', { ...makeResult(), charts });
    expect(svg).to.match(/^<svg/);
    expect(svg).to.include('wait (ms)');
    expect(svg).to.include('over time');
  });

  it('loads each experiment once, by its name', async () => {
    const experiments = await loadExperiments();
    expect([...experiments.keys()]).to.include.members([
      'bracket-drop',
      'breakfast',
      'hot-key',
      'picker',
      'policy-change',
      'retry-storm',
      'rolling-restart',
      'server-loss',
      'zone-cut',
    ]);
    for (const [name, experiment] of experiments) {
      expect(experiment.name).to.equal(name);
    }
  });
});
