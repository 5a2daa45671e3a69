/** A simulated disk, which checks that replies and applied entries of a replica are backed by persisted state. */
import { expect } from 'chai';
import type {
  LogEntry,
  Membership,
  PersistRequest,
  RaftMessage,
  RestoredState,
  Snapshot,
} from '../../src/consensus/index.js';

export class SimulatedDisk {
  #hardState: RestoredState['hardState'] = { term: 0, votedFor: null };
  #snapshot: Snapshot | null = null;
  #entries: LogEntry[] = [];
  readonly #initialMembership: Membership | null;

  constructor(initialMembership: Membership | null) {
    this.#initialMembership = initialMembership;
  }

  write(request: PersistRequest): void {
    this.#hardState = request.hardState ?? this.#hardState;
    const { truncateFrom, snapshot, entries = [] } = request;
    if (truncateFrom !== undefined) {
      this.#entries = this.#entries.filter((entry) => entry.index < truncateFrom);
    }
    for (const entry of entries) {
      expect(entry.index, 'entries on disk follow each other').to.equal(this.lastIndex + 1);
      this.#entries.push(entry);
    }
    if (snapshot !== undefined) {
      this.#snapshot = snapshot;
      this.#entries = this.#entries.filter((entry) => entry.index > snapshot.lastIndex);
    }
  }

  load(): RestoredState {
    return {
      hardState: this.#hardState,
      snapshot: this.#snapshot,
      initialMembership: this.#initialMembership,
      entries: [...this.#entries],
    };
  }

  get lastIndex(): number {
    return this.#entries.at(-1)?.index ?? this.#snapshot?.lastIndex ?? 0;
  }

  entryAt(index: number): LogEntry | undefined {
    return this.#entries.find((entry) => entry.index === index);
  }

  /** A reply must not be sent before the state that it acknowledges is on disk. */
  checkReply(message: RaftMessage): void {
    const { term, votedFor } = this.#hardState;
    if (message.type === 'vote-response' && !message.preVote && message.granted) {
      expect(term, 'term of a vote is on disk').to.be.at.least(message.term);
      if (term === message.term) {
        expect(votedFor, 'vote is on disk').to.equal(message.to);
      }
    }
    if (message.type === 'append-response' && message.success) {
      expect(term, 'term of an append is on disk').to.be.at.least(message.term);
      expect(this.lastIndex, 'acknowledged entries are on disk').to.be.at.least(message.matchIndex);
    }
    if (message.type === 'snapshot-response' && message.installed) {
      expect(this.lastIndex, 'installed snapshot is on disk').to.be.at.least(message.lastIndex);
    }
  }

  /** An applied entry must be on this replica's own disk. */
  checkApplied(entry: LogEntry): void {
    const onDisk = this.entryAt(entry.index);
    const covered = entry.index <= (this.#snapshot?.lastIndex ?? 0);
    expect(covered || onDisk?.term === entry.term, `applied entry ${entry.index} is on disk`).to.equal(true);
  }
}
