/**
 * The configuration lease and the loop that renews it. A router may start requests only while its lease is valid: a control
 * member has confirmed by a quorum that the router's configuration is the latest. The lease counts from the sync request.
 */
import type { ConfigLeaseTimings, SyncResponse } from '../control/messages.js';
import type { Address, MonotonicMillis, Revision, Zone } from '../model/identifiers.js';
import { ControlMembers } from './control-members.js';
import type { WhenOutOfTouch } from './types.js';

/** Minimum interval between a sync request and an unscheduled one after it. */
const MIN_FORCED_SYNC_GAP_MILLIS = 20;
/** Pause before syncing with the next member after a member without a quorum has answered. */
const UNCONFIRMED_PAUSE_MILLIS = 50;

/** A sync request to send now. */
export interface SyncAttempt {
  readonly to: Address;
  readonly stamp: MonotonicMillis;
  /** Whether the router needs a snapshot because no delta applies to the revision it holds. */
  readonly wantsSnapshot: boolean;
}

export class ConfigurationLease {
  private validUntil = Number.NEGATIVE_INFINITY;
  private syncDueAt = 0;
  private lastSentAt = Number.NEGATIVE_INFINITY;
  /** Since when an answer of the current member is outstanding; `null` if none is. */
  private outstandingSince: MonotonicMillis | null = null;
  private readonly members: ControlMembers;
  private wantsSnapshot = false;
  private announcedRevision: Revision = 0;
  private announcedAt = Number.NEGATIVE_INFINITY;
  /** Stamps of sync requests whose answers may still renew the lease. */
  private readonly stamps = new Set<MonotonicMillis>();

  /** `firstMember`: index of the first member to use; it spreads the routers over the control members. */
  constructor(
    settingsMembers: readonly Address[],
    private readonly timings: ConfigLeaseTimings,
    firstMember: number,
    private readonly whenOutOfTouch: WhenOutOfTouch = 'refuse',
    ownZone: Zone = '',
  ) {
    this.members = new ControlMembers(settingsMembers, firstMember, ownZone);
  }

  /** The end of the lease: `-Infinity` before the first confirmed answer, `Infinity` after it if the router serves without a lease. */
  get end(): MonotonicMillis {
    const servesWithoutLease =
      this.whenOutOfTouch === 'serve' && this.validUntil !== Number.NEGATIVE_INFINITY;
    return servesWithoutLease ? Number.POSITIVE_INFINITY : this.validUntil;
  }

  /** When the sync request was sent that last confirmed the configuration; `null` if none has. */
  get confirmedAt(): MonotonicMillis | null {
    return this.validUntil === Number.NEGATIVE_INFINITY ? null : this.validUntil - this.span();
  }

  isValid(now: MonotonicMillis): boolean {
    return now < this.end;
  }

  /**
   * Shortens the lease after a suspension of the machine, during which the lease's clock stood still: control may have waited for the end of
   * the lease meanwhile. Answers to earlier sync requests don't renew the lease, since their stamps are older than they appear.
   */
  suspended(millis: number, now: MonotonicMillis): void {
    this.validUntil -= millis;
    this.stamps.clear();
    this.requestSync(now);
  }

  /** When the next sync is due. */
  nextSyncAt(): MonotonicMillis {
    return this.syncDueAt;
  }

  /** Returns the sync request to send now, if one is due. Moves on to the next member if the current one has not answered in time. */
  startSync(now: MonotonicMillis): SyncAttempt | undefined {
    if (now < this.syncDueAt) {
      return undefined;
    }
    if (this.outstandingSince !== null && now >= this.outstandingSince + this.timings.syncMillis) {
      this.members.skipSilent(now);
      this.outstandingSince = null;
    }
    // Until the first confirmed answer any reachable member will do.
    if (this.outstandingSince === null && this.confirmedAt !== null) {
      this.members.selectOwnZone(now);
    }
    const to = this.members.current;
    if (to === undefined) {
      return undefined;
    }
    this.lastSentAt = now;
    this.outstandingSince ??= now;
    this.syncDueAt = now + this.timings.syncMillis;
    this.rememberStamp(now);
    return { to, stamp: now, wantsSnapshot: this.wantsSnapshot };
  }

  /** Requests an unscheduled sync, e.g. after a refusal which shows that the configuration is outdated. */
  requestSync(now: MonotonicMillis): void {
    this.syncDueAt = Math.min(this.syncDueAt, Math.max(now, this.lastSentAt + MIN_FORCED_SYNC_GAP_MILLIS));
  }

  /** Handles a member's announcement of `revision`; requests a sync if it is newer than `held`. */
  onRevisionNotice(revision: Revision, held: Revision, now: MonotonicMillis): void {
    if (revision > this.announcedRevision) {
      this.announcedRevision = revision;
      this.announcedAt = now;
    }
    if (this.announcedRevision > held) {
      this.requestSync(now);
    }
  }

  /** Sets the voters as reported by a member; they are used before the members from the settings. */
  setVoters(voters: readonly Address[]): void {
    this.members.setVoters(voters);
  }

  /** Replaces the members from the settings. */
  setConfiguredMembers(members: readonly Address[]): void {
    this.members.setConfiguredMembers(members);
  }

  /** Handles a broken connection to a member; an outstanding request to it won't be answered. */
  onMemberLost(member: Address, now: MonotonicMillis): void {
    this.members.lost(member);
    if (member !== this.members.current) {
      return;
    }
    this.members.skipSilent(now);
    if (this.outstandingSince !== null) {
      this.outstandingSince = null;
      this.requestSync(now);
    }
  }

  /**
   * Handles a new connection to a member in `zone`. A request sent to it earlier is lost and sent again; before the first
   * confirmed answer, the sync moves to the member that has just connected.
   */
  onMemberConnected(member: Address, zone: Zone, now: MonotonicMillis): void {
    this.members.connected(member, zone);
    const isWanted = member === this.members.current || this.confirmedAt === null;
    if (this.outstandingSince === null || !this.members.has(member) || !isWanted) {
      return;
    }
    this.members.select(member);
    this.outstandingSince = null;
    this.requestSync(now);
  }

  /**
   * Handles a sync answer after its content has been applied. `held` is the revision afterwards; `gap` is set if the
   * answer's delta started after the revision held before.
   */
  answered(response: SyncResponse, held: Revision, gap: boolean, now: MonotonicMillis): void {
    if (response.stamp === this.lastSentAt) {
      this.outstandingSince = null;
      this.skipUnconfirmedMember(response, now);
    } else if (this.outstandingSince !== null && response.stamp >= this.outstandingSince) {
      this.outstandingSince = now;
    }
    if (response.confirmed && response.stamp >= this.announcedAt) {
      this.announcedRevision = response.revision;
    }
    this.wantsSnapshot = gap;
    if (gap || held < Math.max(response.revision, this.announcedRevision)) {
      this.requestSync(now);
    }
    this.renew(response, held, now);
  }

  /** Handles an update sent without a sync request, after it has been applied; the arguments are as in `answered`. */
  onUpdateApplied(held: Revision, gap: boolean, now: MonotonicMillis): void {
    this.wantsSnapshot = gap;
    if (gap || held < this.announcedRevision) {
      this.requestSync(now);
    }
  }

  private skipUnconfirmedMember(response: SyncResponse, now: MonotonicMillis): void {
    if (!response.confirmed) {
      this.members.skipUnconfirmed(now);
      this.syncDueAt = Math.min(this.syncDueAt, now + UNCONFIRMED_PAUSE_MILLIS);
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

  /** The lease's duration on the router's clock, which may run slow by the allowed error against control's clock. */
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
