/** Builds the start parameters of each process of a plan. */
import { fileURLToPath } from 'node:url';
import type { FleetPlan } from './fleet-plan.js';
import type { ProcessKind, ProcessSpec } from './process-spec.js';
import { settingsFileOf } from './settings-files.js';

/** Program of the daemons and of the operator commands. */
export const TERNMOUNT_PROGRAM = fileURLToPath(new URL('../../cli/main.js', import.meta.url));
const DEV_PROGRAM = fileURLToPath(new URL('../main.js', import.meta.url));

interface NamedProcess {
  readonly name: string;
  readonly zone: string;
  readonly host: string;
  readonly folder: string;
}

function specOf(
  process: NamedProcess,
  kind: ProcessKind,
  program: readonly string[],
  readyAddress: string | null,
): ProcessSpec {
  const { name, zone, host, folder } = process;
  const command = [...program, '--settings', settingsFileOf(process)];
  return { name, kind, zone, host, folder, command, readyAddress };
}

const CONTROL_COMMAND = [TERNMOUNT_PROGRAM, 'control', 'run'];
const ROUTER_COMMAND = [TERNMOUNT_PROGRAM, 'router', 'run'];

function standinCommand(kind: string): string[] {
  return [DEV_PROGRAM, 'standin', kind];
}

/** Specs of all processes except the callers, by name. */
export function processSpecs(plan: FleetPlan): ReadonlyMap<string, ProcessSpec> {
  const specs = [
    ...plan.links.map((link) => specOf(link, 'link', standinCommand('link'), link.admin)),
    specOf(plan.platform, 'platform', standinCommand('platform'), plan.platform.listen),
    ...plan.control.map((control) => specOf(control, 'control', CONTROL_COMMAND, control.admin)),
    ...plan.upstreams.map((process) =>
      specOf(process, 'upstream', standinCommand('upstream'), process.admin),
    ),
    ...plan.routers.map((router) => specOf(router, 'router', ROUTER_COMMAND, router.callers.listen)),
  ];
  return new Map(specs.map((spec) => [spec.name, spec]));
}

export function callerSpecs(plan: FleetPlan): ProcessSpec[] {
  return plan.callers.map((caller) => specOf(caller, 'caller', standinCommand('caller'), caller.admin));
}
