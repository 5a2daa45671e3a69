/** How each process of a fleet's plan is started. */
import { fileURLToPath } from 'node:url';
import type { FleetPlan } from './fleet-plan.js';
import type { ProcessKind, ProcessSpec } from './process-spec.js';
import { settingsFileOf } from './settings-files.js';

/** Program of the daemons and of operators. */
export const TERNMOUNT_PROGRAM = fileURLToPath(new URL('../../cli/main.js', import.meta.url));
const DEV_PROGRAM = fileURLToPath(new URL('../main.js', import.meta.url));

interface Startable {
  readonly name: string;
  readonly zone: string;
  readonly host: string;
  readonly folder: string;
}

function specOf(
  process: Startable,
  kind: ProcessKind,
  program: readonly string[],
  readyAddress: string | null,
): ProcessSpec {
  const { name, zone, host, folder } = process;
  const command = [...program, '--settings', settingsFileOf(process)];
  return { name, kind, zone, host, folder, command, readyAddress };
}

const CONTROL = [TERNMOUNT_PROGRAM, 'control', 'run'];
const ROUTER = [TERNMOUNT_PROGRAM, 'router', 'run'];

function standin(kind: string): string[] {
  return [DEV_PROGRAM, 'standin', kind];
}

/** All processes but the callers, by name. */
export function processSpecs(plan: FleetPlan): ReadonlyMap<string, ProcessSpec> {
  const specs = [
    ...plan.links.map((link) => specOf(link, 'link', standin('link'), link.admin)),
    specOf(plan.platform, 'platform', standin('platform'), plan.platform.listen),
    ...plan.control.map((control) => specOf(control, 'control', CONTROL, control.admin)),
    ...plan.upstreams.map((process) => specOf(process, 'upstream', standin('upstream'), process.admin)),
    ...plan.routers.map((router) => specOf(router, 'router', ROUTER, router.callers.listen)),
  ];
  return new Map(specs.map((spec) => [spec.name, spec]));
}

export function callerSpecs(plan: FleetPlan): ProcessSpec[] {
  return plan.callers.map((caller) => specOf(caller, 'caller', standin('caller'), caller.admin));
}
