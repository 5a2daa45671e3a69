/** A server that announces itself by heartbeats and holds ranges of numeric keys under plain grants. */
import type { HolderCall, HolderOutcome } from '../../../control/ranges/holder-call.js';
import type { OperatorRequest, OperatorResponse } from '../../../control/types.js';
import type { RangeTimings } from '../../../lease/range-timings.js';
import type { HeldKeys } from '../../../model/held-keys.js';
import type { Address, UpstreamId, WallMillis } from '../../../model/identifiers.js';
import { MAX_KEY } from '../../../model/key-range.js';
import type { KeyHolder } from '../../checker/history.js';
import type { SimControl } from '../control/sim-control.js';
import { CLIENT_ZONE } from '../network.js';
import { SimProcess } from '../sim-process.js';
import type { World } from '../world.js';
import { RangeHolder } from './range-holder.js';
import type { RangeLoss } from './range-losses.js';

/** Name of the service whose keys these servers hold. */
export const RANGE_SERVICE = 'numbers';

/** Grants outlast the first division of a service's keys, so that a holder who was forgotten shows. */
export const SIM_RANGE_TIMINGS: RangeTimings = {
  holdMillis: 5000,
  renewMillis: 800,
  lateMillis: 4000,
  clockRateError: 0.02,
  heartbeatMillis: 500,
};

/** A heartbeat without an answer is given up after this time. */
const HEARTBEAT_TIMEOUT_MILLIS = 700;
const HEARTBEAT_RETRY_MILLIS = 40;
const SLOTS = 2;
/** Share of calls that are read, left unanswered and carried out late. */
const LATE_SHARE = 0.12;

/** Keys whose holders are checked. */
export const SAMPLED_KEYS: readonly number[] = Array.from({ length: 64 }, (_, index) =>
  Math.floor((index * MAX_KEY) / 63),
);

type AnnounceRequest = Extract<OperatorRequest, { readonly type: 'announce' }>;

export class SimRangeServer extends SimProcess {
  readonly address: Address;
  /** Whether it reports that it is leaving. */
  isLeaving = false;
  /** Whether the whole machine is lost, so that connection attempts time out instead of being refused. */
  isSilent = false;
  /** How it was lost for good; `null` if it wasn't. */
  loss: RangeLoss | null = null;
  #holder = new RangeHolder();
  #leader: SimControl | null = null;
  #born: WallMillis | null = null;

  constructor(
    private readonly world: World,
    readonly number: number,
    /** Whether its runs share one id and report their start; otherwise each run has its own id. */
    private readonly keepsId: boolean,
  ) {
    super(`range-server-${number}`, CLIENT_ZONE, world.time, world.makeClock(), world.makeRandom());
    this.address = `127.2.0.${number}:80`;
  }

  get id(): UpstreamId {
    return this.keepsId ? `numbers-${this.number}` : `numbers-${this.number}-${this.run}`;
  }

  /** Name of the current run. */
  get incarnation(): string {
    return `${this.name}/${this.run}`;
  }

  /** Draws the start time from its own random stream. */
  drawStartMillis(windowMillis: number): number {
    return this.random.between(0, windowMillis);
  }

  /** Draws whether a call is left unanswered and carried out late, and how late in milliseconds; `null` if it isn't. */
  drawLateness(): number | null {
    const { lateMillis } = SIM_RANGE_TIMINGS;
    const isLate = this.world.hasLateCalls && this.random.chance(LATE_SHARE);
    return isLate ? this.random.between(0, lateMillis) : null;
  }

  /** Carries out a call; `ended` if it names an earlier run of its address. */
  handleCall(call: HolderCall): HolderOutcome {
    if (call.upstream !== this.id) {
      return { type: 'ended' };
    }
    const outcome = this.#holder.accept(call, this.clock.monotonic());
    this.#observe();
    return outcome;
  }

  /** Returns its grant of a key, or `null` if it holds none. */
  holdingOf(key: number): KeyHolder | null {
    if (this.state === 'stopped') {
      return null;
    }
    const fence = this.#holder.fenceOf(key, this.clock.monotonic());
    return fence === null ? null : { upstream: this.id, incarnation: this.incarnation, epoch: fence };
  }

  /** Ends the last run. */
  lose(loss: RangeLoss): void {
    this.crash();
    this.loss = loss;
    if (this.world.sabotage === 'grants-into-silence') {
      this.#repeatHeartbeat();
    }
  }

  override start(): void {
    if (this.loss === null) {
      super.start();
    }
  }

  protected onStart(): void {
    this.#holder = new RangeHolder();
    this.#born = this.keepsId ? this.clock.wall() : null;
    this.isLeaving = false;
    this.isSilent = false;
    this.#beat();
  }

  protected onStop(): void {
    this.#leader = null;
  }

  #beat(): void {
    const report = this.#holder.report(this.clock.monotonic());
    const sentAt = this.clock.monotonic();
    const { time } = this;
    const startedAt = time.now;
    let isOver = false;
    const end = (retryMillis: number | null): void => {
      if (!isOver) {
        isOver = true;
        const elapsed = time.now - startedAt;
        const wait = retryMillis ?? Math.max(0, SIM_RANGE_TIMINGS.heartbeatMillis - elapsed);
        this.schedule(wait, () => this.#beat());
      }
    };
    this.schedule(HEARTBEAT_TIMEOUT_MILLIS, () => {
      this.#leader = null;
      end(HEARTBEAT_RETRY_MILLIS);
    });
    this.#send({ type: 'announce', definition: this.#definition(), report }, (response) => {
      if (!isOver) {
        end(this.#handle(response, report, sentAt));
      }
    });
  }

  /** Sabotage: a device on the path goes on repeating the last heartbeat. */
  #repeatHeartbeat(): void {
    const report = this.#holder.report(this.clock.monotonic());
    this.#send({ type: 'announce', definition: this.#definition(), report }, () => {});
    this.time.after(SIM_RANGE_TIMINGS.heartbeatMillis, () => this.#repeatHeartbeat());
  }

  /** Handles an answer; returns the wait until the next heartbeat, or `null` for the usual one. */
  #handle(response: OperatorResponse, report: HeldKeys, sentAt: number): number | null {
    if (response.type === 'not-leader') {
      this.#leader = this.world.controls.find(({ address }) => address === response.leader) ?? null;
      return HEARTBEAT_RETRY_MILLIS;
    }
    if (response.type === 'heartbeat-taken' && response.keys !== null) {
      this.#holder.applyAnswer(report, response.keys, sentAt);
      this.#observe();
    }
    return null;
  }

  #definition(): AnnounceRequest['definition'] {
    const { id, address, isLeaving } = this;
    const announced = { slots: SLOTS, warmupMillis: 0, ...(this.#born !== null && { born: this.#born }) };
    return {
      id,
      service: RANGE_SERVICE,
      address,
      zone: this.zone,
      mayHold: [],
      leaving: isLeaving,
      announced,
    };
  }

  #send(request: AnnounceRequest, onResponse: (response: OperatorResponse) => void): void {
    const { world, run } = this;
    const control = this.#leader ?? this.random.pick(world.controls);
    world.network.sendDatagram(this, control, () =>
      control.operate(request, (response) =>
        world.network.sendDatagram(control, this, () => {
          if (this.run === run) {
            onResponse(response);
          }
        }),
      ),
    );
  }

  /** Checks all servers on the keys that this one holds. */
  #observe(): void {
    const { world } = this;
    for (const key of SAMPLED_KEYS) {
      if (this.holdingOf(key) !== null) {
        const holders = world.rangeServers.flatMap((server) => server.holdingOf(key) ?? []);
        if (holders.length > 1) {
          const at = world.time.now;
          world.recorder.record({ type: 'holders-observed', at, key: `${RANGE_SERVICE}/${key}`, holders });
        }
        world.recorder.count('holders of a range looked at');
      }
    }
  }
}

/** A planned move leaves its keys without holder for less than this time. */
export const PLANNED_MOVE_MILLIS = 1000;
const LOOK_MILLIS = 50;

/** Looks for a planned move's time, then records for each sampled key whether it had a holder at one of the looks. */
export function observeRangeRecovery(world: World): void {
  const unheld = new Set(SAMPLED_KEYS);
  const endsAt = world.time.now + PLANNED_MOVE_MILLIS;
  const look = (): void => {
    for (const key of unheld) {
      if (world.rangeServers.some((server) => server.holdingOf(key) !== null)) {
        unheld.delete(key);
      }
    }
    if (world.time.now + LOOK_MILLIS < endsAt) {
      world.time.after(LOOK_MILLIS, look);
    } else {
      recordRangeRecovery(world, unheld);
    }
  };
  look();
}

function recordRangeRecovery(world: World, unheld: ReadonlySet<number>): void {
  for (const key of SAMPLED_KEYS) {
    const subject = `key ${key} of ${RANGE_SERVICE}`;
    const recovered = !unheld.has(key);
    world.recorder.record({ type: 'recovery-observed', at: world.time.now, subject, recovered });
  }
}
