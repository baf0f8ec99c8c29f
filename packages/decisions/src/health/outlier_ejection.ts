/** Ejects upstreams that fail far more often than their peers. */
import type {ReasonCode} from '../explain/reasons.js';
import {type CountedFailure, FaultyTaskDetector} from './faulty_tasks.js';
import {
  DecayingCounts,
  type HealthState,
  UpstreamHealth,
} from './upstream_health.js';

/** Options of the ejection. */
export interface OutlierEjectionOptions {
  /** Failures in a row that eject. Default 5. */
  readonly consecutiveFailures?: number;
  /** Results needed before the failure ratio counts. Default 10. */
  readonly minResults?: number;
  /** Excess of the failure ratio over the peers' that ejects. Default 0.3. */
  readonly excessRatio?: number;
  /** Largest fraction of the upstreams ejected at once. Default 0.3. */
  readonly maxEjectedFraction?: number;
  /** First and longest time until a probe. Defaults 500 and 30,000 ms. */
  readonly firstProbeMs?: number;
  readonly maxProbeMs?: number;
}

/** Result of one attempt. Refusals and cancellations are not reported. */
export interface UpstreamResult {
  readonly upstream: string;
  readonly taskId: string;
  readonly ok: boolean;
  readonly runMs: number;
  readonly expectedMs: number;
  /** When the attempt started, on the time base of `now`; may be unknown. */
  readonly startedAtMs?: number;
}

/** A change of state, or an ejection that the cap prevented. */
export interface HealthChange {
  readonly upstream: string;
  readonly state: HealthState;
  readonly reason: ReasonCode;
}

/** Whether an upstream may be used, and for how many tasks. */
export interface HealthStatus {
  readonly state: HealthState;
  /** Tasks that may run at once; 0 for none, Infinity for no limit. */
  readonly allowance: number;
  /** Epoch milliseconds of the next probe while ejected. */
  readonly probeAtMs: number;
  readonly reason: ReasonCode;
}

/**
 * A failure in less than this fraction of the expected time counts twice: an
 * upstream that fails fast is always free and attracts most tasks.
 */
const FAST_FAILURE_FRACTION = 0.2;
const FAST_FAILURE_WEIGHT = 2;
/** Allowance at which a returning upstream becomes available. */
const AVAILABLE_ALLOWANCE = 8;

/** Health of all upstreams as one instance sees it; O(1) per result. */
export class OutlierEjection {
  private readonly upstreams = new Map<string, UpstreamHealth>();
  private readonly totalCounts = new DecayingCounts();
  private readonly tasks = new FaultyTaskDetector();
  private readonly options: Required<OutlierEjectionOptions>;
  private ejected = 0;

  constructor(options: OutlierEjectionOptions = {}) {
    this.options = {
      consecutiveFailures: 5,
      minResults: 10,
      excessRatio: 0.3,
      maxEjectedFraction: 0.3,
      firstProbeMs: 500,
      maxProbeMs: 30_000,
      ...options,
    };
  }

  get ejectedCount(): number {
    return this.ejected;
  }

  add(upstream: string): void {
    if (this.upstreams.has(upstream)) return;
    this.upstreams.set(upstream, new UpstreamHealth());
  }

  remove(upstream: string): void {
    if (this.upstreams.get(upstream)?.state === 'ejected') this.ejected--;
    this.upstreams.delete(upstream);
  }

  isFaultyTask(taskId: string): boolean {
    return this.tasks.isFaulty(taskId);
  }

  /** Records a result and returns the changes of state that follow. */
  record(result: UpstreamResult, now: number): readonly HealthChange[] {
    const health = this.upstreams.get(result.upstream);
    if (!health) return [];
    if (!result.ok) return this.failed(result, health, now);
    this.tasks.forgetTask(result.taskId);
    this.count(health, 1, 0, now);
    health.consecutiveFailures = 0;
    return this.recordSuccess(result, health, now);
  }

  getStatus(upstream: string, now: number): HealthStatus {
    const health = this.upstreams.get(upstream);
    if (!health || health.state === 'available') {
      const reason = 'upstream-healthy';
      return {state: 'available', allowance: Infinity, probeAtMs: 0, reason};
    }
    const {state, allowance, probeAtMs} = health;
    if (state === 'returning') {
      return {state, allowance, probeAtMs: 0, reason: 'gradual-return'};
    }
    const isDue = now >= probeAtMs && !health.isProbing;
    const reason = isDue ? 'probe-due' : 'probe-waiting';
    return {state, allowance: isDue ? 1 : 0, probeAtMs, reason};
  }

  /**
   * Limits the load of an upstream that comes back into use and may be slow at
   * first, as after an ejection. An ejected one still needs a probe; an earlier
   * one may have been stopped without a result.
   */
  returnGradually(upstream: string, now: number): void {
    const health = this.upstreams.get(upstream);
    if (!health) return;
    health.isProbing = false;
    if (health.state === 'ejected') return;
    health.state = 'returning';
    health.allowance = 1;
    health.returningSinceMs = now;
    health.consecutiveFailures = 0;
    this.clearCounts(health, now);
  }

  /** Records a start; returns whether it probes an ejected upstream. */
  recordProbeStart(upstream: string): boolean {
    const health = this.upstreams.get(upstream);
    if (health?.state !== 'ejected') return false;
    health.isProbing = true;
    return true;
  }

  /** Repeats a probe without a result after the present interval. */
  postponeProbe(upstream: string, now: number): void {
    const health = this.upstreams.get(upstream);
    if (health?.state !== 'ejected' || !health.isProbing) return;
    health.isProbing = false;
    health.probeAtMs = now + health.probeIntervalMs;
  }

  /** Discards a probe that ended without a result, for example cancelled. */
  discardProbe(upstream: string): void {
    const health = this.upstreams.get(upstream);
    if (health) health.isProbing = false;
  }

  private count(
    health: UpstreamHealth,
    successes: number,
    failures: number,
    now: number,
  ): void {
    health.counts.add(successes, failures, now);
    this.totalCounts.add(successes, failures, now);
  }

  /** Others are compared with the totals, so these lose the counts, too. */
  private clearCounts(health: UpstreamHealth, now: number): void {
    const {total, failures} = health.counts.getCounts(now);
    this.totalCounts.add(failures - total, -failures, now);
    health.counts.clear();
  }

  private failed(
    result: UpstreamResult,
    health: UpstreamHealth,
    now: number,
  ): readonly HealthChange[] {
    const isFast = result.runMs < FAST_FAILURE_FRACTION * result.expectedMs;
    const weight = isFast ? FAST_FAILURE_WEIGHT : 1;
    const countedFailures = this.tasks.failed(
      result.taskId,
      result.upstream,
      weight,
    );
    if (countedFailures === 'faulty') {
      health.isProbing = false;
      return [];
    }
    if (countedFailures) {
      health.isProbing = false;
      for (const failure of countedFailures) this.revertFailure(failure, now);
      return [];
    }
    this.count(health, 0, weight, now);
    health.consecutiveFailures++;
    if (health.state === 'ejected') return this.recordProbeFailure(health, now);
    const reason = this.findEjectionReason(health, now);
    return reason
      ? this.ejectUpstream(result.upstream, health, reason, now)
      : [];
  }

  private findEjectionReason(
    health: UpstreamHealth,
    now: number,
  ): ReasonCode | undefined {
    if (health.state === 'returning') return 'consecutive-failures';
    const own = health.counts.getCounts(now);
    const all = this.totalCounts.getCounts(now);
    const peers = Math.max(1, all.total - own.total);
    const peerRatio = Math.max(0, all.failures - own.failures) / peers;
    const excess = own.failures / Math.max(1, own.total) - peerRatio;
    // When the peers fail as often, the cause is not this upstream.
    if (excess < this.options.excessRatio) return undefined;
    if (health.consecutiveFailures >= this.options.consecutiveFailures) {
      return 'consecutive-failures';
    }
    return own.total >= this.options.minResults ? 'failure-ratio' : undefined;
  }

  private get maxEjected(): number {
    const total = this.upstreams.size;
    const cap = Math.floor(total * this.options.maxEjectedFraction);
    // The last upstream is never ejected, because it may still work.
    return Math.min(total - 1, Math.max(1, cap));
  }

  private ejectUpstream(
    upstream: string,
    health: UpstreamHealth,
    reason: ReasonCode,
    now: number,
  ): readonly HealthChange[] {
    if (this.ejected >= this.maxEjected) {
      return [{upstream, state: health.state, reason: 'ejection-cap'}];
    }
    const first = health.probeIntervalMs || this.options.firstProbeMs;
    health.state = 'ejected';
    health.probeIntervalMs = first;
    health.probeAtMs = now + first;
    health.isProbing = false;
    this.ejected++;
    return [{upstream, state: 'ejected', reason}];
  }

  private recordProbeFailure(health: UpstreamHealth, now: number): [] {
    if (!health.isProbing) return [];
    health.isProbing = false;
    const next = Math.min(this.options.maxProbeMs, health.probeIntervalMs * 2);
    health.probeIntervalMs = next;
    health.probeAtMs = now + next;
    return [];
  }

  private recordSuccess(
    {upstream, startedAtMs = Infinity}: UpstreamResult,
    health: UpstreamHealth,
    now: number,
  ): readonly HealthChange[] {
    if (health.state === 'available') return [];
    const reason = 'gradual-return';
    if (health.state === 'ejected') {
      // Results of tasks sent before the ejection are not probes.
      if (!health.isProbing) return [];
      this.ejected--;
      health.isProbing = false;
      health.state = 'returning';
      health.allowance = 1;
      health.returningSinceMs = Number.NEGATIVE_INFINITY;
      this.clearCounts(health, now);
      return [{upstream, state: 'returning', reason}];
    }
    if (startedAtMs < health.returningSinceMs) return [];
    health.allowance *= 2;
    if (health.allowance >= AVAILABLE_ALLOWANCE) {
      health.state = 'available';
      health.probeIntervalMs = 0;
    }
    return [{upstream, state: health.state, reason}];
  }

  /** Reverts failures of a faulty task that were counted for an upstream. */
  private revertFailure({upstream, weight}: CountedFailure, now: number): void {
    const health = this.upstreams.get(upstream);
    if (!health) return;
    this.count(health, 0, -weight, now);
    health.consecutiveFailures = Math.max(0, health.consecutiveFailures - 1);
  }
}
