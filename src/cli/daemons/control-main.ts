#!/usr/bin/env node
/** Entry point of the control bundle: runs `control run` without loading the other commands, for a fast start. */
import { controlRun } from '../commands/control-run.js';
import { earlySignals } from '../early-signals.js';
import { runProgram } from '../program.js';

await runProgram([controlRun], earlySignals);
