#!/usr/bin/env node
/** `router run` alone, as its bundle starts it: what only other commands need is not loaded, since start-up is dear. */
import { routerRun } from '../commands/router-run.js';
import { runDaemonProgram } from './daemon-program.js';

await runDaemonProgram(routerRun);
