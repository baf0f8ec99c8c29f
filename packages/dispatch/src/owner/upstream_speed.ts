/** Learned speeds of upstreams, quick to follow a change. */

/** Weight of the newest run; a change shows after about four runs. */
const NEWEST_WEIGHT = 0.25;

/** Weight of the newest run in the mean of all upstreams. */
const MEAN_WEIGHT = 0.01;

/** Bounds of one observation, as natural logarithms: 16 times either way. */
const MAX_LOG_RATIO = Math.log(16);

/** Time factors: run time divided by the declared time. */
export class UpstreamSpeed {
  private readonly logs = new Map<string, number>();
  private mean = 0;

  /** Learns from a run that ended. */
  observe(upstream: string, runMs: number, declaredMs: number): void {
    const ratio = Math.log(Math.max(runMs, 1) / Math.max(declaredMs, 1));
    const bounded = Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, ratio));
    const known = this.logs.get(upstream) ?? this.mean;
    this.logs.set(upstream, known + NEWEST_WEIGHT * (bounded - known));
    this.mean += MEAN_WEIGHT * (bounded - this.mean);
  }

  /** Expected run time divided by the declared time. */
  factor(upstream: string): number {
    return Math.exp(this.logs.get(upstream) ?? this.mean);
  }

  forget(upstream: string): void {
    this.logs.delete(upstream);
  }
}
