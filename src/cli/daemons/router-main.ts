#!/usr/bin/env node
/** Entry point of the router bundle: runs `router run` without loading the other commands, for a fast start. */
import { routerRun } from '../commands/router-run.js';
import { runDaemonProgram } from './daemon-program.js';

await runDaemonProgram(routerRun);
