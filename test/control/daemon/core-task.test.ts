/** The order in which a control core gets its inputs, and what becomes of those that wait for long. */
import { setImmediate as nextTurn } from 'node:timers/promises';
import { expect } from 'chai';
import { CoreTask } from '../../../src/control/daemon/core-task.js';
import { InputQueue, MAX_ROUTINE_AGE_MILLIS } from '../../../src/control/daemon/input-queue.js';
import type { ControlCore, ControlInput } from '../../../src/control/types.js';

const REPORTS = 500;
const REPORT: ControlInput = {
  type: 'router-message',
  connection: 'router-1',
  message: { type: 'load-report', intervalMillis: 1000, shards: [] },
};
const GONE: ControlInput = { type: 'router-gone', connection: 'router-1' };
const HEARTBEAT: ControlInput = {
  type: 'operator-request',
  operation: 'heartbeat',
  request: {
    type: 'announce',
    definition: { id: 'u1', service: 's', address: '127.0.0.1:80', zone: 'a', mayHold: [], leaving: false },
    report: null,
  },
};
const CHANGE: ControlInput = {
  type: 'operator-request',
  operation: 'change',
  request: { type: 'evacuate', actor: 'operator', zone: 'a', isOut: true },
};

/** A core that records its inputs; each step takes a moment, so that a turn doesn't suffice for all of them. */
class RecordingCore implements Pick<ControlCore, 'step' | 'nextDeadline' | 'work'> {
  readonly seen: ControlInput[] = [];

  step(input: ControlInput): [] {
    this.seen.push(input);
    const end = performance.now() + 0.2;
    while (performance.now() < end) {
      // Takes processor time.
    }
    return [];
  }

  nextDeadline(): number {
    return performance.now() + 60_000;
  }

  work() {
    return { appliedEntries: 0, routerMessages: 0, routingSnapshots: 0, searchedSpans: 0 };
  }
}

describe('inputs of a control core', () => {
  /** Guards against a change that waited for seconds behind reports, heartbeats and answers to renewals. */
  it('are handled in turns, so that an operator’s change goes before hundreds of reports that arrived earlier', async () => {
    const core = new RecordingCore();
    const task = new CoreTask(
      core as unknown as ControlCore,
      () => {},
      () => {},
    );
    for (let number = 0; number < REPORTS; number += 1) {
      task.post(REPORT);
    }
    await nextTurn();
    const before = core.seen.length;
    expect(before).to.be.below(REPORTS);
    task.post(CHANGE);
    expect(core.seen[before]).to.equal(CHANGE);
    while (core.seen.length <= REPORTS) {
      await nextTurn();
    }
    task.stop();
  });

  it('keep their order among routine ones, so that a connection ends after its messages', () => {
    const queue = new InputQueue();
    queue.add(REPORT, 0);
    queue.add(GONE, 0);
    queue.add(CHANGE, 1);
    expect(queue.takeUrgent()).to.equal(CHANGE);
    expect([queue.takeRoutine(2)?.input, queue.takeRoutine(2)?.input]).to.deep.equal([REPORT, GONE]);
    expect(queue.hasRoutine).to.equal(false);
  });

  it('expire if they are heartbeats or load reports that waited for longer than their senders do', () => {
    const queue = new InputQueue();
    for (const input of [REPORT, HEARTBEAT, GONE]) {
      queue.add(input, 0);
    }
    const now = MAX_ROUTINE_AGE_MILLIS + 1;
    const taken = [queue.takeRoutine(now), queue.takeRoutine(now), queue.takeRoutine(now)];
    expect(taken.map((input) => input?.hasExpired)).to.deep.equal([true, true, false]);
  });
});
