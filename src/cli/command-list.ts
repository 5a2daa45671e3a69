/** All subcommands of `ternmount`. */
import type { CommandSpec } from './command-spec.js';
import { controlInit, controlJoin } from './commands/control-folder.js';
import {
  controlAdd,
  controlAddLearner,
  controlReplace,
  controlSnapshot,
  controlTransfer,
} from './commands/control-members.js';
import { controlRun } from './commands/control-run.js';
import { routerRun } from './commands/router-run.js';
import { serviceApply } from './commands/service-apply.js';
import { serviceDelete } from './commands/service-delete.js';
import { shardMove } from './commands/shard-move.js';
import { tokenCreate } from './commands/token-create.js';
import { upstreamAdd, upstreamDrain, upstreamRemove } from './commands/upstream-changes.js';

export const COMMANDS: readonly CommandSpec[] = [
  controlInit,
  controlJoin,
  controlRun,
  controlAdd,
  controlAddLearner,
  controlReplace,
  controlTransfer,
  controlSnapshot,
  routerRun,
  serviceApply,
  serviceDelete,
  shardMove,
  upstreamAdd,
  upstreamDrain,
  upstreamRemove,
  tokenCreate,
];
