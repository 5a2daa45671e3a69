/**
 * Which control member a router asks: any, in turn, until one of its own zone is known. What is said to that one crosses no zone,
 * so it is asked as long as it answers, and again a while after it didn't.
 */
import type { Address, MonotonicMillis, Zone } from '../model/identifiers.js';

/** After this a member of the own zone that failed is asked again. */
const NEAR_AGAIN_MILLIS = 5000;

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

  /** The present one failed: turns to the next. */
  rotate(now: MonotonicMillis): void {
    const { current } = this;
    if (current !== undefined && this.#near.has(current)) {
      this.#nearAgainAt = now + NEAR_AGAIN_MILLIS;
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
