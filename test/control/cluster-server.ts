/** A server that owns keys, for tests with control members on a virtual clock. */
import { createGrantHolder, type GrantHolder, type Ticket } from '../../src/lease/index.js';
import type { Epoch, ShardId, UpstreamId } from '../../src/model/identifiers.js';

/** A server whose clock has its own origin and rate. */
export class Server {
  holder: GrantHolder;
  state: 'up' | 'frozen' | 'dead' = 'up';
  /** Calls that arrived while the server was frozen. */
  readonly backlog: (() => void)[] = [];
  readonly epochs = new Map<ShardId, Epoch>();
  /** Whether a `warm` event is followed by `markWarmed` at once. */
  warmsImmediately = true;
  incarnationNumber = 1;

  constructor(
    readonly id: UpstreamId,
    readonly clockOffset: number,
    readonly clockRate: number,
  ) {
    this.holder = this.#start();
  }

  clock(time: number): number {
    return this.clockOffset + time * this.clockRate;
  }

  restart(): void {
    this.incarnationNumber += 1;
    this.epochs.clear();
    this.backlog.splice(0);
    this.state = 'up';
    this.holder = this.#start();
  }

  get incarnation(): string {
    return `${this.id}#${this.incarnationNumber}`;
  }

  handleEvents(): void {
    for (const event of this.holder.takeEvents()) {
      if (event.type === 'granted') {
        this.epochs.set(event.shard, event.epoch);
      } else if (event.type === 'warm' && this.warmsImmediately) {
        this.holder.markWarmed(event.shard);
      }
    }
  }

  admit(shard: ShardId, key: string, time: number): Ticket | null {
    const { incarnation } = this;
    const epoch = this.epochs.get(shard) ?? 0;
    const admission = this.holder.admit({ shard, epoch, incarnation, key }, this.clock(time));
    return admission.type === 'admitted' ? admission.ticket : null;
  }

  #start(): GrantHolder {
    return createGrantHolder({ cluster: 'c1', upstream: this.id, incarnation: this.incarnation });
  }
}
