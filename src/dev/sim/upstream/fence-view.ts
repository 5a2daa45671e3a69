/** What a fence would let in, or let take effect, if it were asked at this instant. */
import type { GrantHolder, Ticket } from '../../../lease/index.js';
import type { KeyMap } from '../../../lease/types.js';
import type { Epoch, Incarnation, ShardId } from '../../../model/identifiers.js';
import { shardOfKey } from '../../../model/key-map.js';
import type { SabotageName } from '../sabotages.js';
import type { AttemptFrame } from './attempt-frame.js';

/** A request that was let in. */
export interface AdmittedWork {
  readonly frame: AttemptFrame;
  readonly ticket: Ticket | null;
  readonly aborted: boolean;
}

export interface FenceViewParts {
  readonly holder: GrantHolder;
  readonly incarnation: Incarnation;
  /** The clock that its leases count on. */
  readonly now: () => number;
  /** Every key map that the server was told. */
  readonly maps: ReadonlyMap<number, KeyMap>;
  /** Shards that it was granted and didn't give up. */
  readonly epochs: ReadonlyMap<ShardId, Epoch>;
  readonly sabotage: SabotageName | null;
}

export class FenceView {
  constructor(private readonly parts: FenceViewParts) {}

  /** Epoch under which a request for the key would be let in, or one of `works` would take effect; `null`: none. */
  epochOf(key: string, works: readonly AdmittedWork[]): Epoch | null {
    return this.admittingEpoch(key) ?? this.effectiveEpoch(key, works);
  }

  /** Whether a request that was let in may take effect. */
  confirms(ticket: Ticket): boolean {
    const { holder, now } = this.parts;
    return holder.confirmEffect(ticket, now());
  }

  private admittingEpoch(key: string): Epoch | null {
    const { maps, epochs } = this.parts;
    for (const keyMap of maps.values()) {
      const shard = shardOfKey(keyMap, key);
      const epoch = shard === undefined ? undefined : epochs.get(shard);
      if (shard !== undefined && epoch !== undefined && this.wouldAdmit(shard, epoch, key)) {
        return epoch;
      }
    }
    return null;
  }

  private wouldAdmit(shard: ShardId, epoch: Epoch, key: string): boolean {
    const { holder, incarnation, sabotage } = this.parts;
    const now = this.parts.now();
    const admission = holder.admit({ shard, epoch, incarnation, key }, now);
    if (admission.type === 'admitted') {
      holder.finish(admission.ticket, now);
      return true;
    }
    return admission.refusal === 'lease-over' && sabotage === 'lease-end-ignored';
  }

  private effectiveEpoch(key: string, works: readonly AdmittedWork[]): Epoch | null {
    for (const { frame, ticket, aborted } of works) {
      const isOfKey = ticket !== null && frame.credentials?.key === key && !aborted;
      if (isOfKey && this.confirms(ticket)) {
        return ticket.epoch;
      }
    }
    return null;
  }
}
