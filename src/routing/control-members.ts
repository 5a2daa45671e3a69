/**
 * Selects the control member that a router syncs with: each in turn until a member of the router's own zone is connected. That member is
 * preferred, since its traffic stays within the zone. It is used while it answers, and tried again some time after it failed.
 */
import type { Address, MonotonicMillis, Zone } from '../model/identifiers.js';

/** How long a member of the own zone is skipped after it didn't answer. */
const SILENT_RETRY_MILLIS = 5000;
/** The same after an answer without a quorum. Shorter, since no member has a quorum during an election. */
const UNCONFIRMED_RETRY_MILLIS = 500;

export class ControlMembers {
  #settings: readonly Address[];
  /** The voters last reported by a member; empty before the first report. */
  #voters: readonly Address[] = [];
  #all: readonly Address[];
  #index: number;
  readonly #ownZone: Zone;
  /** Connected members of the own zone. */
  readonly #connectedInOwnZone = new Set<Address>();
  #ownZoneRetryAt: MonotonicMillis = Number.NEGATIVE_INFINITY;

  /** `first`: index of the first member to use; it spreads the routers over the members. */
  constructor(settings: readonly Address[], first: number, ownZone: Zone) {
    this.#settings = settings;
    this.#all = settings;
    this.#index = settings.length === 0 ? 0 : first % settings.length;
    this.#ownZone = ownZone;
  }

  /** The member to use now; `undefined` if none is known. */
  get current(): Address | undefined {
    return this.#all[this.#index];
  }

  /** Whether `member` is one of the known members. */
  has(member: Address): boolean {
    return this.#all.includes(member);
  }

  /** Sets the voters as reported by a member; they are used before the members from the settings. */
  setVoters(voters: readonly Address[]): void {
    if (voters.length > 0) {
      this.#voters = voters;
      this.#merge();
    }
  }

  /** Replaces the members from the settings. */
  setConfiguredMembers(members: readonly Address[]): void {
    this.#settings = members;
    this.#merge();
  }

  /** Handles a new connection to a member in `zone`. */
  connected(member: Address, zone: Zone): void {
    if (zone === this.#ownZone) {
      this.#connectedInOwnZone.add(member);
      this.#ownZoneRetryAt = Number.NEGATIVE_INFINITY;
    }
  }

  /** Handles a broken connection to a member. */
  lost(member: Address): void {
    this.#connectedInOwnZone.delete(member);
  }

  /** Selects a member; ignored if it is unknown. */
  select(member: Address): void {
    const index = this.#all.indexOf(member);
    this.#index = index < 0 ? this.#index : index;
  }

  /** Selects a connected member of the own zone, unless one has failed recently. */
  selectOwnZone(now: MonotonicMillis): void {
    const { current } = this;
    if (now < this.#ownZoneRetryAt || (current !== undefined && this.#connectedInOwnZone.has(current))) {
      return;
    }
    const inOwnZone = this.#all.find((member) => this.#connectedInOwnZone.has(member));
    if (inOwnZone !== undefined) {
      this.select(inOwnZone);
    }
  }

  /** Selects the next member because the current one didn't answer. */
  skipSilent(now: MonotonicMillis): void {
    this.#advance(now + SILENT_RETRY_MILLIS);
  }

  /** Selects the next member because the current one has no quorum. */
  skipUnconfirmed(now: MonotonicMillis): void {
    this.#advance(now + UNCONFIRMED_RETRY_MILLIS);
  }

  #advance(ownZoneRetryAt: MonotonicMillis): void {
    const { current } = this;
    if (current !== undefined && this.#connectedInOwnZone.has(current)) {
      this.#ownZoneRetryAt = ownZoneRetryAt;
    }
    this.#index = (this.#index + 1) % Math.max(1, this.#all.length);
  }

  #merge(): void {
    const all = [...new Set([...this.#voters, ...this.#settings])];
    if (all.join() !== this.#all.join()) {
      const selected = this.current;
      this.#all = all;
      this.#index = Math.max(0, selected === undefined ? 0 : all.indexOf(selected));
    }
  }
}
