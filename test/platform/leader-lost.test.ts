/** Control loses its leader, then all members: keys stay with their owners and no acknowledged change is lost. */
import { expect } from 'chai';
import { type AnnouncedUpstream, callRouter } from './announced-upstream.js';
import { DeclaredCluster, DOCUMENT } from './declared-cluster.js';

const NETWORK = 80;
const MEMBERS = 3;

describe('loss and restart of control', function suite() {
  this.timeout(90_000);
  const cluster = new DeclaredCluster(NETWORK, MEMBERS);
  let router = '';
  let menus: AnnouncedUpstream[] = [];

  before(async () => {
    cluster.startMembers();
    expect(await cluster.declare(DOCUMENT, 0)).to.equal(200);
    menus = [
      await cluster.addUpstream({ id: 'menu-1', service: 'menu', keyed: true }),
      await cluster.addUpstream({ id: 'menu-2', service: 'menu', keyed: true }),
    ];
    router = await cluster.startRouter();
    await cluster.untilHeld(menus);
  });

  after(() => cluster.close());

  async function leader(): Promise<number> {
    return cluster.processes.until('a leader', async () => {
      for (let number = 1; number <= MEMBERS; number += 1) {
        const status = await cluster.processes.status(number);
        if (status?.raft.role === 'leader') {
          return number;
        }
      }
      return undefined;
    });
  }

  async function expectServed(): Promise<void> {
    await cluster.processes.until('an answer for each key', async () => {
      for (let key = 0; key < 65_536; key += 8192) {
        const answer = await callRouter(router, '/sheets/a', { key });
        if (answer.status !== 200) {
          return undefined;
        }
      }
      return true;
    });
  }

  it('keeps serving requests while the leader is killed and restarted', async () => {
    const number = await leader();
    await cluster.processes.end(`control-${number}`, 'SIGKILL');
    await expectServed();
    cluster.startMember(number, false);
    await leader();
    await expectServed();
    expect(menus.every(({ rejectedRequests }) => rejectedRequests === 0)).to.equal(true);
  });

  it('keeps all acknowledged changes after all members are killed at once', async () => {
    const route = { ...DOCUMENT.routes[0], name: 'late', prefix: '/late/' };
    expect(await cluster.declare({ version: 9, set: { routes: [route] } }, 1, 'PATCH')).to.equal(200);
    const numbers = Array.from({ length: MEMBERS }, (_, index) => index + 1);
    await Promise.all(numbers.map((number) => cluster.processes.end(`control-${number}`, 'SIGKILL')));
    for (const number of numbers) {
      cluster.startMember(number, false);
    }
    await leader();
    for (const member of cluster.control) {
      const document = await cluster.processes.until('a restarted member', () =>
        cluster.readDocument(member).catch(() => undefined),
      );
      expect(document).to.have.property('version', 9);
    }
    await expectServed();
  });
});
