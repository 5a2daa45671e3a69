/**
 * Owners of ranges of numeric keys, by service. The ranges of a service always cover its whole key space. Those of a service that is
 * removed are retired: they stay known, outside the routing data, until none of their owners can hold them.
 */
import type { Revision, ServiceName, UpstreamId } from '../model/identifiers.js';
import { findRange, type KeyRange, MAX_KEY } from '../model/key-range.js';
import type { RangeGrantSettings } from '../model/service.js';
import type { RangeUpdate, RegistryChange, RetiredRanges } from './types.js';

const NO_RANGES: readonly KeyRange[] = [];

export class RangeTable {
  /** Sorted by `from`; lists are replaced, never mutated. */
  readonly #services = new Map<ServiceName, readonly KeyRange[]>();
  readonly #retired = new Map<ServiceName, RetiredRanges>();

  rangesOf(service: ServiceName): readonly KeyRange[] {
    return this.#services.get(service) ?? NO_RANGES;
  }

  services(): Iterable<ServiceName> {
    return this.#services.keys();
  }

  all(): KeyRange[] {
    return [...this.#services.values()].flat();
  }

  /** Retired ranges by service. */
  get retired(): ReadonlyMap<ServiceName, RetiredRanges> {
    return this.#retired;
  }

  /** Whether an upstream owns keys, or may still hold keys that it owned before, also of a removed service. */
  mayHoldKeys(upstream: UpstreamId): boolean {
    const retired = [...this.#retired.values()].flatMap(({ ranges }) => ranges);
    return [...this.all(), ...retired].some((range) => isHolder(range, upstream));
  }

  /** Restores the sorted ranges of a snapshot. */
  restore(ranges: readonly KeyRange[], retired: readonly RetiredRanges[]): void {
    for (const range of ranges) {
      this.#services.set(range.service, [...this.rangesOf(range.service), range]);
    }
    for (const { ranges: part, ...terms } of retired) {
      const earlier = this.#retired.get(terms.service)?.ranges ?? NO_RANGES;
      this.#retired.set(terms.service, { ...terms, ranges: [...earlier, ...part] });
    }
  }

  /**
   * Adds a service with its retired ranges, or with one unowned range over all keys if it has none; does nothing if the service
   * exists.
   */
  addService(service: ServiceName, revision: Revision): RegistryChange[] {
    if (this.#services.has(service)) {
      return [];
    }
    const retired = this.#retired.get(service);
    this.#retired.delete(service);
    const whole = { service, from: 0, to: MAX_KEY, owner: null, fence: 0, former: null, revision };
    const ranges = retired?.ranges.map((range) => ({ ...range, revision }));
    return this.#replace(service, ranges ?? [whole]);
  }

  /** Removes a service and retires its ranges, granted as `grants` says, unless none of them was ever granted. */
  retireService(service: ServiceName, grants: RangeGrantSettings, revision: Revision): RegistryChange[] {
    const ranges = this.rangesOf(service);
    if (ranges.some(({ owner, former }) => owner !== null || former !== null)) {
      this.#retired.set(service, { service, revision, grants, ranges });
    }
    return this.removeService(service);
  }

  /** Removes a service without a trace. */
  removeService(service: ServiceName): RegistryChange[] {
    const changes = this.#replace(service, NO_RANGES);
    this.#services.delete(service);
    return changes;
  }

  /** Forgets ranges that were retired at `revision`; does nothing if the service has come back since. */
  forgetRetired(service: ServiceName, revision: Revision): boolean {
    return this.#retired.get(service)?.revision === revision && this.#retired.delete(service);
  }

  /** Applies the updates whose fence and span match the current ranges; ignores the others, and those of a service that is gone. */
  update(service: ServiceName, updates: readonly RangeUpdate[], revision: Revision): RegistryChange[] {
    if (!this.#services.has(service)) {
      return [];
    }
    const ranges = [...this.rangesOf(service)];
    for (const update of updates) {
      updateRange(ranges, update, revision);
    }
    return this.#replace(service, mergeAdjacent(ranges));
  }

  /**
   * Makes all ranges of `owner` unowned after a new run of it has started, which holds nothing. Grants to the previous run are void from
   * here on. The new run is still asked to release the keys, because a late grant may reach it.
   */
  revokeOwner(owner: UpstreamId, revision: Revision): RegistryChange[] {
    for (const [service, { ranges, ...retired }] of this.#retired) {
      this.#retired.set(service, { ...retired, ranges: withoutOwner(ranges, owner, revision) });
    }
    return [...this.#services].flatMap(([service, ranges]) =>
      ranges.some((range) => range.owner === owner)
        ? this.#replace(service, withoutOwner(ranges, owner, revision))
        : [],
    );
  }

  #replace(service: ServiceName, ranges: readonly KeyRange[]): RegistryChange[] {
    const before = this.rangesOf(service);
    this.#services.set(service, ranges);
    return changesBetween(service, before, ranges);
  }
}

function isHolder({ owner, former }: KeyRange, upstream: UpstreamId): boolean {
  return owner === upstream || former === upstream;
}

function withoutOwner(ranges: readonly KeyRange[], owner: UpstreamId, revision: Revision): KeyRange[] {
  const next = ranges.map((range) =>
    range.owner === owner ? { ...range, owner: null, former: owner, fence: revision, revision } : range,
  );
  return mergeAdjacent(next);
}

/** Changes a list in place: an entry may hold many updates, and copying all ranges for each would cost more than the updates. */
function updateRange(ranges: KeyRange[], update: RangeUpdate, revision: Revision): void {
  const position = findRange(ranges, update.from);
  const range = ranges[position];
  const { from, to, owner, former, expectedFence } = update;
  if (range === undefined || to < from || to > range.to || range.fence !== expectedFence) {
    return;
  }
  const pieces: KeyRange[] = [];
  if (range.from < from) {
    pieces.push({ ...range, to: from - 1, revision });
  }
  pieces.push({ service: range.service, from, to, owner, fence: revision, former, revision });
  if (to < range.to) {
    pieces.push({ ...range, from: to + 1, revision });
  }
  ranges.splice(position, 1, ...pieces);
}

/** Merges adjacent ranges with the same owner, fence and former owner. */
function mergeAdjacent(ranges: readonly KeyRange[]): KeyRange[] {
  const merged: KeyRange[] = [];
  for (const range of ranges) {
    const last = merged.at(-1);
    const isMergeable =
      last?.owner === range.owner && last.fence === range.fence && last.former === range.former;
    if (last !== undefined && isMergeable) {
      merged[merged.length - 1] = {
        ...last,
        to: range.to,
        revision: Math.max(last.revision, range.revision),
      };
    } else {
      merged.push(range);
    }
  }
  return merged;
}

function changesBetween(
  service: ServiceName,
  before: readonly KeyRange[],
  after: readonly KeyRange[],
): RegistryChange[] {
  const changes: RegistryChange[] = [];
  const removed: RegistryChange[] = [];
  let position = 0;
  for (const range of after) {
    for (; (before[position]?.from ?? Number.POSITIVE_INFINITY) < range.from; position += 1) {
      removed.push({ type: 'range', service, from: (before[position] as KeyRange).from, record: null });
    }
    const earlier = before[position];
    if (earlier !== range) {
      changes.push({ type: 'range', service, from: range.from, record: range });
    }
    position += earlier?.from === range.from ? 1 : 0;
  }
  for (const { from } of before.slice(position)) {
    removed.push({ type: 'range', service, from, record: null });
  }
  return [...changes, ...removed];
}
