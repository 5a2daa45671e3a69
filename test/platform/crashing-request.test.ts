/** A request that crashes each server, with real processes: after three crashes all routers refuse it, including new ones. */
import { expect } from 'chai';
import { HEADERS } from '../../src/model/outcome.js';
import { runLine } from '../contract/command-line-run.js';
import { type AnnouncedUpstream, type CallerAnswer, callRouter } from './announced-upstream.js';
import { DeclaredCluster, DOCUMENT } from './declared-cluster.js';

const NETWORK = 84;
const KEY = 7;
const CRASHES = 3;
const MAX_SENDS = 40;
const RESTART_MILLIS = 300;
const CRASHING = '/sheets/crash';

interface SuspectsAnswer {
  readonly suspects: readonly { readonly fingerprint: string; readonly crashes: number }[];
}

describe('a request that crashes servers', function suite() {
  this.timeout(90_000);
  const cluster = new DeclaredCluster(NETWORK, 1);
  const routers: string[] = [];
  const timers: NodeJS.Timeout[] = [];
  let crashes = 0;
  let runs = 0;

  /** Starts a run. After the request crashes it, another run starts at the same address. */
  async function startRun(port = 0, host?: string): Promise<void> {
    runs += 1;
    let upstream: AnnouncedUpstream | undefined;
    const work = async ({ path }: { readonly path: string }): Promise<string | null> => {
      if (path !== CRASHING || upstream === undefined) {
        return null;
      }
      crashes += 1;
      const { address, port: freedPort } = upstream;
      upstream.crash();
      timers.push(setTimeout(() => void startRun(freedPort, address.split(':')[0]), RESTART_MILLIS));
      return new Promise(() => {});
    };
    const options = { id: `menu-${runs}`, service: 'menu', keyed: true, work };
    upstream = await cluster.addUpstream(options, port, host);
  }

  function ask(router: string | undefined, path: string, number: number): Promise<CallerAnswer> {
    return callRouter(router as string, path, { key: KEY, id: `${path}-${number}`, deadline: 800 });
  }

  function isQuarantined({ status, headers }: CallerAnswer): boolean {
    return status === 503 && headers[HEADERS.reason] === 'quarantined';
  }

  async function operate(...words: readonly string[]): Promise<string> {
    const { exitCode, output, errors } = await runLine(words, {
      TERNMOUNT_CONTROL_ADMIN: cluster.control.join(','),
    });
    expect(exitCode, errors).to.equal(0);
    return output;
  }

  async function suspects(): Promise<SuspectsAnswer['suspects']> {
    const response = await fetch(`http://${cluster.control[0]}/v1/suspects`);
    return ((await response.json()) as SuspectsAnswer).suspects;
  }

  before(async () => {
    cluster.startMembers();
    expect(await cluster.declare(DOCUMENT, 0)).to.equal(200);
    await startRun();
    await startRun();
    await startRun();
    routers.push(await cluster.startRouter(), await cluster.startRouter());
    await cluster.untilHeld(cluster.upstreams);
  });

  after(async () => {
    for (const timer of timers) {
      clearTimeout(timer);
    }
    await cluster.close();
  });

  it('is refused by each router after it crashed three runs', async () => {
    let refused: CallerAnswer | undefined;
    for (let number = 0; number < MAX_SENDS && refused === undefined; number += 1) {
      const answer = await ask(routers[number % 2], CRASHING, number);
      refused = isQuarantined(answer) ? answer : undefined;
    }
    expect(refused, 'a refusal').not.to.equal(undefined);
    expect(refused?.headers[HEADERS.outcome]).to.equal('not-run');
    expect(Number(refused?.headers['retry-after'])).to.be.above(60);
    expect(crashes).to.equal(CRASHES);
    await cluster.processes.until('refusals by both routers', async () => {
      const answers = await Promise.all(routers.map((router) => ask(router, CRASHING, MAX_SENDS)));
      return answers.every(isQuarantined) ? true : undefined;
    });
    expect(crashes).to.equal(CRASHES);
  });

  it('doesn’t affect other requests for its key', async () => {
    await cluster.processes.until('a new owner', async () =>
      (await ask(routers[0], '/sheets/other', 1)).status === 200 ? true : undefined,
    );
  });

  it('is refused by a new router after a restart of control', async () => {
    await cluster.processes.end('control-1', 'SIGKILL');
    cluster.startMember(1, false);
    const late = await cluster.startRouter();
    expect(isQuarantined(await ask(late, CRASHING, 1))).to.equal(true);
    expect(crashes).to.equal(CRASHES);
  });

  it('is routed again after an operator releases it', async () => {
    const [suspect] = await suspects();
    const { fingerprint = '' } = suspect ?? {};
    const listed = await operate('quarantine', 'list');
    expect(listed).to.contain(fingerprint).and.to.contain('refused');
    await operate('quarantine', 'release', fingerprint);
    await cluster.processes.until('one more crash', async () => {
      await ask(routers[0], CRASHING, 1);
      return crashes > CRASHES ? true : undefined;
    });
  });
});
