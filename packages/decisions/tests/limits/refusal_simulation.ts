/** Replays seeded load on one pool that refuses what can't end in time. */
import {ReturnSchedule} from '../../src/limits/return_schedule.js';

/** When refused callers are told to come back. */
export type Returning = 'scheduled' | 'after-a-second';

interface Burst {
  readonly kind: number;
  readonly fromMs: number;
  readonly toMs: number;
  readonly factor: number;
}

interface Load {
  readonly seed: number;
  readonly bursts: readonly Burst[];
  readonly capacityDrop?:
    | {readonly fromMs: number; readonly toMs: number; readonly factor: number}
    | undefined;
  readonly returning: Returning;
  /** Fraction of the callers that wait as they are told. */
  readonly obedience: number;
}

interface Result {
  readonly refusals: number;
  /** Most work that came back in one second, as a fraction of the capacity. */
  readonly highestReturn: number;
}

interface Attempt {
  readonly kind: number;
  readonly at: number;
  readonly isReturn: boolean;
}

/** Arrivals a second, work and objective of the kinds; full use is 1 per ms. */
const KINDS = [
  {perSecond: 14, work: 15, objectiveMs: 160},
  {perSecond: 3, work: 120, objectiveMs: 1_500},
  {perSecond: 40, work: 6, objectiveMs: 380},
] as const;

/** Fraction of the capacity that is spare without bursts. */
export const SPARE_FRACTION =
  1 - KINDS.reduce((sum, kind) => sum + kind.perSecond * kind.work, 0) / 1_000;

const LENGTH_MS = 16_000;
/** Callers come back at most this often. */
const MAX_RETURNS = 5;
const DISOBEDIENT_WAIT_MS = 200;
const SECOND_MS = 1_000;
/** Time constant in ms of the measured demand. */
const DEMAND_WINDOW_MS = 1_000;

export function simulateRefusals(load: Load): Result {
  const random = createRandom(load.seed);
  const arrivals: Attempt[][] = Array.from({length: 60 * SECOND_MS}, () => []);
  const push = (attempt: Attempt) => {
    arrivals[Math.floor(attempt.at)]?.push(attempt);
  };
  let firstAttempts = 0;
  KINDS.forEach(({perSecond}, kind) => {
    for (let at = 0; at < LENGTH_MS;) {
      const burst = load.bursts.find(
        each => each.kind === kind && at >= each.fromMs && at < each.toMs,
      );
      const rate = (perSecond * (burst?.factor ?? 1)) / SECOND_MS;
      at -= Math.log(1 - random()) / rate;
      if (at >= LENGTH_MS) break;
      firstAttempts++;
      push({kind, at, isReturn: false});
    }
  });
  const schedule = new ReturnSchedule();
  const returned = new Map<number, number>();
  let queued = 0;
  let demand = 0;
  let refusals = 0;
  arrivals.forEach((attempts, now) => {
    const drop = load.capacityDrop;
    const isDropped = drop && now >= drop.fromMs && now < drop.toMs;
    const capacity = isDropped ? drop.factor : 1;
    queued = Math.max(0, queued - capacity);
    demand *= Math.exp(-1 / DEMAND_WINDOW_MS);
    for (const {kind, isReturn} of attempts) {
      const {work, objectiveMs} = KINDS[kind] ?? KINDS[0];
      demand += work / DEMAND_WINDOW_MS;
      if (isReturn) {
        const second = Math.floor(now / SECOND_MS);
        returned.set(second, (returned.get(second) ?? 0) + work);
      }
      const backlogMs = queued / capacity;
      if (backlogMs + work / capacity <= objectiveMs) {
        queued += work;
        continue;
      }
      refusals++;
      if (refusals > MAX_RETURNS * firstAttempts) continue;
      const after = schedule.reserve({
        now,
        work,
        capacityPerMs: capacity,
        demandPerMs: demand,
        backlogMs,
        objectiveMs,
      });
      const toldMs =
        load.returning === 'scheduled' ? after * SECOND_MS : SECOND_MS;
      const waitMs = random() < load.obedience ? toldMs : DISOBEDIENT_WAIT_MS;
      push({kind, at: now + waitMs, isReturn: true});
    }
  });
  return {
    refusals,
    highestReturn: Math.max(0, ...returned.values()) / SECOND_MS,
  };
}

/** Linear congruential generator, for the same load in each run. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
}
