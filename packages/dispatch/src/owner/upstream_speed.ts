/** Learned speeds of upstreams, quick to follow a change. */

/** Weight of the newest run; a change shows after about four runs. */
const MIN_NEWEST_WEIGHT = 0.25;

/**
 * The mean of all upstreams counts like one run: the first run of an upstream
 * weighs a half, the second one a third.
 */
const PRIOR_RUN_COUNT = 1;

/** Weight of the newest run in the mean of all upstreams. */
const MEAN_WEIGHT = 0.01;

/** Bounds of one observation, as natural logarithms: 16 times either way. */
const MAX_LOG_RATIO = Math.log(16);

/** Most that one run changes what is known: twice either way. */
const MAX_LOG_CHANGE = Math.log(2);

/**
 * Half-life in ms of what is known of an upstream that runs nothing: a slow one
 * is avoided, so its recovery would stay unseen.
 */
const HALF_LIFE_MS = 8_000;

/** Time in ms for which a computed factor is used again; it changes slowly. */
const CACHE_MS = 50;

interface SpeedEstimate {
  /** Natural logarithm of the time factor. */
  readonly log: number;
  readonly at: number;
  readonly runs: number;
  factor: number;
  factorAt: number;
}

/** Time factors: run time divided by the declared time. */
export class UpstreamSpeed {
  private readonly known = new Map<string, SpeedEstimate>();
  private mean = 0;
  private meanTimeFactor = 1;

  /** Learns from a run that ended, or that will as far as it shows. */
  observe(
    upstream: string,
    runMs: number,
    declaredMs: number,
    now: number,
  ): void {
    const ratio = Math.log(Math.max(runMs, 1) / Math.max(declaredMs, 1));
    const bounded = Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, ratio));
    const log = this.logFactorOf(upstream, now);
    const runs = (this.known.get(upstream)?.runs ?? 0) + 1;
    const weight = Math.max(MIN_NEWEST_WEIGHT, 1 / (PRIOR_RUN_COUNT + runs));
    const change = weight * (bounded - log);
    const next =
      log + Math.max(-MAX_LOG_CHANGE, Math.min(MAX_LOG_CHANGE, change));
    const factor = Math.exp(next);
    const learned = {log: next, at: now, runs, factor, factorAt: now};
    this.known.set(upstream, learned);
    this.mean += MEAN_WEIGHT * (bounded - this.mean);
    this.meanTimeFactor = Math.exp(this.mean);
  }

  /** Expected run time divided by the declared time. */
  timeFactorOf(upstream: string, now: number): number {
    const known = this.known.get(upstream);
    if (!known) return this.meanTimeFactor;
    if (now - known.factorAt >= CACHE_MS) {
      known.factor = Math.exp(this.logFactorOf(upstream, now));
      known.factorAt = now;
    }
    return known.factor;
  }

  forget(upstream: string): void {
    this.known.delete(upstream);
  }

  private logFactorOf(upstream: string, now: number): number {
    const known = this.known.get(upstream);
    if (!known) return this.mean;
    const kept = 2 ** (-(now - known.at) / HALF_LIFE_MS);
    return this.mean + kept * (known.log - this.mean);
  }
}
