/** Errors that end a command, each with its exit code. */
import {MustardferryError, type Problem} from '@mustardferry/model';

import {EXIT, type ExitCode} from './exit_codes.js';

/** Base class of the errors of the command line. */
export abstract class CliError extends MustardferryError {
  abstract readonly exitCode: ExitCode;
}

/** The command line is wrong; nothing was done. */
export class UsageError extends CliError {
  readonly code = 'usage';
  readonly exitCode = EXIT.USAGE;
}

/** A file can't be read or written. */
export class FileError extends CliError {
  readonly code = 'file';
  readonly exitCode = EXIT.FAILED;
}

/** No instance was reached and nothing was sent. */
export class UnreachableError extends CliError {
  readonly code = 'unreachable';
  readonly exitCode = EXIT.UNREACHABLE;
}

/** A request was sent, but its reply was lost on every attempt. */
export class OutcomeUnknownError extends CliError {
  readonly code = 'outcome-unknown';
  readonly exitCode = EXIT.OUTCOME_UNKNOWN;
}

/** A reply was received that does not follow the API description. */
export class ReplyError extends CliError {
  readonly code = 'invalid-reply';
  readonly exitCode = EXIT.FAILED;
}

/** An instance answered with an error body. */
export class ProblemError extends CliError {
  readonly code: string;
  readonly exitCode: ExitCode;

  constructor(readonly problem: Problem) {
    super(formatProblemBody(problem));
    this.code = problem.code;
    this.exitCode =
      problem.outcome === 'unknown' ? EXIT.OUTCOME_UNKNOWN : EXIT.FAILED;
  }
}

function formatProblemBody(problem: Problem): string {
  const lines = [
    `${problem.code}: ${problem.detail} (outcome: ${problem.outcome})`,
    ...(problem.errors ?? []).map(item => `  ${item.path}: ${item.message}`),
  ];
  if (problem.retryAfterSeconds !== undefined) {
    lines.push(`  retry after ${problem.retryAfterSeconds} s`);
  }
  return lines.join('\n');
}
