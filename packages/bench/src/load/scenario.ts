/** Scenarios: INI files that state sizes, load, seed and faults of a run. */
import {readdirSync, readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

import {MustardferryError} from '@mustardferry/model';
import {parse} from 'ini';
import {z} from 'zod';

import type {User} from './mixes.js';

/** A scenario file can't be used. */
export class ScenarioError extends MustardferryError {
  readonly code = 'invalid-scenario';
}

const FOLDER = fileURLToPath(new URL('../../scenarios/', import.meta.url));

const ACTIONS = [
  'straggle',
  'fail',
  'freeze',
  'vanish',
  'leave',
  'restart-worker',
  'kill',
  'stop',
  'rolling-restart',
  'cut',
  'cut-one-way',
  'heal',
  'silence',
] as const;

/** What happens to whom at which time of the run. */
export interface FaultStep {
  readonly atS: number;
  readonly action: (typeof ACTIONS)[number];
  /** Workers or instances hit, or the two places of a link. */
  readonly targets: readonly string[];
  /** Number of workers or instances hit where `targets` is empty. */
  readonly count: number;
  /** Factor of `straggle`; seconds of downtime of `kill` and `stop`. */
  readonly amount: number;
}

function parseStep(text: string, ctx: z.RefinementCtx): FaultStep {
  const [atS, action, target = '', amount = '1'] = text
    .split(',')
    .map(part => part.trim());
  const known = ACTIONS.find(name => name === action);
  if (known === undefined || !(Number(atS) >= 0) || !(Number(amount) >= 0)) {
    ctx.addIssue({
      code: 'custom',
      message: `want "AT_S, ACTION, TARGET, AMOUNT" with an action of ${ACTIONS.join(', ')}`,
    });
    return z.NEVER;
  }
  const counted = /^\d*$/.test(target);
  return {
    atS: Number(atS),
    action: known,
    targets: counted ? [] : target.split(/\s+/),
    count: counted ? Number(target || 1) : 0,
    amount: Number(amount),
  };
}

const positive = z.coerce.number().positive();
const part = z.coerce.number().min(0).max(1).default(0);

const SCHEMA = z
  .object({
    run: z
      .object({
        title: z.string(),
        seed: z.coerce.number().int(),
        duration_s: positive,
        /** Time after the last arrival in which answers are awaited. */
        settle_s: positive.default(20),
        /** Multiplies run times and divides the rate of arrivals. */
        time_scale: positive.default(1),
        judge_timings: z.enum(['yes', 'no']).default('yes'),
      })
      .strict(),
    deployment: z
      .object({
        data_centres: z.coerce.number().int().min(1).default(3),
        instances: z.coerce.number().int().min(1).default(6),
        workers: z.coerce.number().int().min(1).default(30),
        slots: z.coerce.number().int().min(1).default(8),
        between_ms: z.coerce.number().min(0).default(0.5),
        client_ms: z.coerce.number().min(0).default(3),
        /** Whether links inside a data centre pass the relay as well. */
        relay_inside: z.enum(['yes', 'no']).default('no'),
      })
      .strict()
      .default({}),
    load: z
      .object({
        users: z
          .enum(['both', 'coop', 'scheduler'])
          .default('both')
          .transform((user): User[] =>
            user === 'both' ? ['coop', 'scheduler'] : [user],
          ),
        /** Part of the workers' capacity that arrivals need. */
        fraction: positive,
        burst_factor: positive.default(1),
        burst_from_s: z.coerce.number().default(0),
        burst_to_s: z.coerce.number().default(0),
        tasks_per_job: positive.default(4),
        long_part: part.default(0.03),
        resubmit_part: part,
        cancel_part: part,
        cancel_from_s: z.coerce.number().default(0),
        cancel_to_s: z.coerce.number().default(1e9),
      })
      .strict(),
    faults: z.record(z.string().transform(parseStep)).default({}),
  })
  .strict();

/** A scenario as loaded. */
export type Scenario = z.infer<typeof SCHEMA> & {readonly name: string};

/**
 * Parses a scenario.
 *
 * @throws ScenarioError listing every problem by section and key.
 */
export function parseScenario(name: string, text: string): Scenario {
  const parsed = SCHEMA.safeParse(parse(text));
  if (parsed.success) return {name, ...parsed.data};
  const problems = parsed.error.issues.map(
    issue => `${issue.path.join('.')}: ${issue.message}`,
  );
  throw new ScenarioError(`scenario ${name}: ${problems.join('; ')}`);
}

/** Loads one of the files in packages/bench/scenarios. */
export function loadScenario(name: string): Scenario {
  if (!listScenarios().includes(name)) {
    throw new ScenarioError(
      `no scenario ${name}; there are ${listScenarios().join(', ')}`,
    );
  }
  return parseScenario(name, readFileSync(`${FOLDER}${name}.ini`, 'utf8'));
}

/** Names of all scenarios, sorted. */
export function listScenarios(): string[] {
  return readdirSync(FOLDER)
    .filter(file => file.endsWith('.ini'))
    .map(file => file.slice(0, -'.ini'.length))
    .sort();
}
