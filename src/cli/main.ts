#!/usr/bin/env node
/** `ternmount`: runs one subcommand and exits with its exit code. The rest is loaded once signals are listened for. */
import { earlySignals } from './early-signals.js';

const { runProgram } = await import('./program.js');
const { COMMANDS } = await import('./command-list.js');
await runProgram(COMMANDS, earlySignals);
