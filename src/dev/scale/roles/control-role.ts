/** A real control member: the daemon with its own sockets and a `CountingCore`. */
import type { Membership, RaftStatus, RaftTimings } from '../../../consensus/types.js';
import { createControlNode } from '../../../control/control-node.js';
import { ControlDaemon } from '../../../control/daemon/control-daemon.js';
import type {
  ControlEffect,
  ControlInput,
  OperatorRequest,
  OperatorResponse,
} from '../../../control/types.js';
import type { Address, ReplicaId } from '../../../model/identifiers.js';
import { createReplica, openReplica } from '../../../storage/index.js';
import { CountingCore } from '../counting-core.js';
import { SocketMeter } from '../socket-meter.js';
import { sampleUsage, type UsageSample } from '../usage.js';
import type { RunIdentity } from '../worker-calls.js';

const INPUTS = new Set(['peer-message', 'router-message', 'upstream-answer', 'upstream-failed']);
const EFFECTS = new Set(['send-peer', 'send-router', 'call-upstream']);

export interface ControlFolder {
  readonly identity: RunIdentity;
  readonly dataFolder: string;
  readonly address: Address;
}

export interface ControlStart extends ControlFolder {
  readonly raft: RaftTimings;
  /** All members of the run; the initial membership of each, because its log is empty. */
  readonly membership: Membership;
}

/** Methods of a control member's process. */
export interface ControlMethods {
  /** Creates the data folder; returns the id of its replica. */
  prepare(folder: ControlFolder): Promise<ReplicaId>;
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
    async prepare({ identity, dataFolder, address }) {
      const { replica } = await createReplica(dataFolder, {
        cluster: identity.cluster,
        address,
        role: 'joining',
      });
      return replica;
    },
    async start({ identity, membership, raft, dataFolder, address }) {
      meter.start();
      const settings = {
        cluster: identity.cluster,
        zone: 'zone-a',
        dataFolder,
        listen: address,
        admin: '127.0.0.1:0',
        secret: identity.secret,
        timings: { raft },
      };
      const { identity: folder, restored, store } = await openReplica(dataFolder, identity.cluster);
      const { replica } = folder;
      const opened = { replica, restored: { ...restored, initialMembership: membership }, files: store };
      daemon = new ControlDaemon(settings, opened, (config, state, now) => {
        const node = createControlNode(config, state, now);
        const counting = new CountingCore(node, INPUTS, EFFECTS);
        core = counting;
        return {
          step: (input, at, wall) => counting.step(input, at, wall),
          nextDeadline: () => counting.nextDeadline(),
          status: () => counting.status(),
          rangeWork: () => node.rangeWork(),
          work: () => node.work(),
        };
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
