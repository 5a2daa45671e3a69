/** Members that don't lead, with real processes: they answer changes and heartbeats themselves, and keep what is near near. */
import { expect } from 'chai';
import { DeclaredCluster, DOCUMENT } from './declared-cluster.js';

const NETWORK = 95;
const MEMBERS = 3;

describe('members that don’t lead', function suite() {
  this.timeout(90_000);
  const cluster = new DeclaredCluster(NETWORK, MEMBERS);
  let followers: string[];

  before(async () => {
    cluster.startMembers();
    expect(await cluster.declare(DOCUMENT, 0)).to.equal(200);
    await cluster.untilMembersListen();
    followers = await cluster.processes.until('two followers', async () => {
      const found: string[] = [];
      for (const [index, member] of cluster.control.entries()) {
        const status = await cluster.processes.status(index + 1);
        if (status?.raft.role === 'follower') {
          found.push(member);
        }
      }
      return found.length === MEMBERS - 1 ? found : undefined;
    });
  });

  after(() => cluster.close());

  async function send(member: string, path: string, body: object, headers: Record<string, string> = {}) {
    const response = await fetch(`http://${member}${path}`, {
      method: path.startsWith('/v1/upstreams') ? 'POST' : 'PATCH',
      redirect: 'manual',
      headers: { 'content-type': 'application/json', ...headers },
      body: JSON.stringify(body),
    });
    return { status: response.status, body: (await response.json()) as Record<string, unknown> };
  }

  /** Guards against a leader at which all callers meet, though it accepts one connection a turn of its event loop. */
  it('acknowledge heartbeats, and name themselves for later ones', async () => {
    for (const [index, member] of followers.entries()) {
      const host = cluster.processes.host(60 + index);
      const heartbeat = {
        service: 'pantry',
        address: `${host}:80`,
        zone: 'zone-1',
        slots: 2,
        state: 'ready',
      };
      const answer = await send(member, `/v1/upstreams/pantry-${index}/heartbeat`, heartbeat);
      expect(answer).to.deep.equal({ status: 200, body: { heartbeatAddress: member } });
      const withdrawal = await send(member, `/v1/upstreams/pantry-${index}/withdraw`, {});
      expect(withdrawal.status).to.equal(200);
    }
  });

  it('acknowledge changes, again when they are sent again, and refuse what the leader refuses', async () => {
    const [first = '', second = ''] = followers;
    const change = { version: 5, set: { services: [{ name: 'pantry' }] } };
    for (const member of [first, first, second]) {
      const answer = await send(member, '/v1/declaration', change, { 'if-match': '1' });
      expect(answer.status).to.equal(200);
      expect(answer.body).to.include({ version: 5 });
    }
    const stale = await send(second, '/v1/declaration', { ...change, version: 7 }, { 'if-match': '1' });
    expect(stale.status).to.equal(412);
    const invalid = { version: 8, set: { routes: [{ name: 'r', host: '', prefix: '/', service: 'none' }] } };
    expect((await send(first, '/v1/declaration', invalid, { 'if-match': '5' })).status).to.equal(422);
  });
});
