/**
 * Which control member a router asks: any, in turn, until one of its own zone is known. What is said to that one crosses no zone,
 * so it is asked as long as it answers, and again a while after it didn't.
 */
import type { Address, MonotonicMillis, Zone } from '../model/identifiers.js';

/** After this a member of the own zone is asked again that didn't answer. */
const SILENT_AGAIN_MILLIS = 5000;
/** The same for one that answered and had no quorum: during an election none has. */
const UNCONFIRMED_AGAIN_MILLIS = 500;

export class ControlMembers {
  #settings: readonly Address[];
  /** As a member named them last; empty before. */
  #voters: readonly Address[] = [];
  #all: readonly Address[];
  #index: number;
  readonly #ownZone: Zone;
  /** Members of the own zone that there is a connection to. */
  readonly #near = new Set<Address>();
  #nearAgainAt: MonotonicMillis = Number.NEGATIVE_INFINITY;

  /** `first` spreads the routers over the members. */
  constructor(settings: readonly Address[], first: number, ownZone: Zone) {
    this.#settings = settings;
    this.#all = settings;
    this.#index = settings.length === 0 ? 0 : first % settings.length;
    this.#ownZone = ownZone;
  }

  /** The one to ask now; `undefined`: none is known. */
  get current(): Address | undefined {
    return this.#all[this.#index];
  }

  /** Whether a member is one of those to ask. */
  has(member: Address): boolean {
    return this.#all.includes(member);
  }

  /** A member named the voters: they are asked from now on, and those of the settings after them. */
  learnVoters(voters: readonly Address[]): void {
    if (voters.length > 0) {
      this.#voters = voters;
      this.#join();
    }
  }

  /** The settings name other members now. */
  useSettings(members: readonly Address[]): void {
    this.#settings = members;
    this.#join();
  }

  /** There is a connection to a member now, which says where it is. */
  connected(member: Address, zone: Zone): void {
    if (zone === this.#ownZone) {
      this.#near.add(member);
      this.#nearAgainAt = Number.NEGATIVE_INFINITY;
    }
  }

  /** The connection to a member broke. */
  lost(member: Address): void {
    this.#near.delete(member);
  }

  /** Turns to a member, if it is one. */
  choose(member: Address): void {
    const index = this.#all.indexOf(member);
    this.#index = index < 0 ? this.#index : index;
  }

  /** Turns to a member of the own zone, if one is connected and hasn't failed just now. */
  chooseNear(now: MonotonicMillis): void {
    const { current } = this;
    if (now < this.#nearAgainAt || (current !== undefined && this.#near.has(current))) {
      return;
    }
    const near = this.#all.find((member) => this.#near.has(member));
    if (near !== undefined) {
      this.choose(near);
    }
  }

  /** The present one didn't answer: turns to the next. */
  leaveSilent(now: MonotonicMillis): void {
    this.#leave(now + SILENT_AGAIN_MILLIS);
  }

  /** The present one has no quorum: turns to the next. */
  leaveUnconfirmed(now: MonotonicMillis): void {
    this.#leave(now + UNCONFIRMED_AGAIN_MILLIS);
  }

  #leave(nearAgainAt: MonotonicMillis): void {
    const { current } = this;
    if (current !== undefined && this.#near.has(current)) {
      this.#nearAgainAt = nearAgainAt;
    }
    this.#index = (this.#index + 1) % Math.max(1, this.#all.length);
  }

  #join(): void {
    const all = [...new Set([...this.#voters, ...this.#settings])];
    if (all.join() !== this.#all.join()) {
      const present = this.current;
      this.#all = all;
      this.#index = Math.max(0, present === undefined ? 0 : all.indexOf(present));
    }
  }
}
