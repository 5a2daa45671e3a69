/** Inspects which requests a fence would admit, or allow to take effect, at this instant. */
import type { GrantHolder, Ticket } from '../../../lease/index.js';
import type { KeyMap } from '../../../lease/types.js';
import type { Epoch, Incarnation, ShardId } from '../../../model/identifiers.js';
import { shardOfKey } from '../../../model/key-map.js';
import type { SabotageName } from '../sabotages.js';
import type { AttemptFrame } from './attempt-frame.js';

/** An admitted request. */
export interface AdmittedRequest {
  readonly frame: AttemptFrame;
  readonly ticket: Ticket | null;
  readonly aborted: boolean;
}

export interface FenceViewParts {
  readonly holder: GrantHolder;
  readonly incarnation: Incarnation;
  /** The clock by which its leases are measured. */
  readonly now: () => number;
  /** Every key map that the server received. */
  readonly maps: ReadonlyMap<number, KeyMap>;
  /** Shards that were granted to it and not released. */
  readonly epochs: ReadonlyMap<ShardId, Epoch>;
  readonly sabotage: SabotageName | null;
}

export class FenceView {
  constructor(private readonly parts: FenceViewParts) {}

  /** Returns the epoch under which a request for the key would be admitted, or one of `admitted` would take effect; `null` if none. */
  epochOf(key: string, admitted: readonly AdmittedRequest[]): Epoch | null {
    return this.admittingEpoch(key) ?? this.effectiveEpoch(key, admitted);
  }

  /** Whether an admitted request may take effect now. */
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

  private effectiveEpoch(key: string, works: readonly AdmittedRequest[]): Epoch | null {
    for (const { frame, ticket, aborted } of works) {
      const isOfKey = ticket !== null && frame.credentials?.key === key && !aborted;
      if (isOfKey && this.confirms(ticket)) {
        return ticket.epoch;
      }
    }
    return null;
  }
}
