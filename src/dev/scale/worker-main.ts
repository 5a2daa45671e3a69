/** Entry point of each process of a scale run: reads the role's name from its arguments and answers calls. */
import { toError } from '../../errors/ternmount-error.js';
import { createControlRole } from './roles/control-role.js';
import { createRealRouterRole } from './roles/real-router-role.js';
import { createSimulatedRouterRole } from './roles/simulated-router-role.js';
import { createSimulatedUpstreamRole } from './roles/simulated-upstream-role.js';
import type { RoleMethods, RoleName, WorkerCall, WorkerReply } from './worker-calls.js';

const ROLES: Readonly<Record<RoleName, () => object>> = {
  control: createControlRole,
  'simulated-routers': createSimulatedRouterRole,
  'simulated-upstreams': createSimulatedUpstreamRole,
  'real-router': createRealRouterRole,
};

async function handleCall(
  methods: RoleMethods,
  { call, method, argument }: WorkerCall,
): Promise<WorkerReply> {
  try {
    return { call, result: await methods[method]?.(argument) };
  } catch (thrown) {
    return { call, error: toError(thrown).stack ?? String(thrown) };
  }
}

const methods = ROLES[process.argv[2] as RoleName]() as RoleMethods;
process.on('message', (message: WorkerCall) => {
  void handleCall(methods, message).then((reply) => process.send?.(reply));
});
process.on('disconnect', () => process.exit(0));
