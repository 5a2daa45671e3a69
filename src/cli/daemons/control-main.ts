#!/usr/bin/env node
/** Entry point of the control bundle: runs `control run` without loading the other commands, for a fast start. */
import { controlRun } from '../commands/control-run.js';
import { runDaemonProgram } from './daemon-program.js';

await runDaemonProgram(controlRun);
