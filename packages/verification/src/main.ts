/**
 * Command line of the model checker: `npm run check:model [-- --fault NAME]`.
 * Exits with 1 on a violation, with 2 when a bound on states cut a check short.
 */
import {CHECKS} from './checks.js';
import {type Fault, FAULTS} from './faults.js';
import {formatExploration} from './report.js';

/** Runs the checks; with a fault, only those that should find it. */
function main(args: readonly string[]): number {
  const name = args[0] === '--fault' ? args[1] : undefined;
  const fault = FAULTS.find(known => known === name) ?? null;
  if (args.length > 0 && !fault) {
    console.error(`usage: check:model [-- --fault ${FAULTS.join('|')}]`);
    return 64;
  }
  return runChecks(fault);
}

function runChecks(fault: Fault | null): number {
  let exitCode = 0;
  let states = 0;
  for (const check of CHECKS) {
    if (fault && !check.finds.includes(fault)) continue;
    const result = check.run(fault);
    states += result.states;
    console.log(formatExploration(check.name, check.bounds, result));
    if (result.violation) exitCode = 1;
    else if (!result.exhaustive && exitCode === 0) exitCode = 2;
  }
  console.log(`${states} states in all`);
  return exitCode;
}

process.exitCode = main(process.argv.slice(2));
