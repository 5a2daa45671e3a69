/** Orders about single shards as they follow from the registry, and who was given which. */
import type { LeaseGranter } from '../lease/lease-granter.js';
import type { KeyMap, ShardOrder } from '../lease/types.js';
import { type MonotonicMillis, parseShardId, type ShardId, type UpstreamId } from '../model/identifiers.js';
import type { ServiceRecord, ShardRecord } from '../registry/types.js';

/** An order and the upstream that is to follow it. */
export interface AddressedOrder {
  readonly upstream: UpstreamId;
  readonly order: ShardOrder;
}

/** How the keys of a service map to shards, in the form that upstreams are sent. */
export function keyMapOf({ definition, generation }: ServiceRecord): KeyMap {
  return { service: definition.name, generation, keyspaces: definition.keyspaces };
}

/** Orders about a shard of the current key map. `isRevoked`: its owner is to stop new work on it. */
export function currentOrders(
  record: ShardRecord,
  service: ServiceRecord,
  isRevoked: boolean,
): AddressedOrder[] {
  const { owner, movingTo } = record;
  if (owner === null) {
    return [];
  }
  const ownerOrder = isRevoked ? revokeOrder(record, service) : grantOrder(record);
  const orders = [{ upstream: owner, order: ownerOrder }];
  return movingTo === null || movingTo === owner
    ? orders
    : [...orders, { upstream: movingTo, order: warmOrder(record) }];
}

/** Orders about a shard of an older key map: its owner gives it up. */
export function retiringOrders(record: ShardRecord | undefined, service: ServiceRecord): AddressedOrder[] {
  const owner = record?.owner ?? null;
  return record === undefined || owner === null
    ? []
    : [{ upstream: owner, order: revokeOrder(record, service) }];
}

/** Tells the owner to stop new work on a shard. Its revision is above that of the grant in every case. */
function revokeOrder(record: ShardRecord, service: ServiceRecord): ShardOrder {
  const parts = parseShardId(record.shard);
  const remapped = parts?.generation === service.generation ? 0 : service.generation;
  const revision = Math.max(record.revision, remapped, record.epoch + 1);
  return { type: 'revoke', shard: record.shard, revision };
}

function grantOrder({ shard, epoch }: ShardRecord): ShardOrder {
  return { type: 'grant', shard, epoch, revision: epoch };
}

function warmOrder({ shard, revision }: ShardRecord): ShardOrder {
  return { type: 'warm', shard, revision };
}

/** Hands orders to the granter and withdraws those that are no longer in force. */
export class OrderBook {
  readonly #granter: LeaseGranter;
  readonly #addressees = new Map<ShardId, readonly UpstreamId[]>();

  constructor(granter: LeaseGranter) {
    this.#granter = granter;
  }

  /** Puts exactly these orders about a shard in force. */
  set(shard: ShardId, orders: readonly AddressedOrder[], now: MonotonicMillis): void {
    const addressees = orders.map(({ upstream }) => upstream);
    for (const upstream of this.#addressees.get(shard) ?? []) {
      if (!addressees.includes(upstream)) {
        this.#granter.dropOrder(upstream, shard, now);
      }
    }
    for (const { upstream, order } of orders) {
      this.#granter.setOrder(upstream, order, now);
    }
    if (addressees.length > 0) {
      this.#addressees.set(shard, addressees);
    } else {
      this.#addressees.delete(shard);
    }
  }
}
