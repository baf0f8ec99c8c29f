/** Helpers for the seeded generators of pure-rand, which they advance. */
import {type RandomGenerator, unsafeUniformIntDistribution} from 'pure-rand';

const FRACTION_STEPS = 2 ** 30;

/** Draws a uniform number in [0, 1). */
export function randomFraction(rng: RandomGenerator): number {
  return (
    unsafeUniformIntDistribution(0, FRACTION_STEPS - 1, rng) / FRACTION_STEPS
  );
}

/** Draws a uniform integer in [0, count); `count` is at least 1. */
export function randomIndex(rng: RandomGenerator, count: number): number {
  return unsafeUniformIntDistribution(0, count - 1, rng);
}
