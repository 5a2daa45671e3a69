/** Checks the events of all replicas against Raft's safety properties. */
import { expect } from 'chai';
import type { LogEntry, RaftEffect } from '../../src/consensus/index.js';

/** State machine of the tests: a digest of all entries applied so far. */
export interface MachineState {
  readonly index: number;
  readonly digest: number;
}

export const INITIAL_MACHINE_STATE: MachineState = { index: 0, digest: 0 };

const DIGEST_FACTOR = 31;
const DIGEST_MODULUS = 1_000_000_007;

export function applyToMachine(state: MachineState, entry: LogEntry): MachineState {
  const bytes = [entry.index, entry.term, entry.kind.length, ...entry.data];
  const digest = bytes.reduce((sum, byte) => (sum * DIGEST_FACTOR + byte) % DIGEST_MODULUS, state.digest);
  return { index: entry.index, digest };
}

export class HistoryChecker {
  readonly #leaders = new Map<number, string>();
  readonly #digests = new Map<number, number>();
  readonly #readFloors = new Map<string, number>();
  readonly #terms = new Map<string, number>();
  /** Highest index applied by any replica. */
  maxApplied = 0;
  readsAnswered = 0;

  onRoleChanged(replica: string, effect: Extract<RaftEffect, { type: 'role-changed' }>): void {
    const before = this.#terms.get(replica) ?? 0;
    expect(effect.term, `terms of ${replica} only grow`).to.be.at.least(before);
    this.#terms.set(replica, effect.term);
    if (effect.role === 'leader') {
      const leader = this.#leaders.get(effect.term) ?? replica;
      expect(leader, `one leader in term ${effect.term}`).to.equal(replica);
      this.#leaders.set(effect.term, replica);
    }
  }

  /** A restarted replica may have lost terms that were never persisted. */
  onRestart(replica: string): void {
    this.#terms.delete(replica);
  }

  onApplied(replica: string, state: MachineState): void {
    const digest = this.#digests.get(state.index) ?? state.digest;
    expect(state.digest, `${replica} applies the same as others up to ${state.index}`).to.equal(digest);
    this.#digests.set(state.index, digest);
    this.maxApplied = Math.max(this.maxApplied, state.index);
  }

  onReadStarted(readKey: string): void {
    this.#readFloors.set(readKey, this.maxApplied);
  }

  onReadReady(readKey: string, index: number, appliedIndex: number): void {
    const floor = this.#readFloors.get(readKey);
    expect(floor, `read ${readKey} was asked once`).to.not.equal(undefined);
    this.#readFloors.delete(readKey);
    expect(index, `read ${readKey} sees what was committed before it`).to.be.at.least(floor as number);
    expect(appliedIndex, `read ${readKey} is answered from applied state`).to.be.at.least(index);
    this.readsAnswered += 1;
  }

  onReadFailed(readKey: string): void {
    expect(this.#readFloors.delete(readKey), `read ${readKey} was asked once`).to.equal(true);
  }
}
