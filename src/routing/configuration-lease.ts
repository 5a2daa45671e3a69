/**
 * The configuration lease and the loop that renews it. A router may start work only while a control member has
 * confirmed, by a quorum and counted from the moment the router asked, that its configuration is the latest one.
 */
import type { ConfigLeaseTimings, SyncResponse } from '../control/messages.js';
import type { Address, MonotonicMillis, Revision, Zone } from '../model/identifiers.js';
import { ControlMembers } from './control-members.js';
import type { WhenOutOfTouch } from './types.js';

/** Shortest time between two requests that were asked for out of turn. */
const FORCED_SYNC_GAP_MILLIS = 20;
/** Pause before the next member is asked after one that has no quorum. */
const UNCONFIRMED_PAUSE_MILLIS = 50;

/** What the loop wants done now. */
export interface SyncAttempt {
  readonly to: Address;
  readonly stamp: MonotonicMillis;
  /** Set when what the router holds can't be continued by a delta. */
  readonly wantsSnapshot: boolean;
}

export class ConfigurationLease {
  private validUntil = Number.NEGATIVE_INFINITY;
  private nextSyncAt = 0;
  private lastSentAt = Number.NEGATIVE_INFINITY;
  /** Since when the present member owes an answer; `null`: it owes none. */
  private owedSince: MonotonicMillis | null = null;
  private readonly members: ControlMembers;
  private wantsSnapshot = false;
  private noticed: Revision = 0;
  private noticedAt = Number.NEGATIVE_INFINITY;
  /** Stamps of requests which may still renew the lease. */
  private readonly stamps = new Set<MonotonicMillis>();

  /** `firstMember` spreads the routers over the control members. */
  constructor(
    settingsMembers: readonly Address[],
    private readonly timings: ConfigLeaseTimings,
    firstMember: number,
    private readonly whenOutOfTouch: WhenOutOfTouch = 'refuse',
    ownZone: Zone = '',
  ) {
    this.members = new ControlMembers(settingsMembers, firstMember, ownZone);
  }

  /** End of the lease; `-Infinity` before the first confirmed answer, `Infinity` after it if the router serves on. */
  get end(): MonotonicMillis {
    const servesOn = this.whenOutOfTouch === 'serve' && this.validUntil !== Number.NEGATIVE_INFINITY;
    return servesOn ? Number.POSITIVE_INFINITY : this.validUntil;
  }

  /** When a request was sent whose answer confirmed the configuration; `null`: never. */
  get confirmedAt(): MonotonicMillis | null {
    return this.validUntil === Number.NEGATIVE_INFINITY ? null : this.validUntil - this.span();
  }

  isValid(now: MonotonicMillis): boolean {
    return now < this.end;
  }

  /**
   * The machine was suspended, and the clock that the lease counts on stood still: control has waited the lease out meanwhile. What was
   * asked before renews nothing, since its stamp is older than it looks.
   */
  suspended(millis: number, now: MonotonicMillis): void {
    this.validUntil -= millis;
    this.stamps.clear();
    this.requestSync(now);
  }

  /** When `takeSync` has something to do next. */
  nextAt(): MonotonicMillis {
    return this.nextSyncAt;
  }

  /** The request to send now, if one is due. A member that did not answer the one before is left for the next. */
  takeSync(now: MonotonicMillis): SyncAttempt | undefined {
    if (now < this.nextSyncAt) {
      return undefined;
    }
    if (this.owedSince !== null && now >= this.owedSince + this.timings.syncMillis) {
      this.members.leaveSilent(now);
      this.owedSince = null;
    }
    // Until something was confirmed, whoever can be reached is asked.
    if (this.owedSince === null && this.confirmedAt !== null) {
      this.members.chooseNear(now);
    }
    const to = this.members.current;
    if (to === undefined) {
      return undefined;
    }
    this.lastSentAt = now;
    this.owedSince ??= now;
    this.nextSyncAt = now + this.timings.syncMillis;
    this.rememberStamp(now);
    return { to, stamp: now, wantsSnapshot: this.wantsSnapshot };
  }

  /** Asks for a sync out of turn, e.g. after a refusal which shows that the configuration is behind. */
  requestSync(now: MonotonicMillis): void {
    this.nextSyncAt = Math.min(this.nextSyncAt, Math.max(now, this.lastSentAt + FORCED_SYNC_GAP_MILLIS));
  }

  /** A member says that there is a revision to fetch. */
  notice(revision: Revision, held: Revision, now: MonotonicMillis): void {
    if (revision > this.noticed) {
      this.noticed = revision;
      this.noticedAt = now;
    }
    if (this.noticed > held) {
      this.requestSync(now);
    }
  }

  /** A member named the voters: they are asked from now on, and those of the settings after them. */
  learnMembers(voters: readonly Address[]): void {
    this.members.learnVoters(voters);
  }

  /** The settings name other members now. */
  useSettings(members: readonly Address[]): void {
    this.members.useSettings(members);
  }

  /** A connection to a member broke; an answer owed by it won't come. */
  memberLost(member: Address, now: MonotonicMillis): void {
    this.members.lost(member);
    if (member !== this.members.current) {
      return;
    }
    this.members.leaveSilent(now);
    if (this.owedSince !== null) {
      this.owedSince = null;
      this.requestSync(now);
    }
  }

  /**
   * There is a connection to a member now. What was sent to it before is lost; and whoever can be reached first is asked as
   * long as nothing was ever confirmed. `zone`: where the member is.
   */
  memberConnected(member: Address, zone: Zone, now: MonotonicMillis): void {
    this.members.connected(member, zone);
    const isWanted = member === this.members.current || this.confirmedAt === null;
    if (this.owedSince === null || !this.members.has(member) || !isWanted) {
      return;
    }
    this.members.choose(member);
    this.owedSince = null;
    this.requestSync(now);
  }

  /**
   * Takes note of an answer after what it carried was applied; `held` is the revision since then and `gap` is set when
   * it carried a delta that didn't join on.
   */
  answered(response: SyncResponse, held: Revision, gap: boolean, now: MonotonicMillis): void {
    if (response.stamp === this.lastSentAt) {
      this.owedSince = null;
      this.leaveUnconfirmedMember(response, now);
    } else if (this.owedSince !== null && response.stamp >= this.owedSince) {
      this.owedSince = now;
    }
    if (response.confirmed && response.stamp >= this.noticedAt) {
      this.noticed = response.revision;
    }
    this.wantsSnapshot = gap;
    if (gap || held < Math.max(response.revision, this.noticed)) {
      this.requestSync(now);
    }
    this.renew(response, held, now);
  }

  /** Takes note of changes that came ahead of an answer, after they were applied; the arguments are as in `answered`. */
  newsApplied(held: Revision, gap: boolean, now: MonotonicMillis): void {
    this.wantsSnapshot = gap;
    if (gap || held < this.noticed) {
      this.requestSync(now);
    }
  }

  private leaveUnconfirmedMember(response: SyncResponse, now: MonotonicMillis): void {
    if (!response.confirmed) {
      this.members.leaveUnconfirmed(now);
      this.nextSyncAt = Math.min(this.nextSyncAt, now + UNCONFIRMED_PAUSE_MILLIS);
    }
  }

  private renew(response: SyncResponse, held: Revision, now: MonotonicMillis): void {
    if (!response.confirmed || held < response.revision || response.stamp > now) {
      return;
    }
    if (!this.stamps.has(response.stamp)) {
      return;
    }
    this.validUntil = Math.max(this.validUntil, response.stamp + this.span());
  }

  /** The control side counts on its own clock, so the router's may be slow by the allowed error. */
  private span(): number {
    return this.timings.configLeaseMillis * (1 - this.timings.clockRateError);
  }

  private rememberStamp(now: MonotonicMillis): void {
    for (const stamp of this.stamps) {
      if (now - stamp > this.timings.configLeaseMillis) {
        this.stamps.delete(stamp);
      }
    }
    this.stamps.add(now);
  }
}
