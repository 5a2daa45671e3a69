/**
 * Reads mocha's JSON reports and KNOWN-RED.txt and gives the verdict of the tests: prints each failure, passes over
 * those that KNOWN-RED.txt lists, and ends with `N passed, N failed`. Exits with 1 if a failure isn't listed or a line of
 * KNOWN-RED.txt is wrong.
 *
 * A line of KNOWN-RED.txt reads `full title of a test | what is known, in one field or more | number of its issue`. In place of the
 * title it may have the folder of a case, `review/N`, which isn't a test and is only printed.
 */
import { existsSync, readFileSync } from 'node:fs';

const ROOT = new URL('../', import.meta.url);
const KNOWN_RED = new URL('KNOWN-RED.txt', ROOT);
const LEAST_FIELDS = 3;
const CASE_FOLDER = /^review\/\d+$/;
const ISSUE_NUMBER = /^\d+$/;

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

function parseEntry(line) {
  const fields = line.split('|').map((field) => field.trim());
  const [subject] = fields;
  return { line, fields, subject, isCase: CASE_FOLDER.test(subject) };
}

/** Returns what is wrong with an entry, or `null`. */
function problemOf({ fields, subject, isCase }, titles) {
  if (fields.length < LEAST_FIELDS) {
    return `it has ${fields.length} fields, and needs ${LEAST_FIELDS}`;
  }
  if (fields.includes('')) {
    return 'a field is empty';
  }
  if (!ISSUE_NUMBER.test(fields.at(-1))) {
    return `its last field isn't an issue's number: ${fields.at(-1)}`;
  }
  if (isCase) {
    const hasClaim = existsSync(new URL(`${subject}/claim.txt`, ROOT));
    return hasClaim ? null : `there is no ${subject}/claim.txt`;
  }
  return titles.has(subject)
    ? null
    : 'its first field is neither the title of a test of this run nor a folder review/N';
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
  const titles = new Set(reports.flatMap(({ tests }) => tests.map(({ fullTitle }) => fullTitle)));
  const entries = knownRed.map(parseEntry);
  const wrongEntries = entries.filter((entry) => problemOf(entry, titles) !== null);
  const rightEntries = entries.filter((entry) => !wrongEntries.includes(entry));
  const listed = new Set(rightEntries.filter(({ isCase }) => !isCase).map(({ subject }) => subject));
  const failures = allFailures.filter((failure) => !listed.has(failure.fullTitle));
  for (const failure of failures) {
    printFailure(failure);
  }
  for (const { line, subject, isCase } of rightEntries) {
    const isRed = allFailures.some((failure) => failure.fullTitle === subject);
    const state = isCase ? 'not run here' : isRed ? 'failed' : 'passed this time';
    console.log(`known red, ${state}: ${line}`);
  }
  for (const entry of wrongEntries) {
    console.log(`wrong line in KNOWN-RED.txt, ${problemOf(entry, titles)}: ${entry.line}`);
  }
  const failed = failures.length + wrongEntries.length;
  console.log(`${passes} passed, ${failed} failed`);
  return failed === 0 ? 0 : 1;
}

process.exitCode = main();
