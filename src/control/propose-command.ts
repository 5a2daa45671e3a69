/** The interface through which the parts of a control member put commands into the log. */
import type { Command } from '../registry/types.js';
import type { SettleProposal } from './pending-proposals.js';

/** The author of a command, for the audit log and the deduplication table; the system's own commands have no request id. */
export interface CommandOrigin {
  readonly actor: string;
  readonly requestId: string | null;
}

/** Puts a command into the log; `settle` receives its outcome. */
export type ProposeCommand = (command: Command, settle: SettleProposal, origin?: CommandOrigin) => void;

/** Origin of the system's own commands. */
export const SYSTEM_ORIGIN: CommandOrigin = { actor: 'system', requestId: null };
