/** Schemas of request bodies. */
import type {
  LeaveRequest,
  SubmitJobRequest,
  UpstreamAnnouncement,
  UsageReport,
} from '@mustardferry/model';
import {z} from 'zod';

import {fail} from './problems.js';

const MAX_NAME_LENGTH = 128;
const MAX_DEADLINE_MS = 24 * 3_600_000;

const name = z.string().min(1).max(MAX_NAME_LENGTH);
const amount = z.number().finite().nonnegative();

const resources = z
  .object({
    slots: amount,
    processors: amount,
    memoryMb: amount,
    accelerators: amount,
  })
  .strict();

/** Body of `POST /v1/jobs`. */
export const submitJobSchema = z
  .object({
    team: name,
    kind: name,
    tasks: z
      .array(
        z
          .object({
            id: name,
            payload: z.unknown(),
            resources: resources.optional(),
            expectedRunMs: z.number().finite().positive().optional(),
          })
          .strict(),
      )
      .min(1),
    deadlineMs: z.number().int().positive().max(MAX_DEADLINE_MS).optional(),
  })
  .strict();

const address = z
  .string()
  .regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$|^\[[0-9a-f:]+\]:\d{1,5}$/i, {
    message: 'must be IP:PORT',
  });

const upstreamId = {
  address,
  incarnation: z.number().int().nonnegative(),
};

/** Body of `POST /v1/upstreams/announce`. */
export const announceSchema = z
  .object({
    ...upstreamId,
    worker: name,
    dataCentre: name,
    rack: name,
    capacity: resources,
    maxConnections: z.number().int().positive(),
    kinds: z.array(name),
  })
  .strict();

/** Body of `POST /v1/upstreams/leave`. */
export const leaveSchema = z.object(upstreamId).strict();

/** Body of `POST /v1/upstreams/usage`. */
export const usageSchema = z
  .object({
    ...upstreamId,
    lagMs: amount,
    used: resources,
    runningTasks: z.number().int().nonnegative(),
  })
  .strict();

interface SchemaTypes {
  readonly job: SubmitJobRequest;
  readonly announce: UpstreamAnnouncement;
  readonly leave: LeaveRequest;
  readonly usage: UsageReport;
}

const SCHEMAS = {
  job: submitJobSchema,
  announce: announceSchema,
  leave: leaveSchema,
  usage: usageSchema,
} as const;

/** Parses a body, or ends the request naming every invalid member. */
export function parseBody<K extends keyof SchemaTypes>(
  schema: K,
  body: unknown,
): SchemaTypes[K] {
  const parsed = SCHEMAS[schema].safeParse(body);
  if (parsed.success) return parsed.data as unknown as SchemaTypes[K];
  const errors = parsed.error.issues.map(issue => ({
    path: issue.path.join('.'),
    message: issue.message,
  }));
  const [first] = errors;
  return fail('invalid-body', `${first?.path || 'body'}: ${first?.message}`, {
    errors,
  });
}
