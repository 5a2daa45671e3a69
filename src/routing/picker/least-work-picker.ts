/** Two random choices by estimated outstanding work, the own zone first. */
import type { ZoneRoom } from '../../model/fleet-view.js';
import type { UpstreamState } from '../upstream/upstream-state.js';
import { SpillTurns } from '../zones/spill-turns.js';
import { CapacityDraw } from './capacity-draw.js';
import type { PickContext, Picker } from './picker.js';

/**
 * Work in another zone is chosen when it is cheaper than the own zone's by this factor, and by the hop; not while the own zone
 * is in time, since bytes between zones are dear.
 */
const SPILL_FACTOR = 1.25;
const ZONE_HOP_MILLIS = 1;
/**
 * A router keeps to so many upstreams of its zone, the first of its order that have room, that it meets each about once in this
 * time: with few requests and many upstreams it would know neither how fast nor how busy any of them is.
 */
const MEETING_MILLIS = 4000;
/** It keeps to no fewer than this: a few routers that kept to one or two would load them unevenly. */
const LEAST_PREFERRED = 8;
/**
 * Where upstreams differ, the best of so many draws is taken. With two, a slow one is taken too often while a fast one is free; with all,
 * routers that know the same go for the same upstream.
 */
const DRAWS = 12;
/**
 * Where control sees room enough in the zone, work there may take this part of what still is in time before any leaves the zone, and then
 * so many of a router's requests do, and so many in a row: a burst is over before what it sent away is back.
 */
const UNPLANNED_LATE_SHARE = 1.2;
/** The same where some have to leave anyway. */
const PLANNED_LATE_SHARE = 1.1;
const UNPLANNED_SHARE = 0.01;
const UNPLANNED_BURST = 3;
/** Beyond this part of it all may leave: control hears of a zone that fails a few seconds later than its routers. */
const HOPELESS_LATE_SHARE = 2;

export class LeastWorkPicker implements Picker {
  /** Picks of about the last `MEETING_MILLIS`, older ones counting for less. */
  #recentPicks = 0;
  #pickedAt = Number.NEGATIVE_INFINITY;
  readonly #spill = new SpillTurns();
  /** Requests that may leave the zone beyond the plan. */
  #unplanned = UNPLANNED_BURST;

  pick(context: PickContext): UpstreamState {
    this.#countPick(context.now);
    const local = context.candidates.filter((upstream) => upstream.zone === context.zone);
    const { room = null } = context;
    if (room !== null && (room.isUneven || room.spill.length > 0)) {
      return this.#pickByRoom(local, context, room);
    }
    if (local.length === 0) {
      return cheaperOfTwo(context.candidates, context).upstream;
    }
    const preferred = preferredOf(local, this.#preferredCount);
    if (local.length === context.candidates.length) {
      return cheaperOfTwo(preferred, context).upstream;
    }
    const remote = context.candidates.filter((upstream) => upstream.zone !== context.zone);
    const near = cheaperOfTwo(preferred, context);
    const far = cheaperOfTwo(remote, context);
    return this.#leaves(near, far, context) ? far.upstream : near.upstream;
  }

  /** As control sees demand and room: the planned part of the requests leaves the zone, and little else. */
  #pickByRoom(local: readonly UpstreamState[], context: PickContext, room: ZoneRoom): UpstreamState {
    const remote = context.candidates.filter((upstream) => upstream.zone !== context.zone);
    const turn = this.#spill.next(room.spill, context.random);
    const inTurn = remote.filter(({ zone }) => zone === turn);
    const chosen =
      inTurn.length > 0 ? this.#best(inTurn, context).upstream : this.#nearOrBetter(local, remote, context);
    if (chosen.zone !== context.zone) {
      this.#spill.sent(chosen.zone);
    }
    return chosen;
  }

  #nearOrBetter(
    local: readonly UpstreamState[],
    remote: readonly UpstreamState[],
    context: PickContext,
  ): UpstreamState {
    if (local.length === 0) {
      return this.#best(remote, context).upstream;
    }
    const near = this.#best(local, context);
    if (remote.length === 0) {
      return near.upstream;
    }
    const far = this.#best(remote, context);
    return this.#leaves(near, far, context) ? far.upstream : near.upstream;
  }

  /** Whether a request leaves the zone for how it is there now. */
  #leaves(near: Choice, far: Choice, context: PickContext): boolean {
    const { room = null } = context;
    const inTimeMillis = context.inTimeMillis ?? 0;
    if (near.cost <= inTimeMillis || near.cost <= far.cost * SPILL_FACTOR + ZONE_HOP_MILLIS) {
      return false;
    }
    const isPlanned = this.#spill.mayGoAhead(far.upstream.zone);
    if (
      room === null ||
      (isPlanned && near.cost > inTimeMillis * PLANNED_LATE_SHARE) ||
      near.cost > inTimeMillis * HOPELESS_LATE_SHARE
    ) {
      return true;
    }
    if (near.cost <= inTimeMillis * UNPLANNED_LATE_SHARE || this.#unplanned < 1) {
      return false;
    }
    this.#unplanned -= 1;
    return true;
  }

  #best(from: readonly UpstreamState[], context: PickContext): Choice {
    const draw = new CapacityDraw(from, this.#preferredCount, context);
    let best = choiceOf(draw.next(), context);
    for (let drawn = 1; drawn < DRAWS; drawn += 1) {
      const next = choiceOf(draw.next(), context);
      best = next.cost < best.cost ? next : best;
    }
    return best;
  }

  get #preferredCount(): number {
    return Math.max(LEAST_PREFERRED, Math.ceil(this.#recentPicks));
  }

  #countPick(now: number): void {
    this.#unplanned = Math.min(UNPLANNED_BURST, this.#unplanned + UNPLANNED_SHARE);
    this.#recentPicks = 1 + this.#recentPicks * Math.exp((this.#pickedAt - now) / MEETING_MILLIS);
    this.#pickedAt = now;
  }
}

interface Choice {
  readonly upstream: UpstreamState;
  readonly cost: number;
}

function preferredOf(local: readonly UpstreamState[], count: number): readonly UpstreamState[] {
  if (local.length <= count) {
    return local;
  }
  const inOrder = [...local].sort((one, other) => one.affinity - other.affinity);
  return inOrder.slice(0, count);
}

function cheaperOfTwo(candidates: readonly UpstreamState[], context: PickContext): Choice {
  const firstIndex = context.random.below(candidates.length);
  const first = choiceOf(candidates[firstIndex] as UpstreamState, context);
  if (candidates.length === 1) {
    return first;
  }
  const step = 1 + context.random.below(candidates.length - 1);
  const secondIndex = (firstIndex + step) % candidates.length;
  const second = choiceOf(candidates[secondIndex] as UpstreamState, context);
  return second.cost < first.cost ? second : first;
}

function choiceOf(upstream: UpstreamState, context: PickContext): Choice {
  return { upstream, cost: upstream.cost(context.now) * context.weigh(upstream) };
}
