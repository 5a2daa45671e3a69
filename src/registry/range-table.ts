/** Owners of ranges of numeric keys, by service. The ranges of a service always cover its whole key space. */
import type { Revision, ServiceName, UpstreamId } from '../model/identifiers.js';
import { findRange, type KeyRange, MAX_KEY } from '../model/key-range.js';
import type { RangeUpdate, RegistryChange } from './types.js';

const NO_RANGES: readonly KeyRange[] = [];

export class RangeTable {
  /** Sorted by `from`; lists are replaced, never mutated. */
  readonly #services = new Map<ServiceName, readonly KeyRange[]>();

  rangesOf(service: ServiceName): readonly KeyRange[] {
    return this.#services.get(service) ?? NO_RANGES;
  }

  all(): KeyRange[] {
    return [...this.#services.values()].flat();
  }

  /** Whether an upstream owns keys, or may still hold keys that it owned before. */
  mayHoldKeys(upstream: UpstreamId): boolean {
    return this.all().some(({ owner, former }) => owner === upstream || former === upstream);
  }

  /** Restores the sorted ranges of a snapshot. */
  restore(ranges: readonly KeyRange[]): void {
    for (const range of ranges) {
      this.#services.set(range.service, [...this.rangesOf(range.service), range]);
    }
  }

  /** Adds a service with one unowned range over all keys; does nothing if the service exists. */
  addService(service: ServiceName, revision: Revision): RegistryChange[] {
    if (this.#services.has(service)) {
      return [];
    }
    const whole = { service, from: 0, to: MAX_KEY, owner: null, fence: 0, former: null, revision };
    return this.#replace(service, [whole]);
  }

  removeService(service: ServiceName): RegistryChange[] {
    const changes = this.#replace(service, NO_RANGES);
    this.#services.delete(service);
    return changes;
  }

  /** Applies the updates whose fence and span match the current ranges; ignores the others. */
  update(service: ServiceName, updates: readonly RangeUpdate[], revision: Revision): RegistryChange[] {
    let ranges = this.rangesOf(service);
    for (const update of updates) {
      ranges = withRangeUpdate(ranges, update, revision);
    }
    return this.#replace(service, mergeAdjacent(ranges));
  }

  /**
   * Makes all ranges of `owner` unowned after a new run of it has started, which holds nothing. Grants to the previous run are void from
   * here on. The new run is still asked to release the keys, because a late grant may reach it.
   */
  revokeOwner(owner: UpstreamId, revision: Revision): RegistryChange[] {
    return [...this.#services].flatMap(([service, ranges]) => {
      if (!ranges.some((range) => range.owner === owner)) {
        return [];
      }
      const next = ranges.map((range) =>
        range.owner === owner ? { ...range, owner: null, former: owner, fence: revision, revision } : range,
      );
      return this.#replace(service, mergeAdjacent(next));
    });
  }

  #replace(service: ServiceName, ranges: readonly KeyRange[]): RegistryChange[] {
    const before = this.rangesOf(service);
    this.#services.set(service, ranges);
    return changesBetween(service, before, ranges);
  }
}

function withRangeUpdate(
  ranges: readonly KeyRange[],
  update: RangeUpdate,
  revision: Revision,
): readonly KeyRange[] {
  const position = findRange(ranges, update.from);
  const range = ranges[position];
  const { from, to, owner, former, expectedFence } = update;
  if (range === undefined || to < from || to > range.to || range.fence !== expectedFence) {
    return ranges;
  }
  const pieces: KeyRange[] = [];
  if (range.from < from) {
    pieces.push({ ...range, to: from - 1, revision });
  }
  pieces.push({ service: range.service, from, to, owner, fence: revision, former, revision });
  if (to < range.to) {
    pieces.push({ ...range, from: to + 1, revision });
  }
  return [...ranges.slice(0, position), ...pieces, ...ranges.slice(position + 1)];
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
  const unmatched = new Map(before.map((range) => [range.from, range]));
  const changes: RegistryChange[] = [];
  for (const range of after) {
    if (unmatched.get(range.from) !== range) {
      changes.push({ type: 'range', service, from: range.from, record: range });
    }
    unmatched.delete(range.from);
  }
  for (const from of unmatched.keys()) {
    changes.push({ type: 'range', service, from, record: null });
  }
  return changes;
}
