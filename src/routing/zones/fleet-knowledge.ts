/**
 * What control last said of the speeds of upstreams and the room of zones. It lapses by itself: without word the router goes by its own
 * evidence alone.
 */

import type { FleetNews } from '../../control/messages.js';
import { type FleetVersion, UNTOLD_VERSION, type ZoneRoom } from '../../model/fleet-view.js';
import type { MonotonicMillis, ServiceName, UpstreamId, Zone } from '../../model/identifiers.js';
import type { FleetView } from '../upstream/fleet-view.js';

/** Word is renewed about once a second; a lost message or a new leader may take a few. */
const LAPSE_MILLIS = 5000;
/** What is usual in a zone is smoothed over this time. */
const USUAL_MILLIS = 5000;

interface UsualTurns {
  turns: number;
  at: MonotonicMillis;
}

export class FleetKnowledge implements FleetView {
  #version: FleetVersion = UNTOLD_VERSION;
  #heardAt: MonotonicMillis = Number.NEGATIVE_INFINITY;
  readonly #speeds = new Map<UpstreamId, number>();
  readonly #usual = new Map<string, UsualTurns>();
  readonly #rooms = new Map<ServiceName, Map<Zone, ZoneRoom>>();

  /** What the router holds, for control to say what changed since. */
  get version(): FleetVersion {
    return this.#version;
  }

  take({ version, isWhole, speeds, zones }: FleetNews, now: MonotonicMillis): void {
    if (!isWhole && (version.term !== this.#version.term || version.number < this.#version.number)) {
      return;
    }
    if (isWhole) {
      this.#speeds.clear();
      this.#rooms.clear();
    }
    for (const { upstream, speed } of speeds) {
      this.#speeds.set(upstream, speed);
    }
    for (const room of zones) {
      const rooms = this.#rooms.get(room.service) ?? new Map<Zone, ZoneRoom>();
      this.#rooms.set(room.service, rooms.set(room.zone, room));
    }
    this.#version = version;
    this.#heardAt = now;
  }

  /** An upstream is gone: another run under its id may have another speed. */
  forget(upstream: UpstreamId): void {
    this.#speeds.delete(upstream);
  }

  speedOf(upstream: UpstreamId, now: MonotonicMillis): number | null {
    return this.#isFresh(now) ? (this.#speeds.get(upstream) ?? null) : null;
  }

  /** Demand and room of a zone; `null`: nothing is known, or no more. */
  roomOf(service: ServiceName, zone: Zone, now: MonotonicMillis): ZoneRoom | null {
    return this.#isFresh(now) ? (this.#rooms.get(service)?.get(zone) ?? null) : null;
  }

  unevenMillis(service: ServiceName, zone: Zone, now: MonotonicMillis): number | null {
    const room = this.roomOf(service, zone, now);
    return room?.isUneven === true ? room.meanMillis : null;
  }

  /** An answer from a zone came when its upstream had work for so many turns of an upstream of speed 1. */
  noteTurns(service: ServiceName, zone: Zone, turns: number, now: MonotonicMillis): void {
    const name = `${service} ${zone}`;
    const usual = this.#usual.get(name);
    if (usual === undefined) {
      this.#usual.set(name, { turns, at: now });
      return;
    }
    usual.turns += (1 - Math.exp((usual.at - now) / USUAL_MILLIS)) * (turns - usual.turns);
    usual.at = now;
  }

  usualTurns(service: ServiceName, zone: Zone): number | null {
    return this.#usual.get(`${service} ${zone}`)?.turns ?? null;
  }

  #isFresh(now: MonotonicMillis): boolean {
    return now - this.#heardAt < LAPSE_MILLIS;
  }
}
