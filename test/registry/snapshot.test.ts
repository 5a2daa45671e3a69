/** Snapshots of the registry: written in slices, and either restored completely or rejected. */
import { gzipSync } from 'node:zlib';
import { expect } from 'chai';
import fc from 'fast-check';
import { createRegistry, decodeRegistry, RegistrySnapshotError } from '../../src/registry/index.js';
import type { Command, CommandEnvelope, Registry } from '../../src/registry/types.js';
import { SERVICE } from '../control/cluster-harness.js';

const START = 1_700_000_000_000;
const BODY = 'x'.repeat(500);

/** Applies commands in sequence, one second apart. */
class Writer {
  readonly registry: Registry = createRegistry();
  /** The last applied entry. */
  last: CommandEnvelope | undefined;
  #index = 0;

  constructor() {
    this.apply({ type: 'service-apply', definition: { ...SERVICE, repeatable: false }, expected: null });
  }

  apply(command: Command): void {
    this.#index += 1;
    const envelope = { requestId: `request-${this.#index}`, actor: 'test', at: this.#clock, command };
    this.last = envelope;
    this.registry.apply(this.#index, envelope);
  }

  claim(key: string): void {
    const claim = { service: SERVICE.name, key, claimant: `router/${key}`, fingerprint: 'f' };
    this.apply({ type: 'ledger-claim', ...claim, issuedAt: this.#clock });
  }

  settle(key: string, outcome: 'ran' | 'not-run' | 'unknown'): void {
    const answer = { status: 200, contentType: 'text/plain', body: BODY, truncated: false };
    const settlement = { service: SERVICE.name, key, claimant: `router/${key}`, outcome };
    this.apply({ type: 'ledger-settle', ...settlement, answer: outcome === 'ran' ? answer : null });
  }

  get #clock(): number {
    return START + 1000 * this.#index;
  }
}

function text(bytes: Uint8Array): string {
  return Buffer.from(bytes).toString('base64');
}

describe('snapshot of the registry', () => {
  it('holds the state at its start, even if the state changes between slices', () => {
    const writer = new Writer();
    for (let number = 0; number < 2000; number += 1) {
      writer.claim(`key-${number}`);
      writer.settle(`key-${number}`, 'ran');
    }
    const expected = text(writer.registry.encode());
    const encoder = writer.registry.beginEncode();
    let slices = 1;
    let bytes = encoder.step();
    for (; bytes === null; bytes = encoder.step()) {
      slices += 1;
      writer.settle(`key-${slices}`, 'not-run');
      writer.claim(`later-${slices}`);
      writer.apply({ type: 'service-delete', service: `gone-${slices}`, expected: null });
    }
    expect(slices).to.be.above(3);
    expect(text(bytes)).to.equal(expected);
    const restored = decodeRegistry(bytes);
    expect(restored.revision).to.equal(encoder.revision);
    expect(restored.ledgerRecord(SERVICE.name, 'key-1999')?.answer?.body).to.equal(BODY);
  });

  it('restores a registry that stays byte-identical to the original under further commands', () => {
    const step = fc.tuple(fc.nat(12), fc.constantFrom('claim', 'ran', 'not-run', 'unknown', 'restart'));
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const writer = new Writer();
        let restored = decodeRegistry(writer.registry.encode());
        for (const [key, what] of steps) {
          const before = writer.registry.revision;
          if (what === 'claim') {
            writer.claim(`key-${key}`);
          } else if (what === 'restart') {
            restored = decodeRegistry(restored.encode());
          } else {
            writer.settle(`key-${key}`, what as 'ran');
          }
          if (writer.registry.revision > before) {
            restored.apply(writer.registry.revision, writer.last as CommandEnvelope);
          }
        }
        expect(text(restored.encode())).to.equal(text(writer.registry.encode()));
      }),
      { seed: 72, numRuns: 200 },
    );
  });

  it('is rejected if it is truncated, damaged, or of another version', () => {
    const whole = new Writer().registry.encode();
    for (const length of [0, 3, 40, whole.length - 40, whole.length - 1]) {
      expect(() => decodeRegistry(whole.subarray(0, length)), `${length} bytes`).to.throw(
        RegistrySnapshotError,
      );
    }
    const damaged = Buffer.from(whole);
    damaged.fill(0, 30, 50);
    expect(() => decodeRegistry(damaged)).to.throw(RegistrySnapshotError);
    const head = gzipSync(JSON.stringify({ part: 'head', version: 99 }));
    const length = Buffer.alloc(4);
    length.writeUInt32BE(head.length);
    expect(() => decodeRegistry(Buffer.concat([length, head]))).to.throw('version 99');
  });
});
