/** Three Raft replicas in one process: an election, then a proposal that all of them apply. */
import { createRaft } from 'ternmount/consensus';

const voters = ['a', 'b', 'c'];
const addresses = { a: '10.0.0.1:7400', b: '10.0.0.2:7400', c: '10.0.0.3:7400' };
const membership = { voters, outgoingVoters: [], learners: [], addresses };
const applied = Object.fromEntries(voters.map((voter) => [voter, []]));
const mailbox = [];

function createReplica(self, seed) {
  const config = {
    self,
    seed,
    electionTimeoutMillis: 300,
    heartbeatMillis: 60,
    maxEntriesPerAppend: 64,
    maxAppendsInFlight: 4,
    snapshotChunkBytes: 65_536,
  };
  const restored = {
    hardState: { term: 0, votedFor: null },
    snapshot: null,
    initialMembership: membership,
    entries: [],
  };
  return createRaft(config, restored, 0);
}

const replicas = Object.fromEntries(voters.map((voter, index) => [voter, createReplica(voter, index + 1)]));

/** Carries effects out. A real host writes `persist` to disk and syncs it before it reports `persisted`. */
function step(replica, input, now) {
  for (const effect of replicas[replica].step(input, now)) {
    if (effect.type === 'send') {
      mailbox.push(effect.message);
    } else if (effect.type === 'persist') {
      step(replica, { type: 'persisted', persistId: effect.request.persistId }, now);
    } else if (effect.type === 'apply') {
      const commands = effect.entries.filter((entry) => entry.kind === 'command');
      applied[replica].push(...commands.map((entry) => Buffer.from(entry.data).toString()));
    }
  }
}

function run(from, until) {
  for (let now = from; now < until; now += 10) {
    for (const voter of voters) {
      step(voter, { type: 'tick' }, now);
    }
    for (const message of mailbox.splice(0)) {
      step(message.to, { type: 'message', message }, now);
    }
  }
}

run(0, 2000);
const leader = voters.find((voter) => replicas[voter].status().role === 'leader');
step(leader, { type: 'propose', proposalId: 1, data: Buffer.from('hello') }, 2000);
run(2000, 3000);
console.log(JSON.stringify(applied));
