/** Renews the leases of tasks that run for long. */
import type {UpstreamLink} from '@mustardferry/links';
import type {Logger} from '@mustardferry/runtime';

import type {TaskAttempt} from './task_attempt.js';

/** A running attempt whose lease must be kept. */
export interface LeasedAttempt {
  readonly taskId: string;
  readonly attempt: number;
  readonly startedAtMs: number;
  readonly link: UpstreamLink;
  readonly run: TaskAttempt;
}

/** Part of the lease after which a renewal is sent. */
const RENEWALS_PER_LEASE = 3;

/** Sends one renewal per upstream and round, for all tasks that need one. */
export class LeaseRenewer {
  readonly name = 'lease-renewer';
  private readonly attempts = new Map<string, LeasedAttempt>();
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly leaseMs: number,
    private readonly logger: Logger,
  ) {
    this.timer = setInterval(
      () => this.renewAll(Date.now()),
      leaseMs / RENEWALS_PER_LEASE,
    );
  }

  add(attempt: LeasedAttempt): void {
    this.attempts.set(`${attempt.taskId}#${attempt.attempt}`, attempt);
  }

  remove(taskId: string, attempt: number): void {
    this.attempts.delete(`${taskId}#${attempt}`);
  }

  close(): void {
    clearInterval(this.timer);
  }

  private renewAll(now: number): void {
    const byLink = new Map<UpstreamLink, LeasedAttempt[]>();
    for (const attempt of this.attempts.values()) {
      // Short tasks end before their first renewal is due.
      if (now - attempt.startedAtMs < this.leaseMs / RENEWALS_PER_LEASE)
        continue;
      const list = byLink.get(attempt.link);
      if (list) list.push(attempt);
      else byLink.set(attempt.link, [attempt]);
    }
    for (const [link, attempts] of byLink) void this.renew(link, attempts);
  }

  private async renew(
    link: UpstreamLink,
    attempts: readonly LeasedAttempt[],
  ): Promise<void> {
    try {
      const {notRunning} = await link.renew({
        leaseMs: this.leaseMs,
        tasks: attempts.map(({taskId, attempt}) => ({taskId, attempt})),
      });
      const ended = new Set(notRunning);
      for (const attempt of attempts) {
        if (ended.has(attempt.taskId)) attempt.run.checkNow();
      }
    } catch (err) {
      this.logger.debug('lease-renewal-failed', {link: link.name, err});
      for (const attempt of attempts) attempt.run.checkNow();
    }
  }
}
