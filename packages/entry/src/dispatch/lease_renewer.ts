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

function keyOf(taskId: string, attempt: number): string {
  return `${taskId}#${attempt}`;
}

/** Sends one renewal per upstream and round, for all tasks that need one. */
export class LeaseRenewer {
  readonly name = 'lease-renewer';
  private readonly attempts = new Map<string, LeasedAttempt>();
  private readonly urgent = new Set<string>();
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
    this.attempts.set(keyOf(attempt.taskId, attempt.attempt), attempt);
  }

  /**
   * Ends the renewals of an attempt. When this instance became its owner again
   * meanwhile, the renewals of the later ownership go on.
   */
  remove(attempt: LeasedAttempt): void {
    const key = keyOf(attempt.taskId, attempt.attempt);
    if (this.attempts.get(key) === attempt) this.attempts.delete(key);
  }

  /**
   * Renews an attempt that another instance started. Takeovers resume many at
   * once, so those of one turn of the event loop share a request.
   */
  renewNow(taskId: string, attempt: number): void {
    if (this.urgent.size === 0) setImmediate(() => this.renewUrgent());
    this.urgent.add(keyOf(taskId, attempt));
  }

  close(): void {
    clearInterval(this.timer);
  }

  private renewAll(now: number): void {
    // Short tasks end before their first renewal is due.
    const dueMs = this.leaseMs / RENEWALS_PER_LEASE;
    this.renewEach(
      [...this.attempts.values()].filter(
        ({startedAtMs}) => now - startedAtMs >= dueMs,
      ),
    );
  }

  private renewUrgent(): void {
    const due = [...this.urgent].flatMap(key => this.attempts.get(key) ?? []);
    this.urgent.clear();
    this.renewEach(due);
  }

  private renewEach(due: readonly LeasedAttempt[]): void {
    const byLink = new Map<UpstreamLink, LeasedAttempt[]>();
    for (const attempt of due) {
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
