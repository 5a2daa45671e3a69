/** Interface of the `command` that each file of this folder exports; `dev-cli.ts` loads every such file. */
import type { CAC } from 'cac';

/** One command of `ternmount-dev`. */
export interface DevCommand {
  /** Adds the command, its options and its action. */
  register(cli: CAC): void;
}
