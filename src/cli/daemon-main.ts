#!/usr/bin/env node
/**
 * The daemons alone, as bundles start them: `control run` and `router run` with the words and settings of `ternmount`. What
 * only other commands need is not loaded, since start-up is dear on small machines.
 */
import { finishLogs } from '../logging/logger.js';
import { processIo } from './cli-io.js';
import { controlRun } from './commands/control-run.js';
import { routerRun } from './commands/router-run.js';
import { runCommandLine } from './run-command-line.js';

process.exitCode = await runCommandLine(process.argv.slice(2), processIo(), [controlRun, routerRun]);
await finishLogs();
// Idle connections of libraries must not keep the process.
process.exit();
