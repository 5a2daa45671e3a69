/** With real processes: right after a change was acknowledged one member's disk is lost and all others end, routers included. */
import { expect } from 'chai';
import { callRouter } from './announced-upstream.js';
import { DeclaredCluster, DOCUMENT } from './declared-cluster.js';

/** The clusters have the networks after this one. */
const NETWORK = 97;
const MEMBERS = 3;
const ROUTER = 'router-1';

/** Ends all processes of a cluster, loses one disk, and starts the others again; throws unless all that was acknowledged is there. */
async function loseDiskOf(victim: number): Promise<void> {
  const cluster = new DeclaredCluster(NETWORK + victim, MEMBERS);
  const { processes } = cluster;
  try {
    cluster.startMembers();
    expect(await cluster.declare(DOCUMENT, 0)).to.equal(200);
    const menus = [
      await cluster.addUpstream({ id: 'menu-1', service: 'menu', keyed: true }),
      await cluster.addUpstream({ id: 'menu-2', service: 'menu', keyed: true }),
    ];
    const before = await cluster.startRouter();
    await cluster.untilHeld(menus);
    await cluster.untilMembersListen();
    await processes.until('an answer', async () =>
      (await callRouter(before, '/sheets/a', { key: 7 })).status === 200 ? true : undefined,
    );
    const route = { ...DOCUMENT.routes[0], name: 'late', prefix: '/late/' };
    expect(await cluster.declare({ version: 9, set: { routes: [route] } }, 1, 'PATCH')).to.equal(200);
    const numbers = Array.from({ length: MEMBERS }, (_, index) => index + 1);
    const names = [...numbers.map((number) => `control-${number}`), ROUTER];
    await Promise.all(names.map((name) => processes.end(name, 'SIGKILL')));
    processes.lose(`data-${victim}`);
    for (const number of numbers) {
      cluster.startMember(number, false);
    }
    const router = await cluster.startRouter();
    for (const member of cluster.control) {
      const document = await processes.until(`the document at ${member}`, () =>
        cluster.readDocument(member).catch(() => undefined),
      );
      expect(document).to.have.property('version', 9);
    }
    await processes.until('an answer for each key', async () => {
      const keys = Array.from({ length: 8 }, (_, index) => index * 8192);
      const answers = await Promise.all(keys.map((key) => callRouter(router, '/late/a', { key })));
      return answers.every(({ status }) => status === 200) ? true : undefined;
    });
  } finally {
    await cluster.close();
  }
}

describe('the loss of a disk and the end of all processes at once', function suite() {
  this.timeout(90_000);

  it('loses no acknowledged change, and all is served again, whichever member it was', async () => {
    await Promise.all(Array.from({ length: MEMBERS }, (_, index) => loseDiskOf(index + 1)));
  });
});
