/** All subcommands of `ternmount`. */
import type { CommandSpec } from './command-spec.js';
import { controlInit, controlJoin } from './commands/control-folder.js';
import {
  controlAdd,
  controlAddLearner,
  controlSnapshot,
  controlTransfer,
} from './commands/control-members.js';
import { controlReplace } from './commands/control-replace.js';
import { controlRun } from './commands/control-run.js';
import { policyApply } from './commands/policy-apply.js';
import { quarantineRelease } from './commands/quarantine-release.js';
import { routerRun } from './commands/router-run.js';
import { serviceApply } from './commands/service-apply.js';
import { serviceDelete } from './commands/service-delete.js';
import { shardMove } from './commands/shard-move.js';
import { tokenCreate } from './commands/token-create.js';
import { upstreamAdd } from './commands/upstream-add.js';
import { upstreamDrain } from './commands/upstream-drain.js';
import { upstreamRemove } from './commands/upstream-remove.js';
import { zoneEvacuate, zoneRestore } from './commands/zone-evacuation.js';
import { createCompletion } from './queries/completion.js';
import { configShow } from './queries/config-show.js';
import { configValidate } from './queries/config-validate.js';
import { controlStatus } from './queries/control-status.js';
import { policyCheck } from './queries/policy-check.js';
import { policyGet } from './queries/policy-get.js';
import { policyTry } from './queries/policy-try.js';
import { quarantineList } from './queries/quarantine-list.js';
import { requestExplain } from './queries/request-explain.js';
import { requestLookup } from './queries/request-lookup.js';
import { serviceGet, serviceList } from './queries/service-queries.js';
import { shardExplain } from './queries/shard-explain.js';
import { shardList } from './queries/shard-list.js';
import { status } from './queries/status.js';
import { upstreamList } from './queries/upstream-list.js';
import { zoneList } from './queries/zone-list.js';

/** All commands, in the order of the help text. */
export const COMMANDS: readonly CommandSpec[] = [
  status,
  controlInit,
  controlJoin,
  controlRun,
  controlStatus,
  controlAdd,
  controlAddLearner,
  controlReplace,
  controlTransfer,
  controlSnapshot,
  routerRun,
  serviceApply,
  serviceList,
  serviceGet,
  serviceDelete,
  policyApply,
  policyCheck,
  policyGet,
  policyTry,
  upstreamAdd,
  upstreamList,
  upstreamDrain,
  upstreamRemove,
  zoneList,
  zoneEvacuate,
  zoneRestore,
  shardList,
  shardExplain,
  shardMove,
  quarantineList,
  quarantineRelease,
  requestLookup,
  requestExplain,
  configValidate,
  configShow,
  tokenCreate,
  createCompletion(() => COMMANDS),
];
