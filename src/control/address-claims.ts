/**
 * Which of two runs of upstreams an address belongs to. A run that is new there proves that the one before has ended, unless its
 * heartbeat is an old one that was held up on its way, while a later run lives at the address: then that one goes on being heard.
 */
import type { MonotonicMillis, UpstreamId } from '../model/identifiers.js';
import type { UpstreamDefinition } from '../model/service.js';
import type { Registry } from '../registry/types.js';

/** A run that was heard within so many heartbeats is held to live. */
const LIVELY_HEARTBEATS = 1.5;
/** Times of runs that are gone are dropped once there are so many more times than runs. */
const SPARE_TIMES = 64;

export interface AddressClaimsParts {
  readonly registry: () => Registry;
  /** How often an upstream is heard. */
  readonly heartbeatMillis: number;
}

export class AddressClaims {
  readonly #parts: AddressClaimsParts;
  /** When each run was heard last. */
  readonly #heardAt = new Map<UpstreamId, MonotonicMillis>();

  constructor(parts: AddressClaimsParts) {
    this.#parts = parts;
  }

  /** A heartbeat of a run that is known came. */
  heard(upstream: UpstreamId, now: MonotonicMillis): void {
    this.#heardAt.set(upstream, now);
    const known = this.#parts.registry().upstreams();
    if (this.#heardAt.size > known.size + SPARE_TIMES) {
      for (const id of this.#heardAt.keys()) {
        if (!known.has(id)) {
          this.#heardAt.delete(id);
        }
      }
    }
  }

  /** The run at the address of a new one, if it was heard so lately that it may live. */
  livingAt({ id, address }: UpstreamDefinition, now: MonotonicMillis): UpstreamId | undefined {
    const lively = this.#parts.heartbeatMillis * LIVELY_HEARTBEATS;
    for (const { definition } of this.#parts.registry().upstreams().values()) {
      const isOther = definition.id !== id && definition.address === address;
      const heardAt = this.#heardAt.get(definition.id) ?? Number.NEGATIVE_INFINITY;
      if (isOther && definition.announced !== undefined && now - heardAt < lively) {
        return definition.id;
      }
    }
    return undefined;
  }
}
