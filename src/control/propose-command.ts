/** How the parts of a control member put commands into the log. */
import type { Command } from '../registry/types.js';
import type { SettleProposal } from './pending-proposals.js';

/** Who asks, for the audit log and the dedup table; the system's own commands have no request id. */
export interface CommandOrigin {
  readonly actor: string;
  readonly requestId: string | null;
}

/** Puts a command into the log; `settle` is told what became of it. */
export type ProposeCommand = (command: Command, settle: SettleProposal, origin?: CommandOrigin) => void;

/** Origin of the system's own commands. */
export const SYSTEM_ORIGIN: CommandOrigin = { actor: 'system', requestId: null };
