/**
 * Rules that turn a mocha JSON report and the list of known failures into
 * counts. KNOWN-RED.txt holds entries of `test:`, `command:`, `seen:` and
 * `issue:`, in this order; indented lines continue the line before them.
 */

/**
 * @typedef {{test: string, command: string, seen: string, issue: string}} KnownRed
 * @typedef {{fullTitle: string, err?: {message?: string, stack?: string}}} ReportedTest
 * @typedef {object} MochaReport
 * @property {readonly ReportedTest[]} passes
 * @property {readonly ReportedTest[]} failures
 * @property {readonly ReportedTest[]} pending
 * @typedef {{passed: number, failed: number, lines: readonly string[]}} Verdict
 */

const KEYS = /** @type {const} */ (['test', 'command', 'seen', 'issue']);

/**
 * Cases that a bench, the soak or the demo judges; they never occur in a mocha
 * report.
 */
const BENCH_COMMAND = /^npm run (bench(:[a-z]+)?|soak|demo)( |$)/;

/** The list can't be understood, so no failure may be passed over. */
export class KnownRedFormatError extends Error {}

/**
 * Reads the list of known failures.
 *
 * @param {string} text
 * @returns {readonly KnownRed[]}
 * @throws {KnownRedFormatError} naming the line, when an entry is malformed.
 */
export function parseKnownRed(text) {
  /** @type {string[][]} */
  const entries = [];
  for (const [index, line] of text.split('\n').entries()) {
    if (line.trim() === '') continue;
    const values = entries.at(-1);
    const complete = values === undefined || values.length === KEYS.length;
    if (/^\s/.test(line) && values !== undefined) {
      values.push(`${values.pop()} ${line.trim()}`);
      continue;
    }
    const key = KEYS[complete ? 0 : values.length] ?? KEYS[0];
    if (!line.startsWith(`${key}: `)) {
      throw new KnownRedFormatError(
        `KNOWN-RED.txt line ${index + 1}: "${key}: ..." expected`,
      );
    }
    const value = line.slice(key.length + 2).trim();
    if (complete) entries.push([value]);
    else values.push(value);
  }
  return entries.map(values => {
    const [test, command, seen, issue] = values;
    if (!test || !command || !seen || !issue) {
      throw new KnownRedFormatError(
        `KNOWN-RED.txt: the entry "${test}" is incomplete`,
      );
    }
    return {test, command, seen, issue};
  });
}

/** @param {KnownRed} entry */
function describe(entry) {
  return KEYS.map(key => `  ${key}: ${entry[key]}`).join('\n');
}

/** @param {ReportedTest} test */
function failureOf({fullTitle, err}) {
  return `FAILED ${fullTitle}\n${err?.stack ?? err?.message ?? ''}`;
}

/**
 * Judges one entry against the titles that ran.
 *
 * @param {KnownRed} entry
 * @param {ReadonlySet<string>} red
 * @param {ReadonlySet<string>} green
 * @returns {{failed: number, line: string}}
 */
function judgeEntry(entry, red, green) {
  if (red.has(entry.test) && !green.has(entry.test)) {
    return {failed: 0, line: `KNOWN RED, passed over\n${describe(entry)}`};
  }
  if (green.has(entry.test)) {
    const advice = 'passes: remove its entry from KNOWN-RED.txt';
    return {failed: 1, line: `FAILED ${entry.test} ${advice}`};
  }
  if (BENCH_COMMAND.test(entry.command)) {
    return {failed: 0, line: `KNOWN RED, not run here\n${describe(entry)}`};
  }
  const advice = 'did not run: correct or remove its entry in KNOWN-RED.txt';
  return {failed: 1, line: `FAILED ${entry.test} ${advice}`};
}

/**
 * Counts a report. Listed failures count as neither passed nor failed; a listed
 * test that passes or did not run, and a skipped test, count as failures.
 *
 * @param {MochaReport} report
 * @param {readonly KnownRed[]} known
 * @param {number} exitCode Exit code of mocha.
 * @returns {Verdict}
 */
export function judgeReport(report, known, exitCode) {
  const listed = new Set(known.map(entry => entry.test));
  const red = new Set(report.failures.map(test => test.fullTitle));
  const green = new Set(report.passes.map(test => test.fullTitle));
  const failures = report.failures.filter(
    test => !listed.has(test.fullTitle) || green.has(test.fullTitle),
  );
  const entries = known.map(entry => judgeEntry(entry, red, green));
  const lines = [
    ...failures.map(failureOf),
    ...report.pending.map(test => `FAILED ${test.fullTitle} was skipped`),
    ...entries.map(entry => entry.line),
  ];
  let failed =
    failures.length +
    report.pending.length +
    entries.reduce((sum, entry) => sum + entry.failed, 0);
  // A runner that found no test, or died after its report, is no success.
  if (report.passes.length + report.failures.length === 0) {
    lines.push('FAILED no test ran');
    failed += 1;
  } else if (exitCode !== 0 && report.failures.length === 0) {
    lines.push(`FAILED mocha ended with exit code ${exitCode}`);
    failed += 1;
  }
  return {passed: report.passes.length, failed, lines};
}
