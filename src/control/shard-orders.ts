/** Derives orders about single shards from the registry, and tracks which upstreams have which orders. */
import type { LeaseGranter } from '../lease/lease-granter.js';
import type { KeyMap, ShardOrder } from '../lease/types.js';
import { type MonotonicMillis, parseShardId, type ShardId, type UpstreamId } from '../model/identifiers.js';
import type { ServiceRecord, ShardRecord } from '../registry/types.js';

/** An order and its recipient. */
export interface AddressedOrder {
  readonly upstream: UpstreamId;
  readonly order: ShardOrder;
}

/** Returns the mapping from the keys of a service to shards, in the form that is sent to upstreams. */
export function keyMapOf({ definition, generation }: ServiceRecord): KeyMap {
  return { service: definition.name, generation, keyspaces: definition.keyspaces };
}

/** Returns the orders about a shard of the current key map. `isRevoked`: its owner has to stop new work on it. */
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

/** Returns the orders about a shard of an older key map, whose owner has to release it. */
export function retiringOrders(record: ShardRecord | undefined, service: ServiceRecord): AddressedOrder[] {
  const owner = record?.owner ?? null;
  return record === undefined || owner === null
    ? []
    : [{ upstream: owner, order: revokeOrder(record, service) }];
}

/** Returns the order to stop new work on a shard. Its revision is always above that of the grant. */
function revokeOrder(record: ShardRecord, service: ServiceRecord): ShardOrder {
  const parts = parseShardId(record.shard);
  const newGeneration = parts?.generation === service.generation ? 0 : service.generation;
  const revision = Math.max(record.revision, newGeneration, record.epoch + 1);
  return { type: 'revoke', shard: record.shard, revision };
}

function grantOrder({ shard, epoch }: ShardRecord): ShardOrder {
  return { type: 'grant', shard, epoch, revision: epoch };
}

function warmOrder({ shard, revision }: ShardRecord): ShardOrder {
  return { type: 'warm', shard, revision };
}

/** Passes orders to the granter and withdraws the ones no longer in force. */
export class OrderBook {
  readonly #granter: LeaseGranter;
  readonly #recipients = new Map<ShardId, readonly UpstreamId[]>();

  constructor(granter: LeaseGranter) {
    this.#granter = granter;
  }

  /** Replaces all orders about a shard by these. */
  set(shard: ShardId, orders: readonly AddressedOrder[], now: MonotonicMillis): void {
    const recipients = orders.map(({ upstream }) => upstream);
    for (const upstream of this.#recipients.get(shard) ?? []) {
      if (!recipients.includes(upstream)) {
        this.#granter.dropOrder(upstream, shard, now);
      }
    }
    for (const { upstream, order } of orders) {
      this.#granter.setOrder(upstream, order, now);
    }
    if (recipients.length > 0) {
      this.#recipients.set(shard, recipients);
    } else {
      this.#recipients.delete(shard);
    }
  }
}
