/** Creates the decision policies that are selected in the settings. */
import {
  ExpectedEndRouting,
  ExpectedGainHedging,
  FirstInFirstOutSharing,
  type HedgingPolicy,
  LeastOutstandingRouting,
  NoHedging,
  RandomRouting,
  type RetryBudget,
  type RoutingPolicy,
  type RunTimeEstimator,
  type SharingPolicy,
  TwoChoicesRouting,
  WeightedFairSharing,
} from '@mustardferry/decisions';
import {assertNever, type PolicyNames} from '@mustardferry/model';
import prand from 'pure-rand';

/** Creates the routing policy with the given name. */
export function createRouting(
  name: PolicyNames['routing'],
  estimator: RunTimeEstimator,
  seed: number,
): RoutingPolicy {
  switch (name) {
    case 'expected-end':
      return new ExpectedEndRouting(estimator);
    case 'two-choices':
      return new TwoChoicesRouting(prand.xoroshiro128plus(seed));
    case 'least-outstanding':
      return new LeastOutstandingRouting();
    case 'random':
      return new RandomRouting(prand.xoroshiro128plus(seed));
    default:
      return assertNever(name);
  }
}

/** Creates the sharing policy with the given name. */
export function createSharing(name: PolicyNames['sharing']): SharingPolicy {
  switch (name) {
    case 'weighted-fair':
      return new WeightedFairSharing();
    case 'first-in-first-out':
      return new FirstInFirstOutSharing();
    default:
      return assertNever(name);
  }
}

/** Creates the hedging policy with the given name. */
export function createHedging(
  name: PolicyNames['hedging'],
  estimator: RunTimeEstimator,
  budget: RetryBudget,
): HedgingPolicy {
  switch (name) {
    case 'expected-gain':
      return new ExpectedGainHedging(estimator, budget);
    case 'off':
      return new NoHedging();
    default:
      return assertNever(name);
  }
}
