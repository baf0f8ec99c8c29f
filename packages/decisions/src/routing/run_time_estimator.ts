/**
 * Learned run times of kinds on upstreams. Works on logarithms: the run time
 * of a kind on an upstream is the kind's location plus the upstream's speed
 * offset plus an offset of the pair. All are exponentially weighted means of
 * residuals that are clipped as in Huber's M-estimator (Huber, 1964), so one
 * outlier moves an estimate by a bounded amount.
 */
import {LruMap} from '../common/lru_map.js';
import {RunDistribution, type RunQuantile} from './run_distribution.js';

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

/** What an estimate is asked for. */
export interface RunEstimateInput {
  readonly team: string;
  readonly kind: string;
  readonly upstream: string;
  /** Declared run time, used until a run of the kind was measured. */
  readonly declaredMs: number;
}

/** Where an estimate came from, from the most to the least specific. */
export type EstimateSource = 'pair' | 'kind-and-speed' | 'declared';

/** Estimated run time in milliseconds. */
export interface RunEstimate {
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly samples: number;
  readonly source: EstimateSource;
}

interface Offset {
  value: number;
  weight: number;
}

/** What is known about a kind. */
interface KindModel {
  readonly distribution: RunDistribution;
  readonly pairs: Map<string, Offset>;
}

/** Estimates for one kind, for many upstreams in a row. */
export interface KindEstimates {
  /** Expected run time on an upstream in milliseconds. */
  p50Ms(upstream: string): number;
}

const DEFAULT_AGE_HALF_LIFE_MS = 10_000;
/** Reports with less weight than this, about 7 half-lives old, are dropped. */
const MIN_REPORT_WEIGHT = 0.01;
/** Residuals beyond this many scales are clipped. */
const CLIP_SCALES = 2.5;
/** Smallest learning rates: a speed change shows after about 1 / rate runs. */
const KIND_RATE = 0.02;
const UPSTREAM_RATE = 0.03;
const PAIR_RATE = 0.04;
const MEAN_RATE = 0.005;
/** Runs of a pair at which its own offset counts half. */
const PAIR_TRUST = 8;
/** Runs that a new upstream is assumed to have at average speed. */
const SPEED_PRIOR = 1;
const MIN_RUN_MS = 0.05;

function learn(offset: Offset, step: number, rate: number, w: number): void {
  offset.weight += w;
  const gain = Math.min(1, w * Math.max(rate, 1 / (offset.weight + 1)));
  offset.value += gain * step;
}

/** Estimator with bounded memory; the least recently used entries go first. */
export class RunTimeEstimator {
  private readonly kinds: LruMap<KindModel>;
  private readonly upstreams: LruMap<Offset>;
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
    const x = Math.log(Math.max(MIN_RUN_MS, run.runMs));
    const model = this.kinds.ensure(`${run.team}/${run.kind}`, () => ({
      distribution: new RunDistribution(x),
      pairs: new Map<string, Offset>(),
    }));
    const kind = model.distribution;
    const speed = this.upstreams.ensure(run.upstream, newOffset);
    const pair = this.pairOf(model, run.upstream);
    const clip = CLIP_SCALES * kind.scale;
    const bounded = (r: number) => Math.max(-clip, Math.min(clip, r));
    const residual = x - kind.location - speed.value;
    kind.observe(residual - trusted(pair), weight);
    learn(kind, bounded(residual), KIND_RATE, weight);
    if (kind.weight > 1) {
      const step = bounded(residual) - (SPEED_PRIOR * speed.value) / 64;
      learn(speed, step, UPSTREAM_RATE, weight);
    }
    const rest = x - kind.location - speed.value;
    learn(pair, bounded(rest) - pair.value, PAIR_RATE, weight);
    this.observeMean(run.runMs / Math.exp(speed.value), weight);
  }

  /** Mean run time of all tasks on an average upstream, once one was seen. */
  get meanRunMs(): number | undefined {
    return this.meanWeight > 0 ? this.mean : undefined;
  }

  private observeMean(runMs: number, weight: number): void {
    this.meanWeight += weight;
    const gain = weight * Math.max(MEAN_RATE, 1 / this.meanWeight);
    this.mean += Math.min(1, gain) * (runMs - this.mean);
  }

  /** Estimates a run; hierarchical from pair to kind to the declaration. */
  estimate(question: RunEstimateInput): RunEstimate {
    const {declaredMs, upstream} = question;
    const speed = this.upstreams.get(upstream)?.value ?? 0;
    const model = this.kinds.get(`${question.team}/${question.kind}`);
    if (!model) {
      const p50Ms = declaredMs * Math.exp(speed);
      return {p50Ms, p95Ms: 3 * p50Ms, samples: 0, source: 'declared'};
    }
    const {distribution, pairs} = model;
    const pair = pairs.get(upstream);
    const samples = pair?.weight ?? 0;
    const centre = distribution.location + speed + trusted(pair);
    return {
      p50Ms: Math.exp(centre + distribution.quantile('p50')),
      p95Ms: Math.exp(centre + distribution.quantile('p95')),
      samples,
      source: samples >= PAIR_TRUST ? 'pair' : 'kind-and-speed',
    };
  }

  /** The p50 estimates of a kind; looks the kind up once. */
  estimatesOf(team: string, kind: string, declaredMs: number): KindEstimates {
    const model = this.kinds.get(`${team}/${kind}`);
    const centre = model
      ? model.distribution.location + model.distribution.quantile('p50')
      : Math.log(Math.max(MIN_RUN_MS, declaredMs));
    return {
      p50Ms: upstream => {
        const speed = this.upstreams.get(upstream)?.value ?? 0;
        return Math.exp(centre + speed + trusted(model?.pairs.get(upstream)));
      },
    };
  }

  /** Run time at a quantile in milliseconds. */
  quantileMs(question: RunEstimateInput, quantile: RunQuantile): number {
    const estimate = this.estimate(question);
    return quantile === 'p50' ? estimate.p50Ms : estimate.p95Ms;
  }

  /** Standard deviation of the logarithm of a kind's run times. */
  spread(team: string, kind: string): number {
    return this.kinds.get(`${team}/${kind}`)?.distribution.scale ?? 1;
  }

  /** Time factor of an upstream; 1 is average, 2 takes twice as long. */
  speedFactor(upstream: string): number {
    return Math.exp(this.upstreams.get(upstream)?.value ?? 0);
  }

  /** Runs measured on an upstream, weighted by the age of their reports. */
  upstreamSamples(upstream: string): number {
    return this.upstreams.get(upstream)?.weight ?? 0;
  }

  /** Typical run time of a kind on an average upstream, if it was measured. */
  kindMs(team: string, kind: string): number | undefined {
    const found = this.kinds.get(`${team}/${kind}`)?.distribution;
    return found && Math.exp(found.location + found.quantile('p50'));
  }

  private pairOf(model: KindModel, upstream: string): Offset {
    let pair = model.pairs.get(upstream);
    if (!pair) {
      pair = newOffset();
      this.pairCount++;
    } else model.pairs.delete(upstream);
    // Set again, so that the order of the map is the order of use.
    model.pairs.set(upstream, pair);
    if (this.pairCount > this.maxPairs) this.dropPair();
    return pair;
  }

  /** Forgets the oldest pair of the kind that was unused for longest. */
  private dropPair(): void {
    for (const {pairs} of this.kinds.values()) {
      for (const upstream of pairs.keys()) {
        pairs.delete(upstream);
        this.pairCount--;
        return;
      }
    }
  }
}

/** Offset of a pair, weighted by the number of runs behind it. */
function trusted(pair: Offset | undefined): number {
  return pair ? (pair.value * pair.weight) / (pair.weight + PAIR_TRUST) : 0;
}

function newOffset(): Offset {
  return {value: 0, weight: 0};
}
