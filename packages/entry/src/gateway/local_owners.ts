/** The owners that run on this instance, by job id. */
import {parseJobId} from '@mustardferry/decisions';
import type {
  ExplainReply,
  JobRequest,
  OwnerReply,
  SubmitToOwner,
} from '@mustardferry/links';

import type {GroupService} from '../groups/group_service.js';
import type {JobOwner} from '../jobs/job_owner.js';
import {OwnershipLostError} from '../jobs/owner_errors.js';

type NotOwner = Extract<OwnerReply, {type: 'not-owner'}>;

/** Routes requests about jobs to the owner of their group. */
export class LocalOwners {
  constructor(private readonly groups: GroupService) {}

  submit(req: SubmitToOwner): Promise<OwnerReply> {
    return this.withOwner(req.jobId, owner => owner.submit(req));
  }

  get(req: JobRequest): Promise<OwnerReply> {
    return this.withOwner(req.jobId, owner =>
      owner.reply(req.jobId, req.waitMs),
    );
  }

  cancel(req: JobRequest): Promise<OwnerReply> {
    return this.withOwner(req.jobId, owner =>
      owner.cancel(req.jobId, req.waitMs),
    );
  }

  explain(req: JobRequest): Promise<ExplainReply> {
    return this.withOwner(req.jobId, owner =>
      Promise.resolve(owner.explainJob(req.jobId)),
    );
  }

  private async withOwner<R>(
    jobId: string,
    run: (owner: JobOwner) => Promise<R>,
  ): Promise<R | NotOwner> {
    const parsed = parseJobId(jobId);
    const group = `${parsed?.dataCentre}.${parsed?.group}`;
    const owner = this.groups.ownerOf(group);
    if (owner === undefined) return this.notOwner(jobId, group);
    try {
      return await run(owner);
    } catch (err) {
      // The next owner knows whether the job was admitted.
      if (err instanceof OwnershipLostError) return this.notOwner(jobId, group);
      throw err;
    }
  }

  private notOwner(jobId: string, group: string): NotOwner {
    return {type: 'not-owner', jobId, owner: this.groups.leaderOf(group)};
  }
}
