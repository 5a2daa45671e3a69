#!/usr/bin/env node
/** Entry point of the router bundle: runs `router run` without loading the other commands, for a fast start. */
import { routerRun } from '../commands/router-run.js';
import { earlySignals } from '../early-signals.js';
import { runProgram } from '../program.js';

await runProgram([routerRun], earlySignals);
