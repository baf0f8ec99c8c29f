/** All reason codes of decisions. A code never changes its name. */

/** Description of each reason code, for operators. */
export const REASON_DESCRIPTIONS = {
  'fair-share': 'the team is furthest below its share',
  'arrival-order': 'the task arrived first',
  'aged-task': 'a less urgent task of the team had waited for too long',
  'fastest-end': 'the upstream is expected to end the task soonest',
  'within-job-end': 'a slower upstream still ends before the rest of the job',
  exploration: 'the upstream is new and its speed is being measured',
  'faster-upstream-soon': 'waiting for a faster upstream ends sooner',
  'no-free-upstream': 'no eligible upstream has a free slot credit',
  'two-choices': 'the less loaded of two random upstreams',
  'least-outstanding': 'the upstream with the fewest running tasks',
  'random-upstream': 'a random upstream with a free slot credit',
  admitted: 'the expected waiting time is within the target',
  'queue-full': 'the queue of the kind is full',
  'wait-exceeds-target': 'the expected waiting time exceeds the target',
  'capacity-available': 'an upstream can run the task',
  'upstream-may-announce': 'no suitable upstream has announced itself yet',
  'no-upstream-large-enough': 'the task is larger than every upstream',
  'kind-not-offered': 'no upstream offers the kind',
  'data-centre-evacuated':
    'an operator has evacuated the data centre of the upstreams for the task',
  'quota-zero': 'the quota of the team does not admit the task',
  'never-repeated': 'the kind never repeats and the task may have started',
  'retry-allowed': 'the budget covers another attempt',
  'team-budget-empty': 'the retry budget of the team is used up',
  'global-budget-empty': 'the retry budget of the instance is used up',
  'attempts-exhausted': 'the task used all of its attempts',
  'deadline-passed': 'another attempt would start after the deadline',
  'faulty-task': 'the task failed on several upstreams',
  'hedge-gain': 'the expected gain of a second copy exceeds its cost',
  'hedge-gain-too-small': 'the expected gain is below the cost of a message',
  'hedging-off': 'the policy sends no second copies',
  'consecutive-failures': 'the upstream failed several times in a row',
  'failure-ratio': 'the upstream fails far more often than its peers',
  'ejection-cap': 'too many upstreams are ejected already',
  'upstream-healthy': 'the upstream is in line with its peers',
  'probe-due': 'one task may probe the ejected upstream',
  'probe-waiting': 'the ejected upstream is not due for a probe',
  'gradual-return': 'the upstream recovers and takes limited load',
  'answer-overdue': 'the answer is late for its run-time estimate',
  'answer-not-due': 'the answer is not late yet',
  'queries-exhausted': 'the task was queried as often as allowed',
  'credit-demand': 'credit granted for waiting demand',
  'credit-spread': 'idle credit granted in advance',
  'credit-rebalance': 'credit asked back for another instance',
} as const;

/** A stable reason code. */
export type ReasonCode = keyof typeof REASON_DESCRIPTIONS;

/** Reference to the team's answer that decided, as `team.section.key`. */
export function formatAnswerReference(
  team: string,
  section: string,
  key: string,
): string {
  return `${team}.${section}.${key}`;
}
