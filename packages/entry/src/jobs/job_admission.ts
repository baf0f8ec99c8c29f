/** Checks submissions and records their admission in a record group. */
import type {
  AdmitCommand,
  AdmitResult,
  RecordsCommand,
  RecordsResult,
  RecordsState,
} from '@mustardferry/coordination';
import type {OwnerReply, SubmitToOwner} from '@mustardferry/links';
import type {KindPolicy, Policy, TeamPolicy} from '@mustardferry/model';

import {problem} from '../http/problems.js';
import {
  conflictReply,
  notOwnerReply,
  problemReply,
  unknownKindReply,
} from './owner_replies.js';
import type {AdmissionVerdict, TaskScheduler} from './task_scheduler.js';

/** A team with one of its kinds. */
export interface TeamKind {
  readonly team: TeamPolicy;
  readonly kind: KindPolicy;
}

/** Options of {@link JobAdmission}. */
export interface JobAdmissionOptions {
  readonly state: RecordsState;
  readonly propose: (command: RecordsCommand) => Promise<RecordsResult>;
  readonly policy: () => Policy;
  readonly scheduler: TaskScheduler;
  /** How long records are kept after admission. */
  readonly retentionMs: number;
  /** Whether the group has a reachable member with synced storage. */
  readonly hasDurableStorage: () => boolean;
}

/** An admitted job, or the reply that ends the request. */
export type Admitted =
  | {
      readonly type: 'admitted';
      readonly found: TeamKind;
      readonly verdict: AdmissionVerdict;
    }
  | {
      readonly type: 'reply';
      readonly reply: OwnerReply;
      /** Present when the admission checks refused the job. */
      readonly verdict?: AdmissionVerdict;
    };

/** Finds a team and one of its kinds in the policy. */
export function findTeamKind(
  policy: Policy,
  teamName: string,
  kindName: string,
): TeamKind | undefined {
  const team = policy.teams.find(candidate => candidate.team === teamName);
  const kind = team?.kinds.find(candidate => candidate.kind === kindName);
  if (team === undefined || kind === undefined) return undefined;
  return {team, kind};
}

/** Checks submissions against the limits and records their admission. */
export class JobAdmission {
  constructor(private readonly options: JobAdmissionOptions) {}

  /** Admits a submission that has no record yet. */
  async admit(req: SubmitToOwner): Promise<Admitted> {
    const {jobId, submission} = req;
    const {team, kind} = submission;
    const policy = this.options.policy();
    const found = findTeamKind(policy, team, kind);
    if (found === undefined) {
      return {
        type: 'reply',
        reply: unknownKindReply(jobId, policy, team, kind),
      };
    }
    const verdict = await this.checkSubmission(req, found);
    if (verdict.problem !== undefined) {
      const reply = {type: 'problem', jobId, problem: verdict.problem} as const;
      return {type: 'reply', reply, verdict};
    }
    const result = await this.options.propose(this.command(req, found));
    if (result.type !== 'admit') {
      return {type: 'reply', reply: notOwnerReply(jobId)};
    }
    return this.interpretResult(jobId, result, {
      type: 'admitted',
      found,
      verdict,
    });
  }

  private command(req: SubmitToOwner, {kind}: TeamKind): AdmitCommand {
    const {jobId, submission, digest} = req;
    const atMs = Date.now();
    return {
      type: 'admit',
      jobId,
      team: submission.team,
      kind: submission.kind,
      idempotencyKey: submission.idempotencyKey,
      digest,
      repeatable: kind.repeatable,
      tasks: submission.tasks,
      ...(submission.deadlineMs === undefined
        ? {}
        : {deadlineMs: submission.deadlineMs}),
      atMs,
      keepUntilMs: atMs + this.options.retentionMs,
      ...(req.keyGeneratedAtMs === undefined
        ? {}
        : {keyGeneratedAtMs: req.keyGeneratedAtMs}),
    };
  }

  private async checkSubmission(
    req: SubmitToOwner,
    found: TeamKind,
  ): Promise<AdmissionVerdict> {
    const {jobId} = req;
    if (!found.kind.repeatable && !this.options.hasDurableStorage()) {
      const refused = problem(
        'no-durable-storage',
        'No instance with a disk is reachable in the record group.',
        {jobId, retryAfterSeconds: 1},
      );
      return {problem: refused, reason: 'no-durable-storage'};
    }
    const {tasks} = req.submission;
    return this.options.scheduler.admit({jobId, job: found, tasks});
  }

  private interpretResult(
    jobId: string,
    result: AdmitResult,
    admitted: Admitted,
  ): Admitted {
    switch (result.outcome) {
      case 'joined':
      case 'admitted':
        return admitted;
      case 'conflict':
        return {type: 'reply', reply: conflictReply(jobId)};
      case 'full':
        return {
          type: 'reply',
          reply: problemReply(
            jobId,
            'queue-full',
            'The group holds its maximum number of records.',
          ),
        };
      case 'unknown':
        return {
          type: 'reply',
          reply: problemReply(
            jobId,
            'owner-unknown',
            'An earlier admission of this job may have been lost.',
          ),
        };
    }
  }
}
