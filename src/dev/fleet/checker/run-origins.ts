/**
 * Which router handed on each run, as far as the journals show: a router's requests at upstreams have ids that begin with the name of its process. A
 * process is known by runs that only one router can have handed on.
 */
import type { AttemptRecord } from '../../journal/records.js';
import { type FleetHistory, groupBy, type Run } from './fleet-history.js';

/** Names the router that handed on a run; `null` if that isn't known. */
export type RunOrigin = (run: Run) => string | null;

/** Name in ids that name no process. */
const UNNAMED = '';

export function findRunOrigins({ runs, attempts }: FleetHistory): RunOrigin {
  const attemptsOf = groupBy(attempts, ({ request }) => request);
  const routersOf = new Map<string, Set<string>>();
  for (const run of runs) {
    const router = onlyRouterOf(run, attemptsOf.get(run.start.request ?? '') ?? []);
    const process = processOf(run);
    if (router !== null && process !== UNNAMED) {
      routersOf.set(process, (routersOf.get(process) ?? new Set()).add(router));
    }
  }
  return (run) => onlyOne(routersOf.get(processOf(run)) ?? new Set());
}

/** The router that all attempts until a run were sent to. */
function onlyRouterOf({ start }: Run, attempts: readonly AttemptRecord[]): string | null {
  const before = attempts.filter(({ sentAt }) => sentAt <= start.at);
  return onlyOne(new Set(before.map(({ router }) => router)));
}

function onlyOne(names: ReadonlySet<string>): string | null {
  const [name = null] = names;
  return names.size === 1 ? name : null;
}

function processOf({ start }: Run): string {
  const id = start.routerRequest ?? UNNAMED;
  return id.slice(0, Math.max(0, id.lastIndexOf('.')));
}
