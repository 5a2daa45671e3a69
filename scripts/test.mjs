/**
 * Runs all tests. Those of deterministic cores use neither sockets nor real time and run in several processes. Beside them, those that start
 * processes of their own follow one another, so do soaks, and so do the others.
 *
 * Arguments go to mocha. With `--reports FOLDER` first, each part writes its report there as JSON, for `verdict.mjs`.
 */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { readdirSync } from 'node:fs';
import { join } from 'node:path';

const TESTS = 'build/test';
const CORE_FOLDERS = [
  'consensus',
  'control',
  'ledger',
  'lease',
  'placement',
  'policy',
  'registry',
  'routing',
  'sim',
];
/** Folders inside those that open sockets nevertheless. */
const SOCKET_FOLDERS = ['control/daemon'];
const CORE_PROCESSES = 3;
/** Folders of tests most of which start processes. */
const PROCESS_FOLDERS = ['contract', 'fleet', 'platform'];
/** Folders of soaks of processes, which take long and wait for most of it. */
const SOAK_FOLDERS = ['closing', 'soak'];

function isIn(file, folder) {
  return file.startsWith(`${folder}/`);
}

function isCore(file) {
  return (
    CORE_FOLDERS.some((folder) => isIn(file, folder)) && !SOCKET_FOLDERS.some((folder) => isIn(file, folder))
  );
}

function startsProcesses(file) {
  return PROCESS_FOLDERS.some((folder) => isIn(file, folder));
}

function isSoak(file) {
  return SOAK_FOLDERS.some((folder) => isIn(file, folder));
}

/** Runs mocha and returns whether all tests passed. */
async function runMocha(name, files, args, reports) {
  const paths = files.map((file) => join(TESTS, file));
  const output =
    reports === null ? [] : ['--reporter', 'json', '--reporter-option', reportOption(reports, name)];
  const words = ['node_modules/mocha/bin/mocha.js', ...output, ...args, ...paths];
  const child = spawn(process.execPath, words, { stdio: 'inherit' });
  const [code] = await once(child, 'exit');
  return code === 0;
}

function reportOption(reports, name) {
  return `output=${join(reports, `${name}.json`)}`;
}

async function main([first, second, ...more]) {
  const hasReports = first === '--reports';
  const reports = hasReports ? second : null;
  const args = hasReports ? more : [first, second, ...more].filter((word) => word !== undefined);
  const files = readdirSync(TESTS, { recursive: true })
    .filter((file) => file.endsWith('.test.js'))
    .sort();
  const cores = files.filter(isCore);
  const others = files.filter((file) => !isCore(file));
  const passed = await Promise.all([
    runMocha('cores', cores, ['--parallel', '--jobs', String(CORE_PROCESSES), ...args], reports),
    runMocha('processes', others.filter(startsProcesses), args, reports),
    runMocha('soaks', others.filter(isSoak), args, reports),
    runMocha(
      'rest',
      others.filter((file) => !startsProcesses(file) && !isSoak(file)),
      args,
      reports,
    ),
  ]);
  return passed.every(Boolean) ? 0 : 1;
}

process.exitCode = await main(process.argv.slice(2));
