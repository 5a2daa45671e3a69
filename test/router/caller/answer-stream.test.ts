/** When an answer that was held up is read on. */
import type { ServerResponse } from 'node:http';
import { expect } from 'chai';
import { AnswerStream } from '../../../src/router/attempts/answer-stream.js';
import { AnswerWriter, type WriterAccount } from '../../../src/router/caller/answer-writer.js';

/** An account whose room a test gives and takes. */
class ScriptedAccount implements WriterAccount {
  room = false;
  readonly waiting = new Set<() => void>();

  hold(): void {}

  hasRoom(): boolean {
    return this.room;
  }

  whenReleased(wake: () => void): void {
    this.waiting.add(wake);
  }

  forget(wake: () => void): void {
    this.waiting.delete(wake);
  }

  giveRoom(): void {
    this.room = true;
    for (const wake of [...this.waiting]) {
      wake();
    }
  }
}

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(() => setImmediate(resolve)));
}

describe('an answer that waits for room', () => {
  let account: ScriptedAccount;
  let stream: AnswerStream;
  let resumed: number;

  beforeEach(() => {
    resumed = 0;
    account = new ScriptedAccount();
    stream = new AnswerStream({
      resume: () => {
        resumed += 1;
      },
      abandoned: () => {},
    });
    stream.add(
      new AnswerWriter({
        response: {} as ServerResponse,
        status: 200,
        headers: [],
        account,
        broke: () => {},
      }),
    );
    stream.start([]);
  });

  it('is read on once there is room, but not while that room is being made', async () => {
    await nextTurn();
    expect(resumed).to.equal(0);
    account.giveRoom();
    expect(resumed).to.equal(0);
    await nextTurn();
    expect(resumed).to.equal(1);
  });

  it('is not read on once it broke', async () => {
    account.giveRoom();
    stream.breakOff();
    await nextTurn();
    expect(resumed).to.equal(0);
  });
});
