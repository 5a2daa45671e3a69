/** Runs faults one after the other, each in a separate fleet, and formats a table of the verdicts. */
import { formatInterval } from './report/fault-effects.js';
import { type FleetReport, isGood } from './report/fleet-report.js';
import { formatTable } from './report/text-table.js';

/** A fault and the outcome of its run. */
interface FaultVerdict {
  readonly fault: string;
  /** `undefined` if the run itself failed. */
  readonly report: FleetReport | undefined;
  readonly failure: string;
}

/** Runs one fleet with the given faults. */
export type RunOne = (faults: string) => Promise<FleetReport>;

function total(report: FleetReport, figure: 'requests' | 'answered' | 'refused' | 'unknown'): string {
  return String(report.services.reduce((sum, service) => sum + service[figure], 0));
}

function failures(report: FleetReport): string[] {
  const broken = report.promises.filter(({ violations }) => violations.length > 0);
  return [...broken.map(({ promise }) => promise), ...report.problems];
}

/** Cells for the first fault of a single upstream; empty if there was none. */
function effectCells({ faultEffects }: FleetReport): string[] {
  const [effect] = faultEffects;
  const intervals = effect === undefined ? [] : [effect.before, effect.atFirst, effect.afterReaction];
  return effect === undefined ? ['', '', ''] : intervals.map(formatInterval);
}

function rowOf({ fault, report, failure }: FaultVerdict): string[] {
  if (report === undefined) {
    return [fault, '', '', '', '', '', '', '', '', '', `FAILED: ${failure}`];
  }
  const keySeconds = report.services.reduce((sum, service) => sum + service.unavailableKeySeconds, 0);
  const served = report.ownerLosses.map(({ servedMillis }) => servedMillis.toFixed(0)).join(', ');
  return [
    fault,
    total(report, 'requests'),
    total(report, 'answered'),
    total(report, 'refused'),
    total(report, 'unknown'),
    keySeconds.toFixed(1),
    served,
    ...effectCells(report),
    isGood(report) ? 'held' : `FAILED: ${failures(report).join('; ')}`,
  ];
}

function formatVerdicts(verdicts: readonly FaultVerdict[]): string {
  const head = [
    'fault',
    'requests',
    'answered',
    'refused',
    'unknown',
    'unavailable key-s',
    '99% of lost keys served ms',
    'answered, its runs before',
    'first 3 s',
    'rest of the fault',
    'verdict',
  ];
  return formatTable(head, verdicts.map(rowOf));
}

/** Runs each fault and returns whether every run was good. After a failed run the others still run. */
export async function runEach(
  faults: readonly string[],
  runOne: RunOne,
  signal: AbortSignal,
  write: (line: string) => void,
): Promise<boolean> {
  const verdicts: FaultVerdict[] = [];
  for (const fault of faults) {
    const verdict = await runOne(fault).then(
      (report) => ({ fault, report, failure: '' }),
      (thrown: unknown) => ({ fault, report: undefined, failure: String(thrown) }),
    );
    signal.throwIfAborted();
    const isHeld = verdict.report !== undefined && isGood(verdict.report);
    write(`${fault}: ${isHeld ? 'held' : 'FAILED'}`);
    verdicts.push(verdict);
  }
  write(`\n${formatVerdicts(verdicts)}`);
  return verdicts.every(({ report }) => report !== undefined && isGood(report));
}
