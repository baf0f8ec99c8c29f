/** Schema of the settings file: sections, keys, defaults and descriptions. */
import {isAbsolute} from 'node:path';

import {z} from 'zod';

import {integerField, listField, nameField, wordField} from '../fields.js';
import {parseIpAddress} from './addresses.js';

const DAY_MS = 86_400_000;
const HOUR_MS = 3_600_000;
const MINUTE_MS = 60_000;

const addressField = z
  .string()
  .refine(
    text => parseIpAddress(text) !== undefined,
    'must be IP:PORT; host names are not resolved',
  );

const tokensField = listField
  .pipe(
    z.array(
      z
        .string()
        .regex(
          /^[A-Za-z0-9._~+/=-]{1,256}$/,
          'must consist of letters, digits and . _ ~ + / = -',
        ),
    ),
  )
  .default('');

/** One listed instance: `IP:PORT, DATA_CENTRE, disk|no-disk`. */
const instanceField = z.string().transform((text, context) => {
  const [address = '', dataCentre = '', disk = '', ...rest] = text
    .split(',')
    .map(part => part.trim());
  const reject = (message: string) =>
    context.addIssue({code: z.ZodIssueCode.custom, message});
  const parsed = parseIpAddress(address);
  if (parsed === undefined || parsed.port === 0 || rest.length > 0) {
    reject('must be "IP:PORT, DATA_CENTRE, disk|no-disk", with a port above 0');
  } else if (!nameField.safeParse(dataCentre).success) {
    reject(`"${dataCentre}" is not a valid data centre name`);
  } else if (disk !== 'disk' && disk !== 'no-disk') {
    reject(`"${disk}" must be disk or no-disk`);
  }
  return {address, dataCentre, disk: disk === 'disk'};
});

/** Sections with a fixed set of keys. */
export const FIXED_SECTIONS = {
  instance: z.strictObject({
    name: nameField.describe('Name of this instance, as listed in [instances]'),
    data_centre: nameField.describe('Data centre of this instance'),
    listen: addressField.describe('IP:PORT to listen on; port 0 picks one'),
    data_folder: z
      .string()
      .refine(
        path => path === '' || isAbsolute(path),
        'must be an absolute path',
      )
      .default('')
      .describe('Absolute path on a disk; empty for an instance without one'),
  }),
  control: z.strictObject({
    voters: listField
      .pipe(z.array(nameField).min(1, 'must name at least one instance'))
      .describe('Comma-separated names of the control voters'),
  }),
  records: z.strictObject({
    groups: integerField(1, 64)
      .default('2')
      .describe('Record groups per data centre; the same on all instances'),
    retention_ms: integerField(MINUTE_MS, 30 * DAY_MS)
      .default(String(DAY_MS))
      .describe('Time that a finished submission is recognized'),
  }),
  timing: z.strictObject({
    heartbeat_ms: integerField(10, 10_000)
      .default('200')
      .describe('Interval between heartbeats of a leader'),
    election_timeout_ms: integerField(50, 60_000)
      .default('800')
      .describe('Silence of a leader after which an election starts'),
    task_lease_ms: integerField(100, 600_000)
      .default('3000')
      .describe('Time that a task may run without a lease renewal'),
    upstream_renewal_ms: integerField(50, 3_000)
      .default('1000')
      .describe('Interval at which upstreams renew their announcement'),
    upstream_expiry_ms: integerField(100, 3_000)
      .default('2500')
      .describe('Silence after which an upstream gets no new work'),
    drain_timeout_ms: integerField(0, HOUR_MS)
      .default('30000')
      .describe('Time that a planned stop waits for running jobs'),
  }),
  limits: z.strictObject({
    max_body_bytes: integerField(1_024, 67_108_864)
      .default('1048576')
      .describe('Largest request body'),
    max_header_bytes: integerField(1_024, 1_048_576)
      .default('16384')
      .describe('Largest total of the request headers'),
    max_tasks_per_job: integerField(1, 10_000)
      .default('330')
      .describe('Most tasks in a job'),
    max_queued_tasks: integerField(1, 10_000_000)
      .default('100000')
      .describe('Most tasks waiting at this instance, over all teams'),
    max_connections: integerField(1, 65_535)
      .default('2000')
      .describe('Most open connections from clients, upstreams and peers'),
    max_wait_ms: integerField(0, HOUR_MS)
      .default('60000')
      .describe('Longest time that a submission holds the reply open'),
    unknown_upstream_wait_ms: integerField(0, HOUR_MS)
      .default('10000')
      .describe('Time that a job waits for an upstream that could run it'),
  }),
  policies: z.strictObject({
    routing: wordField([
      'expected-end',
      'two-choices',
      'least-outstanding',
      'random',
    ])
      .default('expected-end')
      .describe('Choice of the upstream'),
    sharing: wordField(['weighted-fair', 'first-in-first-out'])
      .default('weighted-fair')
      .describe('Choice of the next task'),
    hedging: wordField(['expected-gain', 'off'])
      .default('expected-gain')
      .describe('Second starts of repeatable tasks that take too long'),
  }),
  tokens: z.strictObject({
    clients: tokensField.describe('Bearer tokens of clients'),
    operators: tokensField.describe('Bearer tokens of operators'),
    upstreams: tokensField.describe('Bearer tokens of upstreams'),
    instances: tokensField.describe('Bearer tokens of entry instances'),
  }),
  logging: z.strictObject({
    level: wordField(['debug', 'info', 'warn', 'error', 'silent'])
      .default('info')
      .describe('Least severe level that is logged'),
  }),
  metrics: z.strictObject({
    statsd: addressField
      .or(z.literal(''))
      .default('')
      .describe('IP:PORT of a StatsD receiver; empty for none'),
  }),
} as const;

/** Schema of the whole file. `instances` takes any valid name as a key. */
export const SETTINGS_SCHEMA = z.strictObject({
  ...FIXED_SECTIONS,
  instances: z.record(nameField, instanceField),
});

/** The file's content after validation, before cross checks. */
export type SettingsFile = z.output<typeof SETTINGS_SCHEMA>;

/** Names of all sections, in the order in which they are written. */
export const SECTION_NAMES = [
  'instance',
  'instances',
  'control',
  'records',
  'timing',
  'limits',
  'policies',
  'tokens',
  'logging',
  'metrics',
] as const;

/** Description of one key, for the reference page and its test. */
export interface SettingsKey {
  readonly section: string;
  readonly key: string;
  readonly description: string;
  /** Text of the default; undefined when the key is required. */
  readonly defaultText: string | undefined;
}

/** Every key of the sections with fixed keys. */
export const SETTINGS_KEYS: readonly SettingsKey[] = Object.entries(
  FIXED_SECTIONS,
).flatMap(([section, schema]) =>
  Object.entries<z.ZodTypeAny>(schema.shape).map(([key, field]) => {
    const absent = field.safeParse(undefined);
    return {
      section,
      key,
      description: field.description ?? '',
      defaultText: absent.success ? String(absent.data) : undefined,
    };
  }),
);
