/** Conversion of zod issues to problems that name section and key. */
import type {ZodIssue} from 'zod';

import type {ConfigProblem} from './problems.js';
import {unknownNameReason} from './problems.js';

/** Valid names, for the suggestions at unknown ones. */
export interface ValidNames {
  readonly sections: readonly string[];
  keysOf(section: string): readonly string[];
}

function unknownNames(
  file: string,
  issue: ZodIssue & {code: 'unrecognized_keys'},
  names: ValidNames,
): readonly ConfigProblem[] {
  const section = String(issue.path[0] ?? '');
  return issue.keys.map(name =>
    section === ''
      ? {
          file,
          section: name,
          key: '',
          reason: unknownNameReason('section', name, names.sections),
        }
      : {
          file,
          section,
          key: name,
          reason: unknownNameReason('key', name, names.keysOf(section)),
        },
  );
}

/** Converts the issues of a document parsed as section -> key -> text. */
export function problemsOfIssues(
  file: string,
  issues: readonly ZodIssue[],
  names: ValidNames,
): readonly ConfigProblem[] {
  return issues.flatMap(issue => {
    if (issue.code === 'unrecognized_keys') {
      return unknownNames(file, issue, names);
    }
    const [section = '', key = ''] = issue.path.map(String);
    const missing =
      issue.code === 'invalid_type' && issue.received === 'undefined';
    const reason = missing ? 'is required' : issue.message;
    return [{file, section, key, reason}];
  });
}
