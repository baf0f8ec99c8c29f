/** Policies that are compared with each other in otherwise equal runs. */
import {MustardferryError, type PolicyNames} from '@mustardferry/model';

/** A name of a policy is not known. */
export class UnknownPolicyError extends MustardferryError {
  readonly code = 'unknown-policy';
}

/** This version first, then the baselines. */
export const POLICIES: Readonly<Record<string, PolicyNames>> = {
  'this-version': {
    routing: 'expected-end',
    sharing: 'weighted-fair',
    hedging: 'expected-gain',
  },
  'fifo-random': {
    routing: 'random',
    sharing: 'first-in-first-out',
    hedging: 'off',
  },
  'least-outstanding': {
    routing: 'least-outstanding',
    sharing: 'first-in-first-out',
    hedging: 'off',
  },
};

/**
 * Finds a policy by name.
 *
 * @throws UnknownPolicyError naming the known ones.
 */
export function policyNamed(name: string): PolicyNames {
  const policy = POLICIES[name];
  if (policy !== undefined) return policy;
  const known = Object.keys(POLICIES).join(', ');
  throw new UnknownPolicyError(`no policy ${name}; there are ${known}`);
}
