/** Decides whether a generation of a record group can still form a quorum. */

/** What a member of the group is known to have reported. */
export interface MemberReport {
  readonly name: string;
  /** Names of the logs in which it votes; undefined when not reachable. */
  readonly votes: readonly string[] | undefined;
}

/**
 * Whether a majority of the members reports to have no vote in the log. Such a
 * generation has no quorum, whatever its voter set is, while a leader that is
 * only slow or not reachable from here never lets this become true.
 */
export function hasLostQuorum(
  logName: string,
  members: readonly MemberReport[],
): boolean {
  const without = members.filter(
    ({votes}) => votes !== undefined && !votes.includes(logName),
  );
  return without.length * 2 > members.length;
}
