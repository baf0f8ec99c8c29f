/**
 * Learns the run times of kinds on upstreams. The logarithm of a run time is
 * modelled as the kind's location plus the upstream's speed offset plus an
 * offset of the pair. All are exponentially weighted means of residuals that
 * are clipped as in Huber's M-estimator (Huber, 1964), so one outlier moves an
 * estimate by a bounded amount.
 */
import {LruMap} from '../common/lru_map.js';
import {RunTimeDistribution, type RunTimeQuantile} from './run_distribution.js';

/** Options of the estimator. */
export interface RunTimeEstimatorOptions {
  /** Most kinds remembered. Default 1,024. */
  readonly maxKinds?: number;
  /** Most upstreams remembered. Default 16,384. */
  readonly maxUpstreams?: number;
  /** Most pairs of kind and upstream remembered. Default 65,536. */
  readonly maxPairs?: number;
  /** Half-life of the weight of a report by its age. Default 10,000 ms. */
  readonly ageHalfLifeMs?: number;
}

/** A measured run of one task. */
export interface RunObservation {
  readonly team: string;
  readonly kind: string;
  readonly upstream: string;
  readonly runMs: number;
  /** When the run ended; old reports weigh less. */
  readonly endedAtMs: number;
}

/** Kind and upstream whose run time is estimated. */
export interface RunEstimateInput {
  readonly team: string;
  readonly kind: string;
  readonly upstream: string;
  /** Declared run time, used until a run of the kind was measured. */
  readonly declaredMs: number;
}

/** Source of an estimate, from the most to the least specific. */
export type EstimateSource = 'pair' | 'kind-and-speed' | 'declared';

/** Estimated run time in milliseconds. */
export interface RunEstimate {
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly samples: number;
  readonly source: EstimateSource;
}

interface LearnedOffset {
  value: number;
  weight: number;
}

/** Learned run times of one kind. */
interface KindModel {
  readonly distribution: RunTimeDistribution;
  readonly pairs: Map<string, LearnedOffset>;
}

/** Run-time estimates of one kind on any upstream. */
export interface KindEstimates {
  /** Expected run time on an upstream in milliseconds. */
  estimateP50Ms(upstream: string): number;
}

const DEFAULT_AGE_HALF_LIFE_MS = 10_000;
/** Reports with less weight than this, about 7 half-lives old, are dropped. */
const MIN_REPORT_WEIGHT = 0.01;
/** Multiple of the scale at which residuals are clipped. */
const MAX_RESIDUAL_SCALES = 2.5;
/** Smallest learning rates; a change is learned after about 1 / rate runs. */
const MIN_KIND_RATE = 0.02;
const MIN_UPSTREAM_RATE = 0.03;
const MIN_PAIR_RATE = 0.04;
const MIN_MEAN_RATE = 0.005;
/** Runs of a pair after which half of its own offset is used. */
const PAIR_SHRINKAGE_RUNS = 8;
/** Pull of a speed offset towards average speed per run, in 64ths. */
const SPEED_PRIOR = 1;
const MIN_RUN_MS = 0.05;

function updateOffset(
  offset: LearnedOffset,
  step: number,
  rate: number,
  reportWeight: number,
): void {
  offset.weight += reportWeight;
  const gain = Math.min(
    1,
    reportWeight * Math.max(rate, 1 / (offset.weight + 1)),
  );
  offset.value += gain * step;
}

/** Estimator with bounded memory; evicts the least recently used entries. */
export class RunTimeEstimator {
  private readonly kinds: LruMap<KindModel>;
  private readonly upstreams: LruMap<LearnedOffset>;
  private readonly maxPairs: number;
  private readonly ageHalfLifeMs: number;
  private mean = 0;
  private meanWeight = 0;
  private pairCount = 0;

  constructor(options: RunTimeEstimatorOptions = {}) {
    this.kinds = new LruMap(options.maxKinds ?? 1_024, ({pairs}) => {
      this.pairCount -= pairs.size;
    });
    this.upstreams = new LruMap(options.maxUpstreams ?? 16_384);
    this.maxPairs = options.maxPairs ?? 65_536;
    this.ageHalfLifeMs = options.ageHalfLifeMs ?? DEFAULT_AGE_HALF_LIFE_MS;
  }

  /** Learns from a run that ended with a result; failures are not reported. */
  observe(run: RunObservation, now: number): void {
    const ageMs = Math.max(0, now - run.endedAtMs);
    const weight = 2 ** (-ageMs / this.ageHalfLifeMs);
    if (!(run.runMs >= 0) || weight < MIN_REPORT_WEIGHT) return;
    const logRunMs = Math.log(Math.max(MIN_RUN_MS, run.runMs));
    const model = this.kinds.getOrCreate(`${run.team}/${run.kind}`, () => ({
      distribution: new RunTimeDistribution(logRunMs),
      pairs: new Map<string, LearnedOffset>(),
    }));
    const kind = model.distribution;
    const speed = this.upstreams.getOrCreate(run.upstream, newOffset);
    const pair = this.getOrCreatePair(model, run.upstream);
    const clip = MAX_RESIDUAL_SCALES * kind.scale;
    const clipResidual = (r: number) => Math.max(-clip, Math.min(clip, r));
    const residual = logRunMs - kind.location - speed.value;
    kind.observe(residual - shrinkPairOffset(pair), weight);
    updateOffset(kind, clipResidual(residual), MIN_KIND_RATE, weight);
    if (kind.weight > 1) {
      const step = clipResidual(residual) - (SPEED_PRIOR * speed.value) / 64;
      updateOffset(speed, step, MIN_UPSTREAM_RATE, weight);
    }
    const pairResidual = logRunMs - kind.location - speed.value;
    updateOffset(
      pair,
      clipResidual(pairResidual) - pair.value,
      MIN_PAIR_RATE,
      weight,
    );
    this.updateMean(run.runMs / Math.exp(speed.value), weight);
  }

  /** Mean run time of all tasks at average speed; undefined before any run. */
  get meanRunMs(): number | undefined {
    return this.meanWeight > 0 ? this.mean : undefined;
  }

  private updateMean(runMs: number, weight: number): void {
    this.meanWeight += weight;
    const gain = weight * Math.max(MIN_MEAN_RATE, 1 / this.meanWeight);
    this.mean += Math.min(1, gain) * (runMs - this.mean);
  }

  /** Estimates a run time from the pair, the kind or the declared time. */
  estimate(input: RunEstimateInput): RunEstimate {
    const {declaredMs, upstream} = input;
    const speed = this.upstreams.get(upstream)?.value ?? 0;
    const model = this.kinds.get(`${input.team}/${input.kind}`);
    if (!model) {
      const p50Ms = declaredMs * Math.exp(speed);
      return {p50Ms, p95Ms: 3 * p50Ms, samples: 0, source: 'declared'};
    }
    const {distribution, pairs} = model;
    const pair = pairs.get(upstream);
    const samples = pair?.weight ?? 0;
    const logMedian = distribution.location + speed + shrinkPairOffset(pair);
    return {
      p50Ms: Math.exp(logMedian + distribution.getQuantile('p50')),
      p95Ms: Math.exp(logMedian + distribution.getQuantile('p95')),
      samples,
      source: samples >= PAIR_SHRINKAGE_RUNS ? 'pair' : 'kind-and-speed',
    };
  }

  /** The p50 estimates of a kind; looks the kind up once. */
  getKindEstimates(
    team: string,
    kind: string,
    declaredMs: number,
  ): KindEstimates {
    const model = this.kinds.get(`${team}/${kind}`);
    const logMedian = model
      ? model.distribution.location + model.distribution.getQuantile('p50')
      : Math.log(Math.max(MIN_RUN_MS, declaredMs));
    return {
      estimateP50Ms: upstream => {
        const speed = this.upstreams.get(upstream)?.value ?? 0;
        return Math.exp(
          logMedian + speed + shrinkPairOffset(model?.pairs.get(upstream)),
        );
      },
    };
  }

  /** Run time at a quantile in milliseconds. */
  estimateQuantileMs(
    input: RunEstimateInput,
    quantile: RunTimeQuantile,
  ): number {
    const estimate = this.estimate(input);
    return quantile === 'p50' ? estimate.p50Ms : estimate.p95Ms;
  }

  /** Standard deviation of the logarithm of a kind's run times. */
  getLogDeviation(team: string, kind: string): number {
    return this.kinds.get(`${team}/${kind}`)?.distribution.scale ?? 1;
  }

  /** Time factor of an upstream; 1 is average, 2 takes twice as long. */
  speedFactor(upstream: string): number {
    return Math.exp(this.upstreams.get(upstream)?.value ?? 0);
  }

  /** Runs measured on an upstream, weighted by the age of their reports. */
  getUpstreamSamples(upstream: string): number {
    return this.upstreams.get(upstream)?.weight ?? 0;
  }

  /** Typical run time of a kind on an average upstream, if it was measured. */
  estimateKindMs(team: string, kind: string): number | undefined {
    const found = this.kinds.get(`${team}/${kind}`)?.distribution;
    return found && Math.exp(found.location + found.getQuantile('p50'));
  }

  private getOrCreatePair(model: KindModel, upstream: string): LearnedOffset {
    let pair = model.pairs.get(upstream);
    if (!pair) {
      pair = newOffset();
      this.pairCount++;
    } else model.pairs.delete(upstream);
    // Inserting it again keeps the map in the order of use.
    model.pairs.set(upstream, pair);
    if (this.pairCount > this.maxPairs) this.evictPair();
    return pair;
  }

  /** Evicts the oldest pair of the least recently used kind with pairs. */
  private evictPair(): void {
    for (const {pairs} of this.kinds.values()) {
      for (const upstream of pairs.keys()) {
        pairs.delete(upstream);
        this.pairCount--;
        return;
      }
    }
  }
}

/** Offset of a pair, shrunk towards zero while it rests on few runs. */
function shrinkPairOffset(pair: LearnedOffset | undefined): number {
  return pair
    ? (pair.value * pair.weight) / (pair.weight + PAIR_SHRINKAGE_RUNS)
    : 0;
}

function newOffset(): LearnedOffset {
  return {value: 0, weight: 0};
}
