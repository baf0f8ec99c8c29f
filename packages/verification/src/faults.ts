/** Faults that the checker can seed, each to show that it would be found. */

/** Names of the seeded faults. */
export const FAULTS = [
  'vote-after-lost-memory',
  'acknowledge-before-sync',
  'no-epoch-check',
  'forward-to-non-home',
  'start-before-sync',
  'serve-before-recovery',
  'repaired-at-commit',
  'join-before-registration',
  'join-after-abandonment',
  'start-before-settled',
  'no-token-check',
  'requeue-before-lease-end',
  'requeue-unanswered-start',
  'lose-runs-of-old-life',
  'acknowledge-before-commit',
] as const;

/** A seeded fault. */
export type Fault = (typeof FAULTS)[number];
