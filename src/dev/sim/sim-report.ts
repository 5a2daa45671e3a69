/** Summarizes runs: seeds, faults, operations, and every violation with its seed. */
import type { SimulationResult } from './simulation.js';

type Counts = Map<string, number>;

export class SimReport {
  private readonly seeds: number[] = [];
  private readonly faults: Counts = new Map();
  private readonly operations: Counts = new Map();
  private readonly failures: string[] = [];
  private lastHash = '';

  constructor(private readonly deployment: string) {}

  /** Number of violations in all runs. */
  get violations(): number {
    return this.failures.length;
  }

  add(result: SimulationResult): void {
    this.seeds.push(result.seed);
    this.lastHash = result.hash;
    addCounts(this.faults, result.faults);
    addCounts(this.operations, result.operations);
    for (const { promise, at, message } of result.violations) {
      this.failures.push(`seed ${result.seed}\t${promise}\tat ${at.toFixed(1)} ms\t${message}`);
    }
  }

  /** Formats the report as text. */
  text(): string {
    const first = this.seeds[0];
    const last = this.seeds.at(-1);
    const lines = [
      `deployment ${this.deployment}: ${this.seeds.length} seeds (${first}..${last}), hash of the last trace ${this.lastHash}`,
      'faults injected:',
      ...listing(this.faults),
      'operations completed:',
      ...listing(this.operations),
      `violations: ${this.failures.length}`,
      ...this.failures.map((failure) => `  ${failure}`),
    ];
    return `${lines.join('\n')}\n`;
  }
}

function addCounts(sum: Counts, counts: ReadonlyMap<string, number>): void {
  for (const [name, count] of counts) {
    sum.set(name, (sum.get(name) ?? 0) + count);
  }
}

function listing(counts: Counts): string[] {
  return [...counts]
    .sort(([one], [other]) => (one < other ? -1 : 1))
    .map(([name, count]) => `  ${name}: ${count}`);
}
