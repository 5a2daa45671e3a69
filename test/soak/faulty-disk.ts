/**
 * Loaded before a control member's program: its writes and syncs hang, or find the disk full, for as long as the file beside its settings
 * file says so.
 */
import { readFileSync } from 'node:fs';
import { type FileHandle, open } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';
import { DISK_FAULT, diskFaultFile } from './disk-fault.js';

const POLL_MILLIS = 20;
const WRITES = ['write', 'writev', 'appendFile', 'writeFile'] as const;
const SYNCS = ['truncate', 'sync', 'datasync'] as const;

type Deed = (this: FileHandle, ...parameters: unknown[]) => Promise<unknown>;

const faultFile = diskFaultFile(process.argv[process.argv.indexOf('--settings') + 1] ?? '');

function currentFault(): string {
  try {
    return readFileSync(faultFile, 'utf8');
  } catch {
    return '';
  }
}

function failWrite(): never {
  const error = new Error('ENOSPC: no space left on device, write');
  throw Object.assign(error, { code: 'ENOSPC', errno: -28, syscall: 'write' });
}

async function patchFiles(): Promise<void> {
  const file = await open('/dev/null', 'r');
  const prototype = Object.getPrototypeOf(file) as Record<string, Deed>;
  await file.close();
  for (const name of [...WRITES, ...SYNCS]) {
    const deed = prototype[name] as Deed;
    const isWrite = (WRITES as readonly string[]).includes(name);
    prototype[name] = async function faulty(...parameters) {
      while (currentFault() === DISK_FAULT.hangs) {
        await sleep(POLL_MILLIS);
      }
      if (isWrite && currentFault() === DISK_FAULT.full) {
        failWrite();
      }
      return deed.apply(this, parameters);
    };
  }
}

await patchFiles();
