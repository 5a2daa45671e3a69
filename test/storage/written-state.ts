/** The states that a data folder may hold after requests of which the last ones were interrupted at any point. */
import type { LogEntry, PersistRequest, RestoredState, Snapshot } from '../../src/consensus/types.js';
import { SimulatedDisk } from '../consensus/simulated-disk.js';
import { entry, plain, snapshot } from './store-fixture.js';

/** A step of a random run. */
export type Step = 'append' | 'truncate' | 'vote' | 'snapshot' | 'install' | 'batch';

/** Generates requests that a Raft core may issue, consistent with the state on disk. */
export class RequestMaker {
  #persistId = 0;
  #term = 1;
  constructor(
    private lastIndex: number,
    private snapshotIndex: number,
  ) {}

  make(step: Step): PersistRequest[] {
    this.#persistId += 1;
    const persistId = this.#persistId;
    switch (step) {
      case 'append':
        return [{ persistId, entries: this.#entries(3) }];
      case 'batch':
        return [{ persistId, entries: this.#entries(1) }, ...this.make('vote'), ...this.make('append')];
      case 'truncate':
        return [{ persistId, truncateFrom: this.#truncate(), entries: this.#entries(1) }];
      case 'vote':
        this.#term += 1;
        return [{ persistId, hardState: { term: this.#term, votedFor: 'a' } }];
      case 'snapshot':
        this.snapshotIndex = this.lastIndex;
        return [{ persistId, entries: this.#entries(1), snapshot: snapshot(this.snapshotIndex, this.#term) }];
      case 'install':
        this.lastIndex += 10;
        this.snapshotIndex = this.lastIndex;
        return [{ persistId, snapshot: snapshot(this.lastIndex, this.#term) }];
    }
  }

  #entries(count: number): LogEntry[] {
    return Array.from({ length: count }, () => {
      this.lastIndex += 1;
      return entry(this.lastIndex, this.#term);
    });
  }

  #truncate(): number {
    this.lastIndex = Math.max(this.snapshotIndex, this.lastIndex - 2);
    return this.lastIndex + 1;
  }
}

/** The written state with all snapshots taken: the store may choose which of the replica's own ones is on disk. */
class WrittenState {
  readonly #disk = new SimulatedDisk(null);
  /** The log since the last installed snapshot, including entries covered by the replica's own snapshots. */
  #entries: LogEntry[] = [];
  #snapshots: (Snapshot | null)[] = [null];

  write(request: PersistRequest): void {
    this.#disk.write(request);
    const { truncateFrom, entries = [], snapshot: taken } = request;
    if (truncateFrom !== undefined) {
      this.#entries = this.#entries.filter(({ index }) => index < truncateFrom);
    }
    this.#entries.push(...entries);
    if (taken !== undefined && taken.lastIndex > (this.#entries.at(-1)?.index ?? 0)) {
      this.#entries = [];
      this.#snapshots = [taken];
    } else if (taken !== undefined) {
      this.#snapshots.push(taken);
    }
  }

  /** Whether a folder that holds this state may read as `restored`. */
  mayReadAs(restored: RestoredState): boolean {
    const { snapshot: found } = restored;
    if (!this.#snapshots.some((taken) => taken?.lastIndex === found?.lastIndex)) {
      return false;
    }
    const { hardState } = this.#disk.load();
    const entries = this.#entries.filter(({ index }) => index > (found?.lastIndex ?? 0));
    const expected = plain({ ...restored, hardState, entries });
    return JSON.stringify(expected) === JSON.stringify(plain(restored));
  }
}

/** Yields every state that an interruption within the last requests may leave. */
function* possibleStates(
  acknowledged: readonly PersistRequest[],
  last: readonly PersistRequest[],
): Generator<WrittenState> {
  const state = new WrittenState();
  for (const request of acknowledged) {
    state.write(request);
  }
  yield state;
  for (const { persistId, hardState, truncateFrom, entries = [], snapshot: taken } of last) {
    const parts: PersistRequest[] = [
      ...(hardState === undefined ? [] : [{ persistId, hardState }]),
      ...(truncateFrom === undefined ? [] : [{ persistId, truncateFrom }]),
      ...entries.map((item) => ({ persistId, entries: [item] })),
      ...(taken === undefined ? [] : [{ persistId, snapshot: taken }]),
    ];
    for (const part of parts) {
      state.write(part);
      yield state;
    }
  }
}

/** Yields for each possible state whether `restored` is a valid reading of it. */
export function* mapStates(
  acknowledged: readonly PersistRequest[],
  last: readonly PersistRequest[],
  restored: RestoredState,
): Generator<boolean> {
  for (const state of possibleStates(acknowledged, last)) {
    yield state.mayReadAs(restored);
  }
}
