/** Kinds of request of both users, as named in examples/. */

/** A user of the product; the name of its folder in examples/. */
export type User = 'coop' | 'scheduler';

/** One kind with its part in its user's jobs. */
export interface MixKind {
  readonly user: User;
  readonly team: string;
  readonly kind: string;
  /** Part of the user's jobs; the parts of a user sum to 1. */
  readonly part: number;
  readonly urgent: boolean;
  readonly repeatable: boolean;
}

export const MIX_KINDS: readonly MixKind[] = [
  mixKind('coop', 'payments', 'payment-posting', 0.4, false),
  mixKind('coop', 'advisors', 'plan-statement', 0.35, true),
  mixKind('coop', 'undertakers', 'coverage-check', 0.25, true),
  mixKind('scheduler', 'homeowners', 'slot-confirmation', 0.3, false),
  mixKind('scheduler', 'crews', 'recoat-quote', 0.3, true),
  mixKind('scheduler', 'dispatchers', 'sander-availability', 0.4, true),
];

function mixKind(
  user: User,
  team: string,
  kind: string,
  part: number,
  repeatable: boolean,
): MixKind {
  // Both users declare all of their kinds as urgent.
  return {user, team, kind, part, urgent: true, repeatable};
}

/** The kinds of some users. */
export function kindsOf(users: readonly User[]): readonly MixKind[] {
  return MIX_KINDS.filter(kind => users.includes(kind.user));
}
