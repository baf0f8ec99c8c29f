import {NullMetrics} from '@mustardferry/runtime';
import {expect} from 'chai';

import {JobExplanations} from '../../src/jobs/job_explanations.js';
import {JobOwner} from '../../src/jobs/job_owner.js';
import {
  type AdmissionVerdict,
  TaskScheduler,
} from '../../src/jobs/task_scheduler.js';
import {
  JOB_ID,
  kindOf,
  LOGGER,
  recordsOf,
  teamWith,
} from '../takeover_fixtures.js';

class RecordingScheduler extends TaskScheduler {
  readonly events: string[] = [];

  override async admit(): Promise<AdmissionVerdict> {
    return {reason: 'capacity-available'};
  }

  override scheduleTask(): void {
    this.events.push('schedule');
  }

  override resumeTask(): void {
    this.events.push('resume');
  }

  override cancel(): void {
    this.events.push('cancel');
  }

  override releaseJob(): void {
    this.events.push('release');
  }
}

describe('JobOwner.releaseJobs', () => {
  it('releases running jobs instead of cancelling tasks that the next owner awaits', async () => {
    const scheduler = new RecordingScheduler();
    const proposed: string[] = [];
    const owner = new JobOwner({
      group: 'dc1.0',
      epoch: {group: 'dc1.0', generation: 1, term: 2},
      state: recordsOf(false),
      propose: async command => {
        proposed.push(command.type);
        throw new Error('not the leader');
      },
      policy: () => ({revision: 1, teams: [teamWith(kindOf(false))]}),
      scheduler,
      retentionMs: 60_000,
      holdsLease: () => true,
      hasDurableStorage: () => true,
      explanations: new JobExplanations(),
      logger: LOGGER,
      metrics: new NullMetrics(),
    });
    owner.takeOverJobs();
    const waiting = owner.reply(JOB_ID, 1_000);
    owner.releaseJobs();
    expect(scheduler.events).to.deep.equal(['resume', 'release']);
    expect((await waiting).type).to.equal('not-owner');
    expect(proposed).to.deep.equal([]);
  });
});
