/** Formats the result of a scale run. */
import { alignColumns, numericColumnAlignment } from '../../text/columns.js';
import type { RoleRow, ScaleResult } from './scale-result.js';

const MEGABYTE = 1024 * 1024;
const HEADINGS = [
  'role',
  'count',
  'in B/s',
  'out B/s',
  'messages/s',
  'core %',
  'memory MB',
  'longest step ms',
];

/** Returns the result as text of several lines. */
export function formatResult(result: ScaleResult): string {
  const { configurationChange: change, lostServer: lost, routerRestart: restart, zoneRestart: zone } = result;
  const [before, after] = result.machineLoad;
  return [
    `${result.daemons} daemons, ${result.shards} shards on ${result.upstreams} servers, ` +
      `${result.hollowRouters} of the routers hollow`,
    `machine load ${before.toFixed(1)} at the start, ${after.toFixed(1)} at the end; ` +
      `${megabytes(result.totalBytes)} MB resident in all`,
    '',
    ...alignColumns([HEADINGS, ...result.rows.map(cellsOf)], numericColumnAlignment),
    '',
    `first grants of all shards: ${round(result.firstGrantsMillis)} ms; changes resent: ${result.resends}`,
    `change of configuration in force everywhere: p50 ${round(change.inForceP50)} ms, ` +
      `max ${round(change.inForceMax)} ms (${change.count} changes; accepted p50 ${round(change.acceptedP50)} ms)`,
    `loss of a server with ${lost.shards} shards: new owners after ${round(lost.grantedMillis)} ms, ` +
      `known to every router after ${round(lost.knownMillis)} ms`,
    `restarted router: serves after ${round(restart.millis)} ms, ${round(restart.bytes)} bytes received, ` +
      `${round(restart.cpuMillis)} ms of processor time, longest step ${round(restart.longestStepMillis)} ms`,
    `zone of ${zone.routers} routers restarted at once: all served after ${round(zone.millis)} ms, ` +
      `${round(zone.bytesPerRouter)} bytes each; longest step of a control member ` +
      `${round(zone.longestStepMillis)} ms; ${zone.othersWithoutLease} routers elsewhere lost their lease`,
    '',
  ].join('\n');
}

function cellsOf({ role, count, rates }: RoleRow): string[] {
  return [
    role,
    String(count),
    round(rates.bytesInPerSecond),
    round(rates.bytesOutPerSecond),
    rates.messagesPerSecond.toFixed(1),
    (rates.processorShare * 100).toFixed(2),
    megabytes(rates.residentBytes),
    rates.longestStepMillis === 0 ? '-' : rates.longestStepMillis.toFixed(1),
  ];
}

function megabytes(bytes: number): string {
  return (bytes / MEGABYTE).toFixed(1);
}

function round(value: number): string {
  return String(Math.round(value));
}
