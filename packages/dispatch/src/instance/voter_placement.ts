/** Spreads the voters: none of three or more data centres has a majority. */

/** Address and data centre of a member. */
export interface MemberLocation {
  readonly address: string;
  readonly dataCentre: string;
}

/** Distribution of the voters over the members. */
export interface VoterPlacement {
  readonly targetVoters: number;
  /** Addresses of the connected voters; this member counts as connected. */
  readonly voters: readonly string[];
  readonly members: readonly MemberLocation[];
}

/** Whether a member may become a voter, or remain one after a restart. */
export function mayBecomeVoter(
  member: MemberLocation,
  placement: VoterPlacement,
): boolean {
  const {targetVoters, voters, members} = placement;
  if (voters.includes(member.address)) return true;
  const dataCentreCount = new Set(members.map(({dataCentre}) => dataCentre))
    .size;
  // With fewer than three data centres, one has at least half of the voters.
  const maxPerDataCentre = Math.max(
    Math.floor(targetVoters / 2),
    Math.ceil(targetVoters / dataCentreCount),
  );
  const votersInDataCentre = members.filter(
    ({address, dataCentre}) =>
      dataCentre === member.dataCentre && voters.includes(address),
  );
  return votersInDataCentre.length < maxPerDataCentre;
}

/** Returns the voters needed to keep a majority through some failures. */
export function getVoterCount(toleratedFailures: number): number {
  return 2 * toleratedFailures + 1;
}
