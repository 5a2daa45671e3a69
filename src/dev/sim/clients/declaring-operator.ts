/**
 * An operator that declares a service whose keys are owned in ranges, takes it away and brings it back, by patches, whole documents and
 * without keys, at times granted in another way. Several of them change the same document.
 */
import type { OperatorResponse } from '../../../control/types.js';
import { GRANT_CARRIERS, type GrantCarrier } from '../../../model/grant-carrier.js';
import type { DeclarationChange } from '../../../registry/types.js';
import { RANGE_SERVICE } from '../ranges/sim-range-server.js';
import { OperatorClient } from './operator-client.js';

/** The keys are divided for the first time before this. */
const FIRST_DIVISION_MILLIS = 2500;
/** Mean time for which the service is there, and away. */
const THERE_MILLIS = 1500;
const AWAY_MILLIS = 600;
/** Share of returns in which the service is granted in the other way. */
const OTHER_CARRIER_SHARE = 0.25;
/** Wait before a change is repeated that another operator's change came before. */
const CONFLICT_RETRY_MILLIS = 50;

type Fields = Partial<Omit<DeclarationChange, 'type' | 'version' | 'expected'>>;

/** Ways in which the service ceases to own keys. */
const ABSENCES: readonly Fields[] = [
  { removedServices: [RANGE_SERVICE] },
  { extent: 'whole' },
  { services: [{ name: RANGE_SERVICE, keyed: false }] },
];

export class DeclaringOperator extends OperatorClient {
  #version = 0;
  #carrier: GrantCarrier = GRANT_CARRIERS.request;
  #isEnding = false;
  /** Time at which its last change was accepted. */
  acceptedAt = 0;

  /** Starts it as one that declares the service once and changes nothing more. */
  declareOnly(): void {
    this.#isEnding = true;
    this.start();
  }

  /** Leaves the service declared and changes nothing more. */
  end(): void {
    if (this.#isEnding) {
      return;
    }
    this.#isEnding = true;
    this.isCareful = true;
    this.#declare(this.#presence(), () => {});
  }

  protected onStart(): void {
    this.#declare(this.#presence(), () => {
      const firstMillis = FIRST_DIVISION_MILLIS + this.random.exponential(THERE_MILLIS);
      this.schedule(firstMillis, () => this.#remove());
    });
  }

  protected onStop(): void {}

  #remove(): void {
    if (!this.#isEnding) {
      this.#declare(this.random.pick(ABSENCES), () => {
        this.world.recorder.count('service with ranges taken away');
        this.schedule(this.random.exponential(AWAY_MILLIS), () => this.#return());
      });
    }
  }

  #return(): void {
    if (this.random.chance(OTHER_CARRIER_SHARE)) {
      const { request, heartbeat } = GRANT_CARRIERS;
      this.#carrier = this.#carrier === request ? heartbeat : request;
    }
    this.#declare(this.#presence(), () => {
      this.world.recorder.count('service with ranges brought back');
      this.schedule(this.random.exponential(THERE_MILLIS), () => this.#remove());
    });
  }

  #presence(): Fields {
    return { services: [{ name: RANGE_SERVICE, keyed: true, grantedBy: this.#carrier }] };
  }

  /** Requests a change on top of the version that it knows until it is accepted. */
  #declare(fields: Fields, done: () => void): void {
    const change: DeclarationChange = {
      type: 'declaration-apply',
      version: this.#version + 1,
      expected: this.#version,
      extent: 'partial',
      routes: [],
      services: [],
      limits: null,
      removedRoutes: [],
      removedServices: [],
      retiresRanges: true,
      ...fields,
    };
    this.ask({ type: 'declare', actor: this.name, change }, (response) => {
      if (this.#isAccepted(response, change.version)) {
        done();
      } else {
        this.schedule(CONFLICT_RETRY_MILLIS, () => this.#declare(fields, done));
      }
    });
  }

  /** Takes over the version that an answer names. */
  #isAccepted(response: OperatorResponse, version: number): boolean {
    if (response.type !== 'result') {
      return false;
    }
    const { result } = response;
    if (result.type === 'conflict') {
      this.#version = result.current;
      return false;
    }
    if (result.type !== 'accepted') {
      return false;
    }
    this.#version = version;
    this.acceptedAt = this.time.now;
    return true;
  }
}
