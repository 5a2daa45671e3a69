/** A real control member: the daemon with its own sockets; its core is counted. */
import type { Membership, RaftStatus } from '../../../consensus/types.js';
import { createControlNode } from '../../../control/control-node.js';
import { ControlDaemon } from '../../../control/daemon/control-daemon.js';
import type {
  ControlEffect,
  ControlInput,
  OperatorRequest,
  OperatorResponse,
} from '../../../control/types.js';
import { CountingCore } from '../counting-core.js';
import { MemoryFiles } from '../memory-files.js';
import { SocketMeter } from '../socket-meter.js';
import { sampleUsage, type UsageSample } from '../usage.js';
import type { RunIdentity } from '../worker-calls.js';

const INPUTS = new Set(['peer-message', 'router-message', 'upstream-answer', 'upstream-failed']);
const EFFECTS = new Set(['send-peer', 'send-router', 'call-upstream']);

export interface ControlStart {
  readonly identity: RunIdentity;
  readonly replica: string;
  readonly membership: Membership;
  readonly dataFolder: string;
}

/** Methods of a control member's process. */
export interface ControlMethods {
  start(start: ControlStart): Promise<void>;
  status(): RaftStatus;
  operate(request: OperatorRequest): Promise<OperatorResponse>;
  sample(): UsageSample;
  stop(): Promise<void>;
}

export function createControlRole(): ControlMethods {
  const meter = new SocketMeter();
  let daemon: ControlDaemon;
  let core: CountingCore<ControlInput, ControlEffect, RaftStatus>;
  return {
    async start({ identity, replica, membership, dataFolder }) {
      meter.start();
      const settings = {
        cluster: identity.cluster,
        zone: 'zone-a',
        dataFolder,
        listen: membership.addresses[replica] as string,
        admin: '127.0.0.1:0',
        secret: identity.secret,
      };
      const restored = {
        hardState: { term: 0, votedFor: null },
        snapshot: null,
        initialMembership: membership,
        entries: [],
      };
      const opened = { replica, restored, files: new MemoryFiles() };
      daemon = new ControlDaemon(settings, opened, (config, state, now) => {
        core = new CountingCore(createControlNode(config, state, now), INPUTS, EFFECTS);
        return core;
      });
      void daemon.failed.then((error) => {
        process.stderr.write(`${error.stack}\n`);
        process.exit(1);
      });
      await daemon.start();
    },
    status: () => daemon.status(),
    operate: (request) => daemon.operate(request),
    sample: () => sampleUsage(meter, core.read()),
    stop: () => daemon.stop(),
  };
}
