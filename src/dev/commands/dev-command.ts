/** What each file of this folder exports as `command`; `main.ts` finds them by itself. */
import type { CAC } from 'cac';

/** One command of `ternmount-dev`. */
export interface DevCommand {
  /** Adds the command, its options and its action. */
  register(cli: CAC): void;
}
