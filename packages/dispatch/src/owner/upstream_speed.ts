/** Learned speeds of upstreams, quick to follow a change. */

/** Weight of the newest run; a change shows after about four runs. */
const NEWEST_WEIGHT = 0.25;

/**
 * The mean of all upstreams counts like one run: the first run of an upstream
 * weighs a half, the second one a third.
 */
const PRIOR_RUNS = 1;

/** Weight of the newest run in the mean of all upstreams. */
const MEAN_WEIGHT = 0.01;

/** Bounds of one observation, as natural logarithms: 16 times either way. */
const MAX_LOG_RATIO = Math.log(16);

/** Most that one run changes what is known: twice either way. */
const MAX_STEP = Math.log(2);

/**
 * Half-life in ms of what is known of an upstream that runs nothing: a slow one
 * is avoided, so its recovery would stay unseen.
 */
const HALF_LIFE_MS = 8_000;

/** Time in ms for which a computed factor is used again; it changes slowly. */
const REUSE_MS = 50;

interface Known {
  /** Natural logarithm of the time factor. */
  readonly log: number;
  readonly at: number;
  readonly runs: number;
  factor: number;
  factorAt: number;
}

/** Time factors: run time divided by the declared time. */
export class UpstreamSpeed {
  private readonly known = new Map<string, Known>();
  private mean = 0;
  private meanFactor = 1;

  /** Learns from a run that ended, or that will as far as it shows. */
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
    const weight = Math.max(NEWEST_WEIGHT, 1 / (PRIOR_RUNS + runs));
    const change = weight * (bounded - log);
    const next = log + Math.max(-MAX_STEP, Math.min(MAX_STEP, change));
    const factor = Math.exp(next);
    const learned = {log: next, at: now, runs, factor, factorAt: now};
    this.known.set(upstream, learned);
    this.mean += MEAN_WEIGHT * (bounded - this.mean);
    this.meanFactor = Math.exp(this.mean);
  }

  /** Expected run time divided by the declared time. */
  factor(upstream: string, now: number): number {
    const known = this.known.get(upstream);
    if (!known) return this.meanFactor;
    if (now - known.factorAt >= REUSE_MS) {
      known.factor = Math.exp(this.log(upstream, now));
      known.factorAt = now;
    }
    return known.factor;
  }

  forget(upstream: string): void {
    this.known.delete(upstream);
  }

  private log(upstream: string, now: number): number {
    const known = this.known.get(upstream);
    if (!known) return this.mean;
    const kept = 2 ** (-(now - known.at) / HALF_LIFE_MS);
    return this.mean + kept * (known.log - this.mean);
  }
}
