/** Crash reports of a router that can't reach a run which lives accuse nobody. */
import { expect } from 'chai';
import { AccusedRuns } from '../../src/control/accused-runs.js';
import type { IdentityQuestion } from '../../src/control/identity-question.js';
import type { UpstreamCrash } from '../../src/model/crash-suspect.js';
import type { AnnouncedProperties } from '../../src/model/service.js';
import { createRegistry, type Registry } from '../../src/registry/index.js';
import { questionNumbers } from './question-numbers.js';

const SLOTS: AnnouncedProperties = { slots: 2, warmupMillis: 0 };

function crashOf(run: string, fingerprint = 'f1'): UpstreamCrash {
  return { fingerprint, service: 'web', run, reporter: 'router-1' };
}

function registryWith(id: string, announced: AnnouncedProperties | undefined): Registry {
  const registry = createRegistry();
  const definition = {
    id,
    service: 'web',
    address: '127.0.0.1:1',
    zone: 'a',
    mayHold: [],
    leaving: false,
    ...(announced !== undefined && { announced }),
  };
  const command = { type: 'upstream-announce', definition } as const;
  registry.apply(1, { requestId: null, actor: 'test', at: 0, command });
  return registry;
}

describe('runs that routers take for ended', () => {
  let questions: IdentityQuestion[];
  let accepted: UpstreamCrash[];

  beforeEach(() => {
    questions = [];
    accepted = [];
  });

  function examiner(registry: Registry): AccusedRuns {
    return new AccusedRuns({
      registry: () => registry,
      nextQuestion: questionNumbers(),
      ask: (question) => questions.push(question),
      log: () => {},
    });
  }

  function examine(runs: AccusedRuns, crashes: readonly UpstreamCrash[], now = 0): void {
    runs.examine(crashes, now, (standing) => accepted.push(...standing));
  }

  it('are asked once, and accuse nobody if they answer', () => {
    const runs = examiner(registryWith('run-1', SLOTS));
    examine(runs, [crashOf('run-1'), crashOf('run-1', 'f2')]);
    expect(questions).to.have.length(1);
    expect(questions[0]).to.include({ address: '127.0.0.1:1', claimant: 'run-1' });
    runs.onAnswer(1, { type: 'named', upstream: 'run-1' }, 5);
    examine(runs, [crashOf('run-1')], 300);
    expect(questions).to.have.length(1);
    expect(accepted).to.deep.equal([]);
  });

  for (const answer of [
    { type: 'unknown' },
    { type: 'another' },
    { type: 'named', upstream: 'run-2' },
  ] as const) {
    it(`count as ended if the answer is ${JSON.stringify(answer)}`, () => {
      const runs = examiner(registryWith('run-1', SLOTS));
      examine(runs, [crashOf('run-1'), crashOf('run-1', 'f2')]);
      expect(accepted).to.deep.equal([]);
      runs.onAnswer(1, answer, 5);
      expect(accepted).to.have.length(2);
    });
  }

  it('are asked again after a while', () => {
    const runs = examiner(registryWith('run-1', SLOTS));
    examine(runs, [crashOf('run-1')]);
    runs.onAnswer(1, { type: 'named', upstream: 'run-1' }, 5);
    examine(runs, [crashOf('run-1')], 3000);
    expect(questions).to.have.length(2);
  });

  it('count as ended at once if they are gone or their upstream keeps its id', () => {
    examine(examiner(registryWith('run-1', { ...SLOTS, born: 5 })), [crashOf('run-1@5')]);
    examine(examiner(registryWith('run-1', SLOTS)), [crashOf('run-0')]);
    expect(questions).to.deep.equal([]);
    expect(accepted).to.have.length(2);
  });
});
