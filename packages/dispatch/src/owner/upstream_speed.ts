/** Estimates the speeds of upstreams from the run times of their tasks. */

/**
 * Least weight of the newest run; a change of speed shows after about four
 * runs.
 */
const MIN_NEWEST_WEIGHT = 0.25;

/**
 * Number of runs that the mean of all upstreams counts for in an estimate: the
 * first run of an upstream weighs a half, the second one a third.
 */
const PRIOR_RUN_COUNT = 1;

/** Weight of the newest run in the mean of all upstreams. */
const MEAN_WEIGHT = 0.01;

/**
 * Bound of one observation as a natural logarithm: a factor of 16 either way.
 */
const MAX_LOG_RATIO = Math.log(16);

/**
 * Bound of the change by one run as a natural logarithm: a factor of 2 either
 * way.
 */
const MAX_LOG_CHANGE = Math.log(2);

/**
 * Half-life in ms of the estimate of an upstream without runs. Slow upstreams
 * are avoided, so a recovery would otherwise go unnoticed.
 */
const HALF_LIFE_MS = 8_000;

/** Time in ms for which a computed time factor is cached; it changes slowly. */
const CACHE_MS = 50;

/** Learned speeds, to be handed to the next owner. */
export interface SpeedSnapshot {
  /** Mean of all upstreams; natural logarithm of the time factor. */
  readonly mean: number;
  /** Estimate by key of the upstream, with the number of runs behind it. */
  readonly upstreams: readonly (readonly [
    key: string,
    log: number,
    runs: number,
  ])[];
}

interface SpeedEstimate {
  /** Natural logarithm of the time factor. */
  readonly log: number;
  readonly at: number;
  readonly runs: number;
  timeFactor: number;
  timeFactorAt: number;
}

/**
 * Estimates the time factor of each upstream: run time divided by the declared
 * run time.
 */
export class UpstreamSpeed {
  private readonly known = new Map<string, SpeedEstimate>();
  private mean = 0;
  private meanTimeFactor = 1;
  private hasNewRuns = false;

  /** @param learned Speeds that an earlier owner has learned. */
  constructor(learned: SpeedSnapshot | null = null) {
    if (!learned) return;
    const at = performance.now();
    this.mean = learned.mean;
    this.meanTimeFactor = Math.exp(learned.mean);
    for (const [key, log, runs] of learned.upstreams) {
      const timeFactor = Math.exp(log);
      const estimate = {log, at, runs, timeFactor, timeFactorAt: at};
      this.known.set(key, estimate);
    }
  }

  /** Returns all speeds if runs were observed since the last call, or null. */
  takeSnapshot(): SpeedSnapshot | null {
    if (!this.hasNewRuns) return null;
    this.hasNewRuns = false;
    const upstreams = [...this.known].map(
      ([key, {log, runs}]) => [key, log, runs] as const,
    );
    return {mean: this.mean, upstreams};
  }

  /**
   * Updates the estimate with the run time of a run that has ended, or the
   * projected run time of one in progress.
   */
  observe(
    upstream: string,
    runMs: number,
    declaredMs: number,
    now: number,
  ): void {
    const ratio = Math.log(Math.max(runMs, 1) / Math.max(declaredMs, 1));
    const bounded = Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, ratio));
    const log = this.log(upstream, now);
    const runs = (this.known.get(upstream)?.runs ?? 0) + 1;
    const weight = Math.max(MIN_NEWEST_WEIGHT, 1 / (PRIOR_RUN_COUNT + runs));
    const change = weight * (bounded - log);
    const next =
      log + Math.max(-MAX_LOG_CHANGE, Math.min(MAX_LOG_CHANGE, change));
    const timeFactor = Math.exp(next);
    const estimate = {log: next, at: now, runs, timeFactor, timeFactorAt: now};
    this.known.set(upstream, estimate);
    this.hasNewRuns = true;
    this.mean += MEAN_WEIGHT * (bounded - this.mean);
    this.meanTimeFactor = Math.exp(this.mean);
  }

  /** Expected run time divided by the declared run time. */
  getTimeFactor(upstream: string, now: number): number {
    const known = this.known.get(upstream);
    if (!known) return this.meanTimeFactor;
    if (now - known.timeFactorAt >= CACHE_MS) {
      known.timeFactor = Math.exp(this.log(upstream, now));
      known.timeFactorAt = now;
    }
    return known.timeFactor;
  }

  forget(upstream: string): void {
    this.known.delete(upstream);
  }

  /** Discards estimates that no longer hold; the next owner loses them, too. */
  discard(upstreams: readonly string[]): void {
    for (const upstream of upstreams) this.known.delete(upstream);
    if (upstreams.length > 0) this.hasNewRuns = true;
  }

  private log(upstream: string, now: number): number {
    const known = this.known.get(upstream);
    if (!known) return this.mean;
    const decay = 2 ** (-(now - known.at) / HALF_LIFE_MS);
    return this.mean + decay * (known.log - this.mean);
  }
}
