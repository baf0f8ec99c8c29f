/** Renews the leases of long-running tasks. */
import type {UpstreamLink} from '@mustardferry/links';
import type {Logger} from '@mustardferry/runtime';

import type {TaskAttempt} from './task_attempt.js';

/** A running attempt whose lease is renewed. */
export interface LeasedAttempt {
  readonly taskId: string;
  readonly attempt: number;
  readonly startedAtMs: number;
  readonly link: UpstreamLink;
  readonly run: TaskAttempt;
}

interface Lease {
  readonly held: LeasedAttempt;
  renewAtMs: number;
}

/** Renewals per lease duration. With three, a lost one does not end the lease. */
const RENEWALS_PER_LEASE = 3;
const RENEWAL_CHECK_PERIOD_MS = 100;

function formatLeaseKey(taskId: string, attempt: number): string {
  return `${taskId}#${attempt}`;
}

/**
 * Sends one renewal request per upstream and period. The reply lists the tasks
 * that no longer run, which reveals results that were lost on a silent
 * connection.
 */
export class LeaseRenewer {
  readonly name = 'lease-renewer';
  private readonly leases = new Map<string, Lease>();
  private readonly timer: NodeJS.Timeout;
  private readonly periodMs: number;
  private immediate: NodeJS.Immediate | undefined;

  constructor(
    private readonly leaseMs: number,
    private readonly logger: Logger,
  ) {
    this.periodMs = leaseMs / RENEWALS_PER_LEASE;
    this.timer = setInterval(
      () => this.renewDueLeases(Date.now()),
      RENEWAL_CHECK_PERIOD_MS,
    );
  }

  /** Starts renewing a lease, first after a third of the lease duration. */
  add(held: LeasedAttempt): void {
    const renewAtMs = held.startedAtMs + this.periodMs;
    this.leases.set(formatLeaseKey(held.taskId, held.attempt), {
      held,
      renewAtMs,
    });
  }

  /**
   * Stops renewing an attempt. When this instance has become its owner again
   * meanwhile, the renewals of the later ownership continue.
   */
  remove(held: LeasedAttempt): void {
    const key = formatLeaseKey(held.taskId, held.attempt);
    if (this.leases.get(key)?.held === held) this.leases.delete(key);
  }

  /**
   * Renews an attempt that another instance started. A takeover resumes many
   * attempts at once, so those of one event loop turn share a request.
   */
  renewAttempt(taskId: string, attempt: number): void {
    const lease = this.leases.get(formatLeaseKey(taskId, attempt));
    if (lease !== undefined) lease.renewAtMs = 0;
    this.scheduleRenewal();
  }

  /** Renews all leases on a link at once, to learn which tasks have ended. */
  renewLeasesOnLink(link: UpstreamLink): void {
    for (const lease of this.leases.values()) {
      if (lease.held.link === link) lease.renewAtMs = 0;
    }
    this.scheduleRenewal();
  }

  close(): void {
    clearInterval(this.timer);
    clearImmediate(this.immediate);
  }

  private scheduleRenewal(): void {
    this.immediate ??= setImmediate(() => {
      this.immediate = undefined;
      this.renewDueLeases(Date.now());
    });
  }

  private renewDueLeases(now: number): void {
    const due = new Map<UpstreamLink, LeasedAttempt[]>();
    for (const {held, renewAtMs} of this.leases.values()) {
      if (renewAtMs <= now) due.set(held.link, []);
    }
    // Leases that are due within half a period join the request.
    for (const lease of this.leases.values()) {
      const batch = due.get(lease.held.link);
      if (!batch || lease.renewAtMs > now + this.periodMs / 2) continue;
      lease.renewAtMs = now + this.periodMs;
      batch.push(lease.held);
    }
    for (const [link, attempts] of due) void this.sendRenewal(link, attempts);
  }

  private async sendRenewal(
    link: UpstreamLink,
    attempts: readonly LeasedAttempt[],
  ): Promise<void> {
    const req = {
      leaseMs: this.leaseMs,
      tasks: attempts.map(({taskId, attempt}) => ({taskId, attempt})),
    };
    try {
      // A failed exchange replaces the connection, so a second try may succeed.
      const reply = await link.renew(req).catch(() => link.renew(req));
      const ended = new Set(reply.notRunning);
      for (const attempt of attempts) {
        if (ended.has(attempt.taskId)) attempt.run.queryNow();
      }
    } catch (err) {
      this.logger.debug('lease-renewal-failed', {link: link.name, err});
      for (const attempt of attempts) attempt.run.queryNow();
    }
  }
}
