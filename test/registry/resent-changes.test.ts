/** A change that is resent with its request id gets its first result, whatever happened in between. */
import { expect } from 'chai';
import type { PolicyRule, ServiceDefinition, UpstreamDefinition } from '../../src/model/service.js';
import {
  createRegistry,
  decodeRegistry,
  type OperatorCommand,
  type Registry,
} from '../../src/registry/index.js';

const SERVICE: ServiceDefinition = {
  name: 'menu',
  keyed: true,
  repeatable: true,
  priority: 'interactive',
  deadlineMillis: 2000,
  slotsPerUpstream: 2,
  retryBudget: 0.1,
  queueLimit: 16,
  holdLimitMillis: 1000,
  coalesce: false,
  wholeAnswerBytes: 1024,
  retentionMillis: 3_600_000,
  placement: { unavailability: 1, imbalance: 1, churn: 1 },
  movesPerMinute: 12,
  keyspaces: [{ name: 'all', kind: 'prefix', match: '', shards: 4 }],
  policy: [],
};
const UPSTREAM: UpstreamDefinition = {
  id: 'menu-1',
  service: 'menu',
  address: '10.0.0.1:8080',
  zone: 'zone-a',
  mayHold: [],
  leaving: false,
};
const RULE: PolicyRule = { name: 'full', when: 'queue.fill > 0.9', action: 'refuse' };

function send(registry: Registry, requestId: string | null, command: OperatorCommand) {
  return registry.apply(registry.revision + 1, { requestId, actor: 'test', at: 0, command }).result;
}

function registryWithUpstream(): Registry {
  const registry = createRegistry();
  send(registry, null, { type: 'service-apply', definition: SERVICE, expected: 0 });
  send(registry, null, { type: 'upstream-apply', definition: UPSTREAM, expected: 0 });
  return registry;
}

interface ResendCase {
  readonly name: string;
  readonly first: OperatorCommand;
  /** The command as the operator's client rebuilds it, with the revision read at that time. */
  readonly resent: (revision: number) => OperatorCommand;
}

const apply = (expected: number | null): OperatorCommand => ({
  type: 'service-apply',
  definition: { ...SERVICE, queueLimit: 32 },
  expected,
});
const drain = (expected: number | null): OperatorCommand => ({
  type: 'upstream-drain',
  upstream: 'menu-1',
  leaving: true,
  expected,
});
const policy = (expected: number | null): OperatorCommand => ({
  type: 'policy-apply',
  service: 'menu',
  policy: [RULE],
  expected,
});

const CASES: readonly ResendCase[] = [
  { name: 'a service', first: apply(1), resent: (revision) => apply(revision) },
  { name: 'a drain', first: drain(null), resent: (revision) => drain(revision) },
  { name: 'a policy', first: policy(1), resent: (revision) => policy(revision) },
];

describe('a change resent with its request id', () => {
  for (const { name, first, resent } of CASES) {
    it(`${name}: gets the first result after another client's change and a snapshot`, () => {
      const registry = registryWithUpstream();
      const outcome = send(registry, 'request-1', first);
      expect(outcome.type).to.equal('accepted');
      send(registry, null, { type: 'service-apply', definition: SERVICE, expected: null });
      send(registry, null, {
        type: 'upstream-apply',
        definition: { ...UPSTREAM, address: '10.0.0.9:8080' },
        expected: null,
      });
      const restored = decodeRegistry(registry.encode());
      const before = JSON.stringify([...restored.services(), ...restored.upstreams()]);
      expect(send(restored, 'request-1', resent(restored.revision))).to.deep.equal(outcome);
      expect(JSON.stringify([...restored.services(), ...restored.upstreams()])).to.equal(before);
    });
  }

  it('a different change with the same id is rejected', () => {
    const registry = registryWithUpstream();
    send(registry, 'request-1', drain(null));
    const result = send(registry, 'request-1', { ...drain(null), leaving: false } as OperatorCommand);
    expect(result.type).to.equal('invalid');
    expect(registry.upstreams().get('menu-1')?.definition.leaving).to.equal(true);
  });
});

describe('partial changes', () => {
  it('a policy changes neither the rest of its service nor its shards', () => {
    const registry = registryWithUpstream();
    const { generation } = registry.services().get('menu') ?? { generation: 0 };
    expect(send(registry, null, policy(1)).type).to.equal('accepted');
    const record = registry.services().get('menu');
    expect(record?.definition).to.deep.equal({ ...SERVICE, policy: [RULE] });
    expect(record?.generation).to.equal(generation);
  });

  for (const [name, command, type] of [
    ['a policy at another revision', policy(77), 'conflict'],
    ['a policy of an unknown service', { ...policy(null), service: 'nothing' }, 'not-found'],
    ['a drain at another revision', drain(77), 'conflict'],
    ['a drain of an unknown upstream', { ...drain(null), upstream: 'nothing' }, 'not-found'],
    ['a malformed rule', { ...policy(null), policy: [{ name: 'x' }] }, 'invalid'],
  ] as const) {
    it(`${name}: ${type}, and nothing changes`, () => {
      const registry = registryWithUpstream();
      const before = JSON.stringify([...registry.services(), ...registry.upstreams()]);
      expect(send(registry, null, command as OperatorCommand).type).to.equal(type);
      expect(JSON.stringify([...registry.services(), ...registry.upstreams()])).to.equal(before);
    });
  }
});
