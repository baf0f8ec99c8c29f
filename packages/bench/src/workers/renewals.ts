/** A stand-in worker's messages to the entry instances of its data centre. */
import type {
  AnnounceReply,
  UpstreamAnnouncement,
  UsageReport,
} from '@mustardferry/model';
import {Agent, request} from 'undici';

/** An instance that doesn't reply within this time is passed over. */
const REPLY_TIMEOUT_MS = 400;

/** Options of a worker's messages. */
export interface RenewalOptions {
  /** `IP:PORT` of the entry instances of the worker's data centre. */
  readonly homes: readonly string[];
  /** Index of the first instance to use; spreads workers over instances. */
  readonly first: number;
  /** Bearer token; empty for none. */
  readonly token: string;
  /** Period of renewals and usage reports. */
  readonly periodMs: number;
  /** Age of a usage report when it is sent. */
  readonly usageLagMs: number;
}

/** Announces, renews, reports usage and leaves. */
export class Renewals {
  private position: number;
  private readonly agent = new Agent({connections: 1, pipelining: 1});
  private readonly timers = new Set<NodeJS.Timeout>();
  private closed = false;
  accepted = 0;
  rejected = 0;

  constructor(
    private readonly options: RenewalOptions,
    private readonly announcement: UpstreamAnnouncement,
    private readonly usage: () => Pick<UsageReport, 'used' | 'runningTasks'>,
  ) {
    this.position = options.first;
  }

  /** Starts to announce and to report, each once a period. */
  start(): void {
    void this.renewAndRepeat();
    this.reportAndRepeat();
  }

  /** Tells one instance that this upstream takes no more work. */
  async leave(): Promise<void> {
    const {address, incarnation} = this.announcement;
    await this.post('/v1/upstreams/leave', {address, incarnation});
  }

  /** Stops all messages. */
  async close(): Promise<void> {
    this.closed = true;
    for (const timer of this.timers) clearTimeout(timer);
    await this.agent.destroy();
  }

  private after(delayMs: number, run: () => void): void {
    if (this.closed) return;
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      run();
    }, delayMs);
    this.timers.add(timer);
  }

  private async renewAndRepeat(): Promise<void> {
    const startedAt = performance.now();
    const reply = (await this.post(
      '/v1/upstreams/announce',
      this.announcement,
    )) as AnnounceReply | undefined;
    if (reply?.accepted) this.accepted += 1;
    else this.rejected += 1;
    const period = reply?.renewAfterMs ?? this.options.periodMs;
    const spent = performance.now() - startedAt;
    this.after(Math.max(50, period - spent), () => void this.renewAndRepeat());
  }

  private reportAndRepeat(): void {
    const {address, incarnation} = this.announcement;
    const lagMs = this.options.usageLagMs;
    const report = {address, incarnation, lagMs, ...this.usage()};
    this.after(lagMs, () => void this.post('/v1/upstreams/usage', report));
    this.after(this.options.periodMs, () => this.reportAndRepeat());
  }

  /** Tries each instance once, from the one that replied last. */
  private async post(path: string, body: unknown): Promise<unknown> {
    const {homes, token} = this.options;
    for (let tried = 0; tried < homes.length && !this.closed; tried += 1) {
      const home = homes[this.position % homes.length];
      try {
        const res = await request(`http://${home}${path}`, {
          method: 'POST',
          dispatcher: this.agent,
          headers: {
            'content-type': 'application/json',
            ...(token === '' ? {} : {authorization: `Bearer ${token}`}),
          },
          body: JSON.stringify(body),
          signal: AbortSignal.timeout(REPLY_TIMEOUT_MS),
        });
        const text = await res.body.text();
        if (res.statusCode < 500) return text === '' ? {} : JSON.parse(text);
      } catch {
        // A dead or silent instance; the next one is tried.
      }
      this.position += 1;
    }
    return undefined;
  }
}
