/**
 * Reads mocha's JSON reports and KNOWN-RED.txt and gives the verdict of the tests: prints each failure, passes over
 * those that KNOWN-RED.txt lists, and ends with `N passed, N failed`. Exits with 1 if a failure isn't listed.
 *
 * A line of KNOWN-RED.txt reads `full title of the test | cause | issue`. Three lines at most.
 */
import { existsSync, readFileSync } from 'node:fs';

const KNOWN_RED = new URL('../KNOWN-RED.txt', import.meta.url);
const MOST_KNOWN_RED = 3;

function readKnownRed() {
  if (!existsSync(KNOWN_RED)) {
    return [];
  }
  const lines = readFileSync(KNOWN_RED, 'utf8').split('\n');
  return lines.map((line) => line.trim()).filter((line) => line !== '');
}

function readReport(path) {
  try {
    return JSON.parse(readFileSync(path, 'utf8'));
  } catch (error) {
    console.log(`no report of the tests: ${error.message}`);
    return null;
  }
}

function printFailure(failure) {
  console.log(`failed: ${failure.fullTitle}`);
  console.log(`  ${failure.err.stack ?? failure.err.message}`);
}

function isWhole(report) {
  return report !== null && report.stats.tests > 0;
}

function main() {
  const knownRed = readKnownRed();
  const reports = process.argv.slice(2).map(readReport);
  if (reports.length === 0 || !reports.every(isWhole)) {
    console.log('0 passed, 1 failed');
    return 1;
  }
  const passes = reports.reduce((sum, { stats }) => sum + stats.passes, 0);
  const allFailures = reports.flatMap(({ failures }) => failures);
  if (knownRed.length > MOST_KNOWN_RED) {
    console.log(`KNOWN-RED.txt has ${knownRed.length} lines; ${MOST_KNOWN_RED} are allowed`);
    console.log(`${passes} passed, 1 failed`);
    return 1;
  }
  const titleOf = (line) => line.split('|')[0].trim();
  const listed = new Set(knownRed.map(titleOf));
  const failures = allFailures.filter((failure) => !listed.has(failure.fullTitle));
  for (const failure of failures) {
    printFailure(failure);
  }
  for (const line of knownRed) {
    const red = allFailures.some((failure) => failure.fullTitle === titleOf(line));
    console.log(`known red, ${red ? 'failed' : 'passed this time'}: ${line}`);
  }
  console.log(`${passes} passed, ${failures.length} failed`);
  return failures.length === 0 ? 0 : 1;
}

process.exitCode = main();
