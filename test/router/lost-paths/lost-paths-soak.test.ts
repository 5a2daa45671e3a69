import { expect } from 'chai';
import { HEADERS } from '../../../src/model/outcome.js';
import { LostPathsSoak, type SoakOutcome } from './lost-paths-soak.js';
import type { SoakCall } from './soak-callers.js';

const SEEDS = Number(process.env.TERNMOUNT_SEEDS ?? 4);
const ROUTERS = Number(process.env.TERNMOUNT_SOAK_ROUTERS ?? 4);
const UPSTREAMS = Number(process.env.TERNMOUNT_SOAK_UPSTREAMS ?? 3);
const MILLIS = Number(process.env.TERNMOUNT_SOAK_MILLIS ?? 8000);
const SERVED_SHARE = 0.95;

function isServed({ answer }: SoakCall): boolean {
  return answer.status === 200 && answer.whole;
}

function servedShare(calls: readonly SoakCall[]): number {
  return calls.filter(isServed).length / calls.length;
}

function wrongAnswers({ calls }: SoakOutcome): string[] {
  return calls.filter((call) => isServed(call) && call.answer.body !== call.path).map(({ path }) => path);
}

function repeatedOrders({ calls, runs }: SoakOutcome): string[] {
  return calls.filter(({ isOrder, path }) => isOrder && (runs.get(path) ?? 0) > 1).map(({ path }) => path);
}

function falseNotRun({ calls, runs }: SoakOutcome): string[] {
  const isNotRun = ({ answer }: SoakCall): boolean => answer.headers[HEADERS.outcome] === 'not-run';
  return calls.filter((call) => isNotRun(call) && runs.has(call.path)).map(({ path }) => path);
}

describe('router processes that lose their paths, restart and freeze', function () {
  this.timeout(120_000);
  let soak: LostPathsSoak | undefined;

  // One that goes over its time names nothing by itself.
  afterEach(function reportProgress() {
    if (this.currentTest?.isFailed()) {
      console.error(soak?.progress);
    }
  });

  for (let seed = 1; seed <= SEEDS; seed += 1) {
    it(`serve over one another, and keep every promise (seed ${seed})`, async () => {
      const options = { seed, routers: ROUTERS, upstreams: UPSTREAMS, millis: MILLIS };
      soak = new LostPathsSoak(options);
      const outcome = await soak.run();
      const story = outcome.story.join('\n');
      expect(wrongAnswers(outcome), story).to.deep.equal([]);
      expect(repeatedOrders(outcome), story).to.deep.equal([]);
      expect(falseNotRun(outcome), story).to.deep.equal([]);
      expect(servedShare(outcome.settled), story).to.be.at.least(SERVED_SHARE);
      expect(servedShare(outcome.last), story).to.equal(1);
      expect(outcome.relayedAtEnd, story).to.equal(0);
    });
  }
});
