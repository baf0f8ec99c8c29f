/** Answers of one team: form of the file, its keys and their parsed values. */
import {type Urgency} from '@mustardferry/model';
import {z} from 'zod';

import {
  decimalField,
  integerField,
  nameField,
  wordField,
  yesNoField,
} from '../fields.js';
import {type IniDocument, parseIni} from '../ini_text.js';
import {AnswersError, type ConfigProblem} from '../problems.js';
import {problemsOfIssues} from '../zod_problems.js';

/** Largest answers file in bytes; the audit trail keeps each version. */
export const MAX_ANSWERS_BYTES = 65_536;

/** What a team prefers when response time and few messages conflict. */
export type Preference = 'response-time' | 'few-messages';

const URGENCIES = [
  'urgent',
  'normal',
  'background',
] as const satisfies readonly Urgency[];

/** Keys of the `[team]` section. */
export const TEAM_SCHEMA = z.strictObject({
  name: nameField.describe('Name of the team'),
  share_percent: decimalField(0, 100).describe(
    'Share of scarce capacity; at most 100 over all teams',
  ),
  quota_slots: integerField(1, 10_000_000).describe(
    'Most slots in use at once, per data centre',
  ),
  quota_processors: decimalField(0, 10_000_000).describe(
    'Most processors in use at once, per data centre',
  ),
  quota_memory_mb: integerField(1, 1_000_000_000_000).describe(
    'Most memory in use at once in MiB, per data centre',
  ),
  quota_accelerators: integerField(0, 10_000_000)
    .default('0')
    .describe('Most accelerators in use at once, per data centre'),
  prefer: wordField(['response-time', 'few-messages']).describe(
    'What counts more when the two conflict',
  ),
  retry_budget_percent: decimalField(-1, 100)
    .pipe(z.number().min(0, 'must be at least 0'))
    .default('3')
    .describe('Retries and hedges allowed per 100 first starts'),
});

/** Keys of a `[kind NAME]` section. */
export const KIND_SCHEMA = z.strictObject({
  urgency: wordField(URGENCIES).describe('Urgent kinds go first in a team'),
  must_never_repeat: yesNoField.describe('Whether a task runs at most once'),
  target_ms: integerField(1, 3_600_000)
    .optional()
    .describe('Response-time target; required for urgent kinds'),
  expected_run_ms: integerField(1, 3_600_000).describe(
    'Usual run time of one task',
  ),
  slots: integerField(1, 10_000).default('1').describe('Slots of one task'),
  processors: decimalField(0, 10_000)
    .default('1')
    .describe('Processors of one task'),
  memory_mb: integerField(1, 100_000_000).describe('Memory of one task in MiB'),
  accelerators: integerField(0, 10_000)
    .default('0')
    .describe('Accelerators of one task'),
  queue_limit: integerField(1, 10_000_000)
    .default('10000')
    .describe('Most tasks of this kind waiting at one instance'),
  hedging: yesNoField
    .optional()
    .describe('Whether a late task may be started a second time'),
});

/** Answers about one kind of request. */
export type KindAnswers = z.output<typeof KIND_SCHEMA> & {
  readonly kind: string;
};

/** Answers of one team. */
export interface TeamAnswers {
  readonly team: z.output<typeof TEAM_SCHEMA>;
  /** In file order. */
  readonly kinds: readonly KindAnswers[];
}

const KIND_SECTION = /^kind\s+(\S+)$/;

function fileProblem(file: string, reason: string): AnswersError {
  return new AnswersError([{file, section: '', key: '', reason}]);
}

/** Decodes the bytes of an answers file and checks that it is whole. */
function decodeAnswers(input: string | Uint8Array, file: string): string {
  const bytes = typeof input === 'string' ? Buffer.from(input) : input;
  if (bytes.byteLength > MAX_ANSWERS_BYTES) {
    throw fileProblem(
      file,
      `is oversized: ${bytes.byteLength} bytes, at most ${MAX_ANSWERS_BYTES}`,
    );
  }
  let text: string;
  try {
    text = new TextDecoder('utf-8', {fatal: true}).decode(bytes);
  } catch {
    throw fileProblem(file, 'has the wrong encoding: not UTF-8');
  }
  // Replacement characters are left by an earlier decoding of other encodings,
  // and NUL characters by UTF-16 text without a byte order mark.
  if (/[\uFFFD\0]/.test(text)) {
    throw fileProblem(file, 'has the wrong encoding: not UTF-8');
  }
  if (text.trim() === '') throw fileProblem(file, 'is empty');
  if (!/[\r\n]$/.test(text)) {
    throw fileProblem(
      file,
      'is truncated: the last line has no line end; complete the file and end it with a line end',
    );
  }
  return text;
}

function schemaProblems(
  file: string,
  section: string,
  error: z.ZodError,
  schema: z.AnyZodObject,
): readonly ConfigProblem[] {
  const issues = error.issues.map(issue => ({
    ...issue,
    path: [section, ...issue.path],
  }));
  const keys = Object.keys(schema.shape);
  return problemsOfIssues(file, issues, {
    sections: [],
    keysOf: () => keys,
  }).map(problem =>
    problem.key === 'target_ms' || problem.reason !== 'is required'
      ? problem
      : {...problem, reason: 'is required; the answer is missing'},
  );
}

function kindProblems(
  file: string,
  section: string,
  kind: KindAnswers,
): readonly ConfigProblem[] {
  const problems: ConfigProblem[] = [];
  if (kind.urgency === 'urgent' && kind.target_ms === undefined) {
    const reason = 'is required: an urgent kind needs a target';
    problems.push({file, section, key: 'target_ms', reason});
  }
  if (kind.must_never_repeat && kind.hedging === true) {
    const reason = 'contradicts must_never_repeat = yes: a hedge is a repeat';
    problems.push({file, section, key: 'hedging', reason});
  }
  // The policy has no per-kind switch, and an answer without effect misleads.
  if (!kind.must_never_repeat && kind.hedging === false) {
    const reason =
      'is not supported for a repeatable kind; use prefer = few-messages or retry_budget_percent = 0 for the team';
    problems.push({file, section, key: 'hedging', reason});
  }
  return problems;
}

interface Collected {
  team: TeamAnswers['team'] | undefined;
  readonly kinds: KindAnswers[];
  readonly problems: ConfigProblem[];
}

function readKind(
  file: string,
  section: IniDocument['sections'][number],
  name: string,
  into: Collected,
): void {
  const checkedName = nameField.safeParse(name);
  if (!checkedName.success) {
    const reason = checkedName.error.issues[0]?.message ?? 'invalid name';
    into.problems.push({file, section: section.name, key: '', reason});
  }
  const parsed = KIND_SCHEMA.safeParse(Object.fromEntries(section.values));
  if (parsed.success) {
    const kind = {kind: name, ...parsed.data};
    into.problems.push(...kindProblems(file, section.name, kind));
    if (into.kinds.some(other => other.kind === name)) {
      const reason = `the kind "${name}" is declared twice`;
      into.problems.push({file, section: section.name, key: '', reason});
    }
    into.kinds.push(kind);
  } else {
    into.problems.push(
      ...schemaProblems(file, section.name, parsed.error, KIND_SCHEMA),
    );
  }
}

function readSections(file: string, document: IniDocument): Collected {
  const into: Collected = {
    team: undefined,
    kinds: [],
    problems: [...document.problems],
  };
  for (const section of document.sections) {
    const kind = KIND_SECTION.exec(section.name)?.[1];
    if (section.name === 'team') {
      const parsed = TEAM_SCHEMA.safeParse(Object.fromEntries(section.values));
      if (parsed.success) into.team = parsed.data;
      else {
        into.problems.push(
          ...schemaProblems(file, 'team', parsed.error, TEAM_SCHEMA),
        );
      }
    } else if (kind !== undefined) {
      readKind(file, section, kind, into);
    } else {
      const reason = `unknown section "${section.name}"; did you mean "${/^k/i.test(section.name) ? 'kind NAME' : 'team'}"?`;
      into.problems.push({file, section: section.name, key: '', reason});
    }
  }
  return into;
}

/**
 * Parses an answers file, given as text or as the bytes that were received.
 *
 * @throws AnswersError with every problem found.
 */
export function parseAnswers(
  input: string | Uint8Array,
  file: string,
): TeamAnswers {
  const document = parseIni(decodeAnswers(input, file), file);
  const {team, kinds, problems} = readSections(file, document);
  const has = (pattern: RegExp) =>
    document.sections.some(section => pattern.test(section.name));
  if (!has(/^team$/)) {
    problems.push({file, section: 'team', key: '', reason: 'is missing'});
  }
  if (!has(KIND_SECTION)) {
    const reason = 'is missing: a team needs at least one kind';
    problems.push({file, section: 'kind NAME', key: '', reason});
  }
  if (team === undefined || problems.length > 0) {
    throw new AnswersError(problems);
  }
  return {team, kinds};
}
