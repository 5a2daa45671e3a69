#!/usr/bin/env node
/** `ternmount`: runs one subcommand and exits with its exit code. */
import { flushLogs } from '../logging/logger.js';
import { processIo } from './cli-io.js';
import { COMMANDS } from './command-list.js';
import { runCommandLine } from './run-command-line.js';

process.exitCode = await runCommandLine(process.argv.slice(2), processIo(), COMMANDS);
await flushLogs();
// Idle connections of libraries must not keep the process alive.
process.exit();
