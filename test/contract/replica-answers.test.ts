/** A new replica, which knows no addresses yet, answers over the connection on which it is asked, whatever others the asking member opens. */
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import type { AppendRequest } from '../../src/consensus/types.js';
import type { Greeting } from '../../src/control/messages.js';
import { DEFAULT_WIRE_LIMITS, FrameClient, raftCodecs } from '../../src/wire/index.js';
import { ProcessCluster } from './process-cluster.js';

const NETWORK = 148;
const NUMBER = 1;
const LEADER = 'leader';
const POLL_MILLIS = 20;
const WAIT_MILLIS = 5000;
/** Repeated as heartbeats are. */
const REPEAT_MILLIS = 100;
const GREETING: Greeting = {
  type: 'greeting',
  cluster: 'demo',
  kind: 'control',
  name: LEADER,
  zone: 'zone-1',
};

describe('answers of a new replica', () => {
  const cluster = new ProcessCluster(NETWORK);
  const clients: FrameClient[] = [];
  let replica = '';
  let rounds = 0;

  before(async () => {
    replica = await cluster.startMember(NUMBER, 'join');
  });
  after(() => {
    for (const client of clients) {
      client.stop();
    }
    cluster.close();
  });

  /** Opens a connection as the leader; `answered` gets the rounds that are answered on it. */
  async function open(answered: (round: number) => void): Promise<FrameClient> {
    const client = new FrameClient({
      address: `${cluster.host(NUMBER)}:8002`,
      identity: { greeting: GREETING, secret: 'a secret of a test cluster', expects: ['control'] },
      limits: DEFAULT_WIRE_LIMITS,
      onFrame: ({ kind, payload }) => {
        const message = raftCodecs.decode(kind, payload);
        if (message.type === 'append-response') {
          answered(message.round);
        }
      },
    });
    clients.push(client);
    await cluster.until('connection', async () => (client.ready ? true : undefined));
    return client;
  }

  function ask(client: FrameClient): number {
    rounds += 1;
    const request: AppendRequest = {
      type: 'append-request',
      from: LEADER,
      to: replica,
      term: 1,
      previousIndex: 0,
      previousTerm: 0,
      entries: [],
      commitIndex: 0,
      round: rounds,
    };
    const { kind, payload } = raftCodecs.encode(request);
    client.send(kind, payload);
    return rounds;
  }

  /** Asks until something is answered that was asked from now on. */
  async function expectAnswer(client: FrameClient, answers: readonly number[]): Promise<void> {
    const first = ask(client);
    const until = performance.now() + WAIT_MILLIS;
    let askedAt = performance.now();
    while (!answers.some((round) => round >= first)) {
      expect(performance.now(), `no answer${cluster.logs()}`).to.be.below(until);
      await sleep(POLL_MILLIS);
      if (performance.now() - askedAt > REPEAT_MILLIS) {
        ask(client);
        askedAt = performance.now();
      }
    }
  }

  it('come while another connection of the leader is open, and after that one is closed', async () => {
    const answers: number[] = [];
    const client = await open((round) => answers.push(round));
    await expectAnswer(client, answers);
    const other = await open(() => {});
    await expectAnswer(client, answers);
    other.stop();
    await sleep(REPEAT_MILLIS);
    await expectAnswer(client, answers);
  });
});
