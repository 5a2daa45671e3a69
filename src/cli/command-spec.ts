/** What a subcommand is: its words, arguments and options, and what it does. */
import type { CliIo } from './cli-io.js';
import type { ExitCode } from './exit-codes.js';
import type { ParsedOptions } from './parsed-options.js';

/** An option such as `--zone <name>`. */
export interface OptionSpec {
  /** Without the dashes. */
  readonly name: string;
  /** What the value is called in help; left out for a switch. */
  readonly value?: string;
  readonly summary: string;
  /** A switch that is on unless `--no-<name>` is given. */
  readonly onByDefault?: boolean;
}

/** One run of a subcommand. */
export interface Invocation {
  /** Positional arguments in order; optional ones may be missing. */
  readonly positionals: readonly string[];
  readonly options: ParsedOptions;
  readonly io: CliIo;
}

/** A subcommand. */
export interface CommandSpec {
  /** E.g. `service apply`. */
  readonly name: string;
  /** As in help: `<file>` needed, `[name]` optional, `<...files>` one or more. */
  readonly arguments?: string;
  readonly summary: string;
  readonly options: readonly OptionSpec[];
  /** Each without the program's name. */
  readonly examples?: readonly string[];
  readonly run: (invocation: Invocation) => Promise<ExitCode>;
}
