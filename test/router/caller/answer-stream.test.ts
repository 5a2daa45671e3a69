/** Reading of a blocked answer resumes once there is capacity, but not after the answer was aborted. */
import type { ServerResponse } from 'node:http';
import { expect } from 'chai';
import { AnswerStream } from '../../../src/router/attempts/answer-stream.js';
import { AnswerWriter, type BufferAccount } from '../../../src/router/caller/answer-writer.js';

/** An account whose capacity the test sets. */
class FakeBufferAccount implements BufferAccount {
  available = false;
  readonly waiting = new Set<() => void>();

  hold(): void {}

  hasCapacity(): boolean {
    return this.available;
  }

  waitForRelease(wake: () => void): void {
    this.waiting.add(wake);
  }

  cancelWait(wake: () => void): void {
    this.waiting.delete(wake);
  }

  makeAvailable(): void {
    this.available = true;
    for (const wake of [...this.waiting]) {
      wake();
    }
  }
}

/** Longer than any test takes. */
const LONG_MILLIS = 600_000;

function waitForImmediates(): Promise<void> {
  return new Promise((resolve) => setImmediate(() => setImmediate(resolve)));
}

describe('an answer that waits for capacity', () => {
  let account: FakeBufferAccount;
  let stream: AnswerStream;
  let resumed: number;

  beforeEach(() => {
    resumed = 0;
    account = new FakeBufferAccount();
    stream = new AnswerStream({
      hasLength: true,
      resume: () => {
        resumed += 1;
      },
      onAbandoned: () => {},
      onEndless: () => {},
    });
    stream.add(
      new AnswerWriter({
        onWhole: () => {},
        onBlocked: () => {},
        response: {} as ServerResponse,
        status: 200,
        headers: [],
        account,
        onBroken: () => {},
      }),
    );
    stream.start([], LONG_MILLIS);
  });

  it('is read on once there is capacity, but not synchronously while capacity is released', async () => {
    await waitForImmediates();
    expect(resumed).to.equal(0);
    account.makeAvailable();
    expect(resumed).to.equal(0);
    await waitForImmediates();
    expect(resumed).to.equal(1);
  });

  it('is not read on after it was aborted', async () => {
    account.makeAvailable();
    stream.breakOff();
    await waitForImmediates();
    expect(resumed).to.equal(0);
  });
});
