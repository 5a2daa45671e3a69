/** Settings are reloaded on a signal and when the file changes; invalid settings change nothing. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import type { CliIo } from '../../src/cli/cli-io.js';
import { SettingsWatch } from '../../src/cli/daemons/settings-watch.js';
import { processIoFor } from '../contract/command-line-run.js';

const WAIT_MILLIS = 10_000;

describe('settings watch', () => {
  let folder = '';
  const listeners: (() => void)[] = [];
  const io: CliIo = { ...processIoFor(WAIT_MILLIS), onReload: (listener) => void listeners.push(listener) };

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'ternmount-settings-'));
    listeners.length = 0;
  });
  afterEach(() => rmSync(folder, { recursive: true, force: true }));

  it('reloads on a signal', () => {
    let reloads = 0;
    const count = (): void => {
      reloads += 1;
    };
    const watch = new SettingsWatch({ io, reload: count });
    listeners[0]?.();
    watch.stop();
    expect(reloads).to.equal(1);
  });

  it('continues after invalid settings', () => {
    let reloads = 0;
    const watch = new SettingsWatch({
      io,
      reload: () => {
        reloads += 1;
        throw new Error('listen: is missing');
      },
    });
    listeners[0]?.();
    listeners[0]?.();
    watch.stop();
    expect(reloads).to.equal(2);
  });

  it('reloads when the file has changed, and not before', async function () {
    this.timeout(WAIT_MILLIS + 5000);
    const file = join(folder, 'router.yaml');
    writeFileSync(file, 'zone: a\n');
    let reloads = 0;
    const count = (): void => {
      reloads += 1;
    };
    const watch = new SettingsWatch({ io, file, reload: count });
    await sleep(300);
    expect(reloads).to.equal(0);
    writeFileSync(file, 'zone: bb\n');
    const deadline = Date.now() + WAIT_MILLIS;
    while (reloads === 0 && Date.now() < deadline) {
      await sleep(50);
    }
    watch.stop();
    expect(reloads).to.equal(1);
  });
});
