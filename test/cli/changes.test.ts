/** Tests commands that make changes, against the operators' API. */
import { expect } from 'chai';
import { AdminHarness, READ_TOKEN, WRITE_TOKEN } from '../contract/admin-harness.js';
import { type CliResult, runCli, ScratchFolder } from './cli-harness.js';

const MENU = `kind: service
name: menu
repeatable: true
keyspaces:
  - { name: all, prefix: '', shards: 4 }
---
kind: upstream
id: menu-1
service: menu
address: 10.0.0.1:8080
zone: zone-a
`;

describe('commands that make changes', () => {
  const folder = new ScratchFolder();
  let harness: AdminHarness;
  beforeEach(async () => {
    harness = new AdminHarness();
    await harness.start();
  });
  afterEach(() => harness.stop());
  after(() => folder.remove());

  function run(line: string, token = WRITE_TOKEN): Promise<CliResult> {
    const environment = { TERNMOUNT_CONTROL_ADMIN: harness.address, TERNMOUNT_TOKEN: token };
    return runCli(line.split(' '), environment);
  }

  it('applies a file, shows it as in force, and reports it unchanged the second time', async () => {
    const file = folder.write('menu.yaml', MENU);
    const first = await run(`service apply ${file}`);
    expect(first.exitCode, first.errors).to.equal(0);
    expect(first.output).to.contain('service/menu: in force everywhere, revision 1');
    expect((await run(`service apply ${file}`)).output).to.equal(
      'service/menu: unchanged\nupstream/menu-1: unchanged\n',
    );
    const shown = await run('service get menu');
    const again = folder.write('shown.yaml', shown.output);
    expect((await run(`service apply ${again}`)).output).to.equal('service/menu: unchanged\n');
  });

  it('--dry-run shows the difference and changes nothing', async () => {
    await run(`service apply ${folder.write('menu.yaml', MENU)}`);
    const before = harness.state();
    const changed = folder.write(
      'changed.yaml',
      MENU.replace('repeatable: true', 'repeatable: true\ndeadline: 5s'),
    );
    const { output } = await run(`service apply ${changed} --dry-run`);
    expect(output).to.contain('~ deadline: "2s" -> "5s"');
    expect(output).to.contain('upstream/menu-1 (revision 2)\n  unchanged');
    for (const [line, expectedText] of [
      ['upstream drain menu-1 --dry-run', '~ leaving: false -> true'],
      ['upstream remove menu-1 --dry-run', '- address: "10.0.0.1:8080"'],
      [
        'upstream add menu-2 --service menu --address 10.0.0.2:80 --zone z --dry-run',
        '+ address: "10.0.0.2:80"',
      ],
      ['service delete menu --dry-run', '- name: "menu"'],
      [
        `policy apply menu ${folder.write('p.yaml', 'policy: [{ name: a, when: "true", action: refuse }]')} --dry-run`,
        '+ policy[a].when: "true"',
      ],
      ['shard move menu/all@1/0 menu-1 --dry-run', '~ owner: "nobody" -> "menu-1"'],
    ] as const) {
      const preview = await run(line);
      expect(preview.exitCode, preview.errors).to.equal(0);
      expect(preview.output).to.contain(expectedText);
    }
    expect(harness.state()).to.equal(before);
  });

  const invalidFiles: readonly (readonly [string, string, string])[] = [
    ['an unknown key', MENU.replace('zone: zone-a', 'zoom: zone-a'), '11:1: zoom: unknown key'],
    ['a number without unit', MENU.replace('name: menu\n', 'name: menu\ndeadline: 5\n'), '3:11: deadline'],
    ['no YAML', 'kind: [service', '1:'],
    ['an unknown service', MENU.replace('service: menu', 'service: menus'), '9:10: service'],
    ['an unknown keyspace', `${MENU}mayHold: [all, final]\n`, '12:16: mayHold[1]'],
    [
      'a wrong policy',
      MENU.replace('---', 'policy:\n  - name: full\n    when: queue.fil > 1\n    action: refuse\n---'),
      '8:17: policy.full.when',
    ],
  ];
  for (const [name, text, expectedProblem] of invalidFiles) {
    it(`a file with ${name} is rejected with file, line and column, and changes nothing`, async () => {
      const file = folder.write('bad.yaml', text);
      const { exitCode, errors } = await run(`service apply ${file}`);
      expect(exitCode).to.equal(2);
      expect(errors).to.contain(`${file}:${expectedProblem}`);
      expect(harness.registry.revision).to.equal(0);
    });
  }

  it('applies a policy and reads it back', async () => {
    await run(`service apply ${folder.write('menu.yaml', MENU)}`);
    const file = folder.write(
      'policy.yaml',
      'policy:\n  - { name: full, when: queue.fill > 0.9, action: refuse }\n',
    );
    expect((await run(`policy apply menu ${file}`)).output).to.contain('policy/menu: in force everywhere');
    const shown = await run('policy get menu');
    expect(shown.output).to.contain('when: queue.fill > 0.9');
    const again = folder.write('again.yaml', shown.output);
    expect((await run(`policy apply menu ${again} --dry-run`)).output).to.contain('unchanged');
  });

  it('exits with 3 after a concurrent change, 5 with a refused token, 1 for a missing object', async () => {
    await run(`service apply ${folder.write('menu.yaml', MENU)}`);
    const add = 'upstream add menu-1 --service menu --address 10.0.0.9:80 --zone z';
    expect((await run(add)).exitCode).to.equal(3);
    expect((await run('upstream remove menu-1 --revision 77')).exitCode).to.equal(3);
    expect((await run('upstream drain menu-1', READ_TOKEN)).exitCode).to.equal(5);
    expect((await run('upstream drain menu-1', 'tmt_nobody')).exitCode).to.equal(5);
    expect((await run('service get nothing')).exitCode).to.equal(1);
    expect((await run('request lookup nothing')).exitCode).to.equal(1);
  });

  it('returns the first outcome for the same --request-id after a concurrent change', async () => {
    const file = folder.write('menu.yaml', MENU.split('---')[0] ?? '');
    const first = await run(`service apply ${file} --request-id one`);
    await run(`service apply ${folder.write('other.yaml', `${MENU.split('---')[0]}deadline: 9s\n`)}`);
    const resent = await run(`service apply ${file} --request-id one`);
    expect(resent).to.deep.equal(first);
    expect(harness.registry.services().get('menu')?.definition.deadlineMillis).to.equal(9000);
  });

  it('explains a key', async () => {
    await run(`service apply ${folder.write('menu.yaml', MENU)}`);
    const { output } = await run('shard explain home-12 --output json');
    expect(JSON.parse(output || '{}')).to.include({ keyspace: 'all', ownerState: null });
  });
});
