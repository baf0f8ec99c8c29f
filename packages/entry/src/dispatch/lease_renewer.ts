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

interface Leased extends LeasedAttempt {
  renewAtMs: number;
}

/** Renewals in one lease, so that one may be lost. */
const RENEWALS_PER_LEASE = 3;
const TICK_MS = 100;

/**
 * Sends one renewal per upstream and round. The reply lists tasks that no
 * longer run, which is how an answer lost on a silent connection is noticed.
 */
export class LeaseRenewer {
  readonly name = 'lease-renewer';
  private readonly attempts = new Map<string, Leased>();
  private readonly timer: NodeJS.Timeout;
  private readonly periodMs: number;

  constructor(
    private readonly leaseMs: number,
    private readonly logger: Logger,
  ) {
    this.periodMs = leaseMs / RENEWALS_PER_LEASE;
    this.timer = setInterval(() => this.renewDue(Date.now()), TICK_MS);
  }

  /** Keeps a lease; the first renewal is due a third of the lease from now. */
  add(attempt: LeasedAttempt): void {
    this.attempts.set(`${attempt.taskId}#${attempt.attempt}`, {
      ...attempt,
      renewAtMs: attempt.startedAtMs + this.periodMs,
    });
  }

  remove(taskId: string, attempt: number): void {
    this.attempts.delete(`${taskId}#${attempt}`);
  }

  /** Renews all leases on a link now, to learn which tasks have ended. */
  renewNow(link: UpstreamLink): void {
    for (const attempt of this.attempts.values()) {
      if (attempt.link === link) attempt.renewAtMs = 0;
    }
    this.renewDue(Date.now());
  }

  close(): void {
    clearInterval(this.timer);
  }

  private renewDue(now: number): void {
    const due = new Map<UpstreamLink, Leased[]>();
    for (const {link, renewAtMs} of this.attempts.values()) {
      if (renewAtMs <= now) due.set(link, []);
    }
    // Leases that are due soon share the message.
    for (const attempt of this.attempts.values()) {
      const batch = due.get(attempt.link);
      if (!batch || attempt.renewAtMs > now + this.periodMs / 2) continue;
      attempt.renewAtMs = now + this.periodMs;
      batch.push(attempt);
    }
    for (const [link, attempts] of due) void this.renew(link, attempts);
  }

  private async renew(
    link: UpstreamLink,
    attempts: readonly Leased[],
  ): Promise<void> {
    const req = {
      leaseMs: this.leaseMs,
      tasks: attempts.map(({taskId, attempt}) => ({taskId, attempt})),
    };
    try {
      // A failed exchange replaces the connection, so one more may succeed.
      const reply = await link.renew(req).catch(() => link.renew(req));
      const ended = new Set(reply.notRunning);
      for (const attempt of attempts) {
        if (ended.has(attempt.taskId)) attempt.run.checkNow();
      }
    } catch (err) {
      this.logger.debug('lease-renewal-failed', {link: link.name, err});
      for (const attempt of attempts) attempt.run.checkNow();
    }
  }
}
