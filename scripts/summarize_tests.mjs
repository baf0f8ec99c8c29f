/** Prints a mocha JSON report's failures and writes `passed failed` beside it. */
import {readFileSync, writeFileSync} from 'node:fs';

const path = process.argv[2];
let passed = 0;
let failed = 0;
try {
  const report = JSON.parse(readFileSync(path, 'utf8'));
  passed = report.stats.passes;
  failed = report.stats.failures;
  for (const test of report.failures) {
    console.log(
      `FAILED ${test.fullTitle}\n${test.err.stack ?? test.err.message}`,
    );
  }
} catch (err) {
  console.log(`no test report: ${err.message}`);
}
// A run without tests must not count as a success.
if (passed + failed === 0) failed = 1;
writeFileSync(`${path}.counts`, `${passed} ${failed}\n`);
