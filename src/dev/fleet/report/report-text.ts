/** Formats a report as human-readable text. */
import { formatInterval } from './fault-effects.js';
import { type FleetReport, isGood } from './fleet-report.js';
import { formatTable } from './text-table.js';

const MAX_VIOLATIONS_SHOWN = 5;

function servicesTable(report: FleetReport): string {
  const head = [
    'service',
    'requests',
    'answered',
    'refused',
    'unknown',
    'failed',
    'p50 ms',
    'p99 ms',
    'unavailable key-s',
    'imbalance',
  ];
  const rows = report.services.map((figures) => [
    figures.service,
    String(figures.requests),
    String(figures.answered),
    String(figures.refused),
    String(figures.unknown),
    String(figures.failed),
    figures.p50Millis.toFixed(1),
    figures.p99Millis.toFixed(1),
    figures.unavailableKeySeconds.toFixed(1),
    (report.imbalance[figures.service] ?? 0).toFixed(2),
  ]);
  return formatTable(head, rows);
}

function lossesTable(report: FleetReport): string {
  const head = [
    'lost owner',
    'shards',
    'keys',
    'probed',
    'lease over ms',
    'granted ms',
    'p50 ms',
    '99% served ms',
    'max ms',
    'unserved',
  ];
  const rows = report.ownerLosses.map((loss) => [
    loss.upstream,
    String(loss.shards),
    String(loss.keys),
    String(loss.probedKeys),
    loss.phases.leaseEndedMillis?.toFixed(0) ?? '–',
    loss.phases.grantedMillis?.toFixed(0) ?? '–',
    loss.p50Millis.toFixed(0),
    loss.servedMillis.toFixed(0),
    loss.maxMillis.toFixed(0),
    String(loss.unserved),
  ]);
  return formatTable(head, rows);
}

function effectsTable(report: FleetReport): string {
  const head = ['fault', 'upstream', 'answered, its runs before', 'first 3 s', 'rest of the fault'];
  const rows = report.faultEffects.map(({ type, upstream, before, atFirst, afterReaction }) => [
    type,
    upstream,
    formatInterval(before),
    formatInterval(atFirst),
    formatInterval(afterReaction),
  ]);
  return formatTable(head, rows);
}

function promisesTable(report: FleetReport): string {
  const rows = report.promises.map(({ promise, checked, violations }) => {
    const verdict = checked === 0 ? 'not provoked' : 'held';
    return [
      promise,
      String(checked),
      violations.length === 0 ? verdict : `BROKEN ${violations.length} times`,
    ];
  });
  return formatTable(['promise', 'checked', 'verdict'], rows);
}

function violationLines(report: FleetReport): string[] {
  return report.promises.flatMap(({ violations }) =>
    violations.slice(0, MAX_VIOLATIONS_SHOWN).map(({ promise, message }) => `broken: ${promise}: ${message}`),
  );
}

/** Returns the report as text. */
export function formatReport(report: FleetReport): string {
  const faults = report.faults.map(({ type, target, at }) => `${type} ${target} at ${at.toFixed(1)} s`);
  const parts = [
    `${report.deployment}: ${report.seconds} s of load; faults: ${faults.join(', ') || 'none'}`,
    servicesTable(report),
    ...(report.ownerLosses.length > 0 ? [lossesTable(report)] : []),
    ...(report.faultEffects.length > 0 ? [effectsTable(report)] : []),
    `churn: ${report.ownerChanges} changes of a shard's owner`,
    promisesTable(report),
    [
      ...violationLines(report),
      ...report.problems.map((problem) => `problem: ${problem}`),
      isGood(report) ? 'every promise held' : 'FAILED',
    ].join('\n'),
  ];
  return parts.join('\n\n');
}
