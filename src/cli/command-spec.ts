/** The specification of a subcommand: name, arguments, options and implementation. */
import type { CliIo } from './cli-io.js';
import type { ExitCode } from './exit-codes.js';
import type { ParsedOptions } from './parsed-options.js';

/** An option such as `--zone <name>`. */
export interface OptionSpec {
  /** The name without dashes. */
  readonly name: string;
  /** Placeholder of the value in help; omitted for a switch. */
  readonly value?: string;
  readonly summary: string;
  /** A switch that is on unless `--no-<name>` is given. */
  readonly onByDefault?: boolean;
}

/** One invocation of a subcommand. */
export interface Invocation {
  /** Positional arguments in order; optional ones may be absent. */
  readonly positionals: readonly string[];
  readonly options: ParsedOptions;
  readonly io: CliIo;
}

/** A subcommand. */
export interface CommandSpec {
  /** All words of the command, e.g. `service apply`. */
  readonly name: string;
  /** In help notation: `<file>` is required, `[name]` optional, `<...files>` one or more. */
  readonly arguments?: string;
  readonly summary: string;
  readonly options: readonly OptionSpec[];
  /** Example command lines, without the program's name. */
  readonly examples?: readonly string[];
  readonly run: (invocation: Invocation) => Promise<ExitCode>;
}
