/**
 * A new user's way by the pages alone: the shell blocks of install, first service, draining and replacing a lost disk, run
 * one after the other with real processes. What the pages leave to the reader is filled in here: ids that a command
 * printed, and process ids.
 */
import { spawnSync } from 'node:child_process';
import {
  chmodSync,
  cpSync,
  existsSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { blocksOf, readPages } from './pages.js';

const ROOT = resolve(fileURLToPath(new URL('../../../', import.meta.url)));
const PROGRAM = join(ROOT, 'build/src/cli/main.js');
/** Addresses of the pages; the same ones in a range of this process alone, so that two runs beside each other don't meet. */
const PAGE_ADDRESS = /127\.61\.(\d)\.(\d)/g;
const OWN_RANGE = { second: 100 + (process.pid % 128), third: 4 * (Math.floor(process.pid / 128) % 60) };
const LOGS = ['control-1.log', 'control-2.log', 'control-3.log', 'router.log'];
const LOG_TAIL = 1500;
const WALK_MILLIS = 150_000;

/** Blocks that are for another machine or another day. */
const LEFT_OUT = [/npm install/, /drain menu-7/, /remove menu-7/];

/** Moves the pages' addresses into the own range. */
function inOwnRange(text: string): string {
  const { second, third } = OWN_RANGE;
  return text.replace(PAGE_ADDRESS, (_, zone, host) => `127.${second}.${third + Number(zone)}.${host}`);
}

/** Shell text of a page's blocks, in order. */
function blocks(name: string): string[] {
  const page = readPages().find((candidate) => candidate.name === name);
  expect(page, name).not.to.equal(undefined);
  return (page === undefined ? [] : blocksOf(page))
    .filter(({ language }) => language === 'sh')
    .map(({ text }) => text)
    .filter((text) => !LEFT_OUT.some((pattern) => pattern.test(text)));
}

/** Fills in what the reader would. */
function fillIn(text: string): string {
  return inOwnRange(text)
    .replace(/^(ternmount control join --settings control-(\d)\.yaml).*$/gm, '$1 > id-$2')
    .replace(
      /^(ternmount control run --settings control-(\d)\.yaml) &$/gm,
      '$1 >> control-$2.log 2>&1 &\nCONTROL_$2_PID=$!',
    )
    .replace(/^(ternmount router run .*) &$/gm, '$1 >> router.log 2>&1 &')
    .replace(/^(node server\.mjs menu-(\d) .*) &$/gm, '$1 &\nMENU_$2_PID=$!')
    .replaceAll('r-the-second', '"$(cat id-2)"')
    .replaceAll('r-the-third', '"$(cat id-3)"')
    .replaceAll('r-old', '"$OLD"')
    .replaceAll('r-new', '"$(cat id-1)"')
    .replace(/^(ternmount request lookup .*)$/gm, '$1 || test $? = 1');
}

/** The end of each process's log. */
function readLogs(folder: string): string {
  const found = LOGS.filter((name) => existsSync(join(folder, name)));
  return found
    .map((name) => `${name}: ${readFileSync(join(folder, name), 'utf8').slice(-LOG_TAIL)}`)
    .join('\n');
}

const HEAD = `set -eu
trap 'kill $(jobs -p) 2> /dev/null; wait' EXIT
curl() { command curl --fail --silent --show-error --retry 30 --retry-delay 1 --retry-all-errors "$@"; }
`;
/** The disk of the first member is lost. The reader comes once another one leads. */
const LOSS = `OLD=$(node -p 'JSON.parse(fs.readFileSync("data-1/identity.json")).replica')
kill -KILL $CONTROL_1_PID
until ternmount control status > status.txt; do sleep 0.2; done
`;

describe('the way by the pages alone', function () {
  this.timeout(WALK_MILLIS + 30_000);
  let folder: string;

  before(() => {
    folder = mkdtempSync(join(tmpdir(), 'ternmount-walk-'));
    cpSync(join(ROOT, 'examples/first-service'), folder, { recursive: true });
    for (const name of readdirSync(folder)) {
      const path = join(folder, name);
      writeFileSync(path, inOwnRange(readFileSync(path, 'utf8')));
    }
    mkdirSync(join(folder, 'bin'));
    writeFileSync(join(folder, 'bin/ternmount'), `#!/bin/sh\nexec ${process.execPath} ${PROGRAM} "$@"\n`);
    chmodSync(join(folder, 'bin/ternmount'), 0o755);
    writeFileSync(join(folder, 'package.json'), JSON.stringify({ name: 'walk', private: true }));
    mkdirSync(join(folder, 'node_modules'));
    symlinkSync(ROOT, join(folder, 'node_modules/ternmount'));
  });
  after(() => rmSync(folder, { recursive: true, force: true }));

  it('from nothing to a first service, a drained upstream and a replaced control member', () => {
    const pages = [
      ...blocks('docs/operators/install.md'),
      ...blocks('docs/operators/first-service.md'),
      LOSS,
      ...blocks('docs/operators/replacing-a-machine-with-a-lost-disk.md'),
    ];
    const script = HEAD + pages.map(fillIn).join('\n');
    const { PATH = '' } = process.env;
    const { status, stdout, stderr } = spawnSync('bash', ['-c', script], {
      cwd: folder,
      encoding: 'utf8',
      timeout: WALK_MILLIS,
      env: { PATH: `${join(folder, 'bin')}:${PATH}`, HOME: folder },
    });
    const told = `${stdout}\n${stderr}\n${script}\n${readLogs(folder)}`;
    expect(status, told).to.equal(0);
    for (const part of [
      'service/menu: in force everywhere',
      'porridge',
      'upstream/menu-1: owns nothing',
      'upstream/menu-1: in force everywhere',
      'repaired: ',
    ]) {
      expect(stdout, told).to.contain(part);
    }
    expect(stdout.trimEnd().split('\n').at(-1), told).to.equal('3 of 3 voters answer; 1 may be lost');
  });
});
