/** Which upstreams of a service may get further ranges. */
import { expect } from 'chai';
import { RangeServers } from '../../src/control/ranges/range-servers.js';
import type { UpstreamId } from '../../src/model/identifiers.js';
import type { CapacityLimit } from '../../src/placement/ranges/capacity-limit.js';
import { OwnerSpeeds } from '../../src/placement/ranges/owner-speeds.js';
import type { Registry } from '../../src/registry/types.js';

const SERVICE = 'sheets';
const MAX_RANGES = 48;
const HEARTBEAT_MILLIS = 500;
const NOW = 10_000;

interface Fleet {
  /** Number of ranges of each upstream. */
  readonly ranges: Readonly<Record<UpstreamId, number>>;
  readonly cold?: readonly UpstreamId[];
  readonly limits?: ReadonlyMap<UpstreamId, CapacityLimit>;
  readonly silent?: readonly UpstreamId[];
}

function registryOf({ ranges, cold = [] }: Fleet): Registry {
  const upstreams = Object.keys(ranges).map((id) => {
    const announced = { slots: 4, warmupMillis: cold.includes(id) ? 2000 : 0 };
    return [id, { definition: { id, service: SERVICE, announced } }] as const;
  });
  const owned = Object.entries(ranges).flatMap(([owner, count]) =>
    Array.from({ length: count }, () => ({ service: SERVICE, owner })),
  );
  const parts = {
    upstreams: () => new Map(upstreams),
    services: () => new Map([[SERVICE, { definition: { warmup: {} } }]]),
    ranges: () => owned,
    isLeaving: () => false,
  };
  return parts as unknown as Registry;
}

/** The upstreams that may get further ranges; `undefined` for those that may get none at all. */
function targetsOf(fleet: Fleet): Readonly<Record<UpstreamId, boolean>> {
  const servers = new RangeServers(
    {
      service: SERVICE,
      registry: () => registryOf(fleet),
      evidence: {
        lastSeenAt: (id) => (fleet.silent?.includes(id) ? 0 : NOW),
        isUnreachable: () => false,
      },
      loadLimits: () => fleet.limits ?? new Map(),
      heartbeatMillis: HEARTBEAT_MILLIS,
    },
    0,
    new OwnerSpeeds(),
  );
  servers.update(NOW);
  return Object.fromEntries(
    servers.list.map(({ upstream, isExcludedAsTarget }) => [upstream, isExcludedAsTarget !== true]),
  );
}

describe('RangeServers', () => {
  it('gives no further ranges to an upstream with the most allowed', () => {
    expect(targetsOf({ ranges: { u1: MAX_RANGES, u2: MAX_RANGES - 1 } })).to.deep.equal({
      u1: false,
      u2: true,
    });
  });

  it('gives none to a cold or limited upstream while others can take them', () => {
    const fleet = {
      ranges: { u1: 1, u2: 1, u3: 1 },
      cold: ['u1'],
      limits: new Map([['u2', { perSecond: 4 }]]),
    };
    expect(targetsOf(fleet)).to.deep.equal({ u1: false, u2: false, u3: true });
  });

  it('gives some to cold upstreams where all are so, except to one with the most allowed', () => {
    const fleet = { ranges: { u1: 1, u2: MAX_RANGES }, cold: ['u1', 'u2'] };
    expect(targetsOf(fleet)).to.deep.equal({ u1: true, u2: false });
  });

  it('leaves out an upstream that fell silent', () => {
    expect(targetsOf({ ranges: { u1: 1, u2: 1 }, silent: ['u2'] })).to.deep.equal({ u1: true });
  });
});
