/** Problems found in settings and answers files, and the errors that list them. */
import {MustardferryError} from '@mustardferry/model';
import {closest, distance} from 'fastest-levenshtein';

/** One reason for which a file is refused. */
export interface ConfigProblem {
  readonly file: string;
  /** Section name without brackets; empty when the whole file is concerned. */
  readonly section: string;
  /** Empty when a whole section or file is concerned. */
  readonly key: string;
  readonly reason: string;
}

/** Writes a problem as `file: [section] key: reason`. */
export function formatProblem(problem: ConfigProblem): string {
  const section = problem.section === '' ? '' : ` [${problem.section}]`;
  const key = problem.key === '' ? '' : ` ${problem.key}`;
  return `${problem.file}:${section}${key}${section + key === '' ? ' ' : ': '}${problem.reason}`;
}

/** A file was refused; `problems` lists every reason, in file order. */
export abstract class ConfigError extends MustardferryError {
  readonly problems: readonly ConfigProblem[];

  constructor(
    problems: readonly ConfigProblem[],
    options?: {readonly cause?: unknown},
  ) {
    super(problems.map(formatProblem).join('\n'), options);
    this.problems = problems;
  }
}

/** A settings file is invalid or can't be read. */
export class SettingsError extends ConfigError {
  readonly code = 'settings-invalid';
}

/** An answers file is invalid or contradicts the answers of other teams. */
export class AnswersError extends ConfigError {
  readonly code = 'answers-invalid';
}

/** The valid name closest to `name` by edit distance, or undefined. */
export function nearestName(
  name: string,
  valid: readonly string[],
): string | undefined {
  if (valid.length === 0) return undefined;
  const best = closest(name, valid);
  // A suggestion that shares less than half of the characters of the name misleads.
  const limit = Math.max(name.length, best.length) / 2;
  return distance(name, best) <= limit ? best : undefined;
}

/** Reason text for an unknown name, with the nearest valid one. */
export function unknownNameReason(
  what: string,
  name: string,
  valid: readonly string[],
): string {
  const nearest = nearestName(name, valid);
  const hint =
    nearest === undefined
      ? `valid: ${valid.join(', ')}`
      : `did you mean "${nearest}"?`;
  return `unknown ${what} "${name}"; ${hint}`;
}
