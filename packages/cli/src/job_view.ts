/** Output and exit code of a job's state. */
import type {JobView} from '@mustardferry/model';

import {type ApiReply, objectBody} from './api_client.js';
import {ReplyError} from './errors.js';
import {EXIT, type ExitCode} from './exit_codes.js';
import {formatJson, formatTime} from './output.js';

const STATES: readonly unknown[] = ['queued', 'running', 'complete', 'failed'];

/** The job in a reply; `jobId` guards against a crossed answer when given. */
export function jobViewOf(reply: ApiReply, jobId?: string): JobView {
  const body = objectBody(reply);
  if (typeof body.jobId !== 'string' || !STATES.includes(body.state)) {
    throw new ReplyError(`${reply.url}: the reply is not a job`);
  }
  if (jobId !== undefined && body.jobId !== jobId) {
    throw new ReplyError(
      `${reply.url}: the reply is about job ${body.jobId}, not ${jobId}`,
    );
  }
  return body as unknown as JobView;
}

/** Whether the job will not change any more. */
export function isFinished(view: JobView): boolean {
  return view.state === 'complete' || view.state === 'failed';
}

/** Writes a job: its state, then one line for each result. */
export function formatJob(view: JobView, json: boolean): string {
  if (json) return formatJson(view);
  const lines = [
    `job ${view.jobId} ${view.state}, recognized until ${formatTime(view.recordKeptUntilMs)}`,
  ];
  if (view.problem !== undefined) {
    const {code, detail, outcome} = view.problem;
    lines.push(`${code}: ${detail} (outcome: ${outcome})`);
  }
  for (const {id, value} of view.results ?? []) {
    lines.push(`${id}\t${JSON.stringify(value)}`);
  }
  return lines.map(line => `${line}\n`).join('');
}

/** Exit code for a job in this state. */
export function exitCodeOfJob(view: JobView): ExitCode {
  if (view.state !== 'failed') return EXIT.SUCCESS;
  return view.problem?.outcome === 'unknown'
    ? EXIT.OUTCOME_UNKNOWN
    : EXIT.FAILED;
}
