/** Faults of one process that are due while it is still being started again. */
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import type { ScheduledFault } from '../../src/dev/fleet/fault-schedule.js';
import { FaultRunner } from '../../src/dev/fleet/faults/fault-runner.js';
import type { Fleet } from '../../src/dev/fleet/fleet.js';
import { machineMillis } from '../../src/dev/journal/machine-clock.js';

/** How long a process takes to stop. */
const STOP_MILLIS = 300;

/** A fleet whose processes only note what happens to them. */
class NotingFleet {
  readonly happened: string[] = [];
  readonly admin = {};
  readonly options = { declared: true };
  readonly plan = { operatorHost: '127.0.0.1', routers: [], upstreams: [] as object[] };
  readonly journal = { write: () => {} };
  readonly supervisor = {
    isRunning: () => true,
    kill: async (name: string) => void this.happened.push(`${name} killed`),
  };
  /** Processes whose next start fails. */
  readonly broken = new Set<string>();

  specOf(name: string): object {
    return { name, kind: 'router' };
  }

  async wait(millis: number): Promise<void> {
    await sleep(Math.max(0, millis));
  }

  async stopProcess(name: string): Promise<void> {
    this.happened.push(`${name} stops`);
    await sleep(STOP_MILLIS);
  }

  async startProcess(name: string): Promise<void> {
    this.happened.push(`${name} starts`);
    if (this.broken.delete(name)) {
      throw new Error(`${name} doesn't start`);
    }
  }
}

function faultOf(type: 'kill' | 'stop' | 'early', target: string, at: number): ScheduledFault {
  return { type, target, at, seconds: 0 };
}

describe('faults of processes', () => {
  let fleet: NotingFleet;

  beforeEach(() => {
    fleet = new NotingFleet();
  });

  function run(faults: readonly ScheduledFault[]): Promise<void> {
    return new FaultRunner(fleet as unknown as Fleet).run(faults, machineMillis());
  }

  // Guards against processes that a later fault kills while an earlier one starts them again, which fails the run.
  it('follow one another, however long the planned stop of an earlier one takes', async () => {
    await run([faultOf('stop', 'r1', 0), faultOf('kill', 'r1', 0.05), faultOf('stop', 'r1', 0.1)]);
    expect(fleet.happened).to.deep.equal([
      'r1 stops',
      'r1 starts',
      'r1 killed',
      'r1 starts',
      'r1 stops',
      'r1 starts',
    ]);
  });

  // Guards against answers that are to be made bad at a process that doesn't run, for so long that its runner gives up.
  it('end before an upstream is told to answer badly', async () => {
    const server = createServer((_, response) => {
      fleet.happened.push('r1 told');
      response.end();
    }).listen(0, '127.0.0.1');
    await once(server, 'listening');
    fleet.plan.upstreams.push({ name: 'r1', admin: `127.0.0.1:${(server.address() as AddressInfo).port}` });
    try {
      await run([faultOf('stop', 'r1', 0), faultOf('kill', 'r1', 0.05), faultOf('early', 'r1', 0.1)]);
    } finally {
      server.close();
    }
    expect(fleet.happened).to.deep.equal([
      'r1 stops',
      'r1 starts',
      'r1 killed',
      'r1 starts',
      'r1 told',
      'r1 told',
    ]);
  });

  it('overlap between processes', async () => {
    await run([faultOf('stop', 'r1', 0), faultOf('kill', 'r2', 0.05)]);
    expect(fleet.happened).to.deep.equal(['r1 stops', 'r2 killed', 'r2 starts', 'r1 starts']);
  });

  it('fail the run when one fails', async () => {
    fleet.broken.add('r1');
    const failure = await run([faultOf('stop', 'r1', 0), faultOf('kill', 'r1', 0.05)]).catch(
      (thrown: unknown) => thrown,
    );
    expect(failure).to.be.instanceOf(Error);
    expect((failure as Error).message).to.equal("r1 doesn't start");
  });
});
