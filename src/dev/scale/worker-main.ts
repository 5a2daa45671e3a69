/** Entry of each process that a scale run starts: takes the role's name from its arguments and answers calls. */
import { toError } from '../../errors/ternmount-error.js';
import { createControlRole } from './roles/control-role.js';
import { createHollowRouterRole } from './roles/hollow-router-role.js';
import { createHollowUpstreamRole } from './roles/hollow-upstream-role.js';
import { createRealRouterRole } from './roles/real-router-role.js';
import type { RoleMethods, RoleName, WorkerCall, WorkerReply } from './worker-calls.js';

const ROLES: Readonly<Record<RoleName, () => object>> = {
  control: createControlRole,
  'hollow-routers': createHollowRouterRole,
  'hollow-upstreams': createHollowUpstreamRole,
  'real-router': createRealRouterRole,
};

async function answer(methods: RoleMethods, { call, method, argument }: WorkerCall): Promise<WorkerReply> {
  try {
    return { call, result: await methods[method]?.(argument) };
  } catch (thrown) {
    return { call, error: toError(thrown).stack ?? String(thrown) };
  }
}

const methods = ROLES[process.argv[2] as RoleName]() as RoleMethods;
process.on('message', (message: WorkerCall) => {
  void answer(methods, message).then((reply) => process.send?.(reply));
});
process.on('disconnect', () => process.exit(0));
