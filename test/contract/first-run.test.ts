/** The path of a request through real processes: one control member, one router, one upstream. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { request } from 'undici';
import { stringify } from 'yaml';
import { runLine } from './command-line-run.js';

const PROGRAM = fileURLToPath(new URL('../../src/cli/main.js', import.meta.url));
const DEV_PROGRAM = fileURLToPath(new URL('../../src/dev/main.js', import.meta.url));
const NETWORK = `127.63.${process.pid % 250}`;
const CONTROL_HOST = `${NETWORK}.1`;
const ROUTER_HOST = `${NETWORK}.2`;
const UPSTREAM_HOST = `${NETWORK}.3`;
const PAYLOAD_BYTES = 1000;
const WAIT_MILLIS = 20_000;
const POLL_MILLIS = 20;

describe('first run, as processes', () => {
  let folder: string;
  const running: ChildProcess[] = [];

  function file(name: string, content: object): string {
    const path = join(folder, name);
    writeFileSync(path, stringify(content));
    return path;
  }

  function start(program: string, ...words: readonly string[]): ChildProcess {
    const log = openSync(join(folder, 'log.jsonl'), 'a');
    const child = spawn(process.execPath, [program, ...words], { stdio: ['ignore', log, log] });
    running.push(child);
    return child;
  }

  async function end(child: ChildProcess, signal: NodeJS.Signals): Promise<number | null> {
    const exited = once(child, 'exit');
    child.kill(signal);
    await exited;
    return child.exitCode;
  }

  async function operator(...words: readonly string[]): Promise<string> {
    const result = await runLine(words, { TERNMOUNT_CONTROL_ADMIN: `${CONTROL_HOST}:8001` });
    expect(result.exitCode, `${words.join(' ')}: ${result.errors}${logs()}`).to.equal(0);
    return result.output;
  }

  function logs(): string {
    return `\n${readFileSync(join(folder, 'log.jsonl'), 'utf8')}`;
  }

  async function get(key: string): Promise<{ readonly status: number; readonly body: string }> {
    try {
      const { statusCode: status, body } = await request(`http://${ROUTER_HOST}:8000/menu/${key}`);
      return { status, body: await body.text() };
    } catch {
      return { status: 0, body: '' };
    }
  }

  async function untilAnswered(key: string): Promise<string> {
    const until = Date.now() + WAIT_MILLIS;
    for (;;) {
      const { status, body } = await get(key);
      if (status === 200) {
        return body;
      }
      expect(Date.now(), `status ${status} ${body}${logs()}`).to.be.below(until);
      await sleep(POLL_MILLIS);
    }
  }

  function writeSettings(): Record<'control' | 'router' | 'upstream', string> {
    writeFileSync(join(folder, 'secret'), 'a secret of a test cluster');
    const shared = { cluster: 'demo', zone: 'zone-1', secretFile: join(folder, 'secret') };
    const upstream = {
      id: 'menu-1',
      service: 'menu',
      listen: `${UPSTREAM_HOST}:8000`,
      zone: 'zone-1',
      keyed: true,
      slots: 2,
      payloadBytes: PAYLOAD_BYTES,
      serviceTime: { kind: 'constant', meanMillis: 1 },
    };
    return {
      control: file('control.yaml', {
        ...shared,
        dataFolder: join(folder, 'data'),
        listen: `${CONTROL_HOST}:8002`,
        admin: `${CONTROL_HOST}:8001`,
      }),
      router: file('router.yaml', {
        ...shared,
        router: 'router-1',
        listen: `${ROUTER_HOST}:8000`,
        admin: `${ROUTER_HOST}:8001`,
        control: [`${CONTROL_HOST}:8002`],
      }),
      upstream: file('upstream.yaml', {
        name: 'upstreams',
        cluster: 'demo',
        control: `${UPSTREAM_HOST}:8001`,
        seed: 1,
        journal: join(folder, 'journal.jsonl'),
        upstreams: [upstream],
      }),
    };
  }

  before(() => {
    folder = mkdtempSync(join(tmpdir(), 'ternmount-run-'));
  });
  after(() => {
    for (const child of running) {
      child.kill('SIGKILL');
    }
    rmSync(folder, { recursive: true, force: true });
  });

  it('serves a request, keeps what was acknowledged through a kill, and stops as planned', async () => {
    const settings = writeSettings();
    const made = await runLine(['control', 'init', '--settings', settings.control]);
    expect(made.output).to.match(/^r-[0-9a-f-]{36}\n$/);
    const control = start(PROGRAM, 'control', 'run', '--settings', settings.control);
    const router = start(PROGRAM, 'router', 'run', '--settings', settings.router);
    const upstream = start(DEV_PROGRAM, 'standin', 'upstream', '--settings', settings.upstream);

    const service = {
      kind: 'service',
      name: 'menu',
      repeatable: true,
      keyspaces: [{ name: 'all', prefix: '' }],
    };
    await operator('service', 'apply', file('menu.yaml', service), '--no-wait');
    const address = `${UPSTREAM_HOST}:8000`;
    await operator(
      'upstream',
      'add',
      'menu-1',
      '--service',
      'menu',
      '--address',
      address,
      '--zone',
      'zone-1',
      '--no-wait',
    );
    const answer = JSON.parse(await untilAnswered('key-1')) as Record<string, unknown>;
    expect(answer).to.include({ key: 'key-1', upstream: 'menu-1' });
    expect(answer.payload).to.have.length(PAYLOAD_BYTES);

    await end(control, 'SIGKILL');
    const again = start(PROGRAM, 'control', 'run', '--settings', settings.control);
    expect(await operator('service', 'list')).to.contain('menu');
    expect(JSON.parse(await untilAnswered('key-2'))).to.include({ key: 'key-2' });

    for (const child of [router, upstream, again]) {
      expect(await end(child, 'SIGTERM'), logs()).to.equal(0);
    }
  });
});
