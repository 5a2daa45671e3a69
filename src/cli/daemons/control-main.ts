#!/usr/bin/env node
/** `control run` alone, as its bundle starts it: what only other commands need is not loaded, since start-up is dear. */
import { controlRun } from '../commands/control-run.js';
import { runDaemonProgram } from './daemon-program.js';

await runDaemonProgram(controlRun);
