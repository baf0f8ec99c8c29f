/** Spreads the votes, so that no data centre holds a majority of them. */

/** What is known of a member. */
export interface KnownMember {
  readonly address: string;
  readonly dataCentre: string;
}

/** Where the votes are. */
export interface VoterPlaces {
  readonly targetVoters: number;
  /** Addresses of the members with a vote that are connected. */
  readonly voters: readonly string[];
  readonly members: readonly KnownMember[];
}

/** Whether a member may get a vote, or keep it under a new incarnation. */
export function mayVote(member: KnownMember, places: VoterPlaces): boolean {
  const {targetVoters, voters, members} = places;
  if (voters.includes(member.address)) return true;
  const dataCentres = new Set(members.map(({dataCentre}) => dataCentre)).size;
  // With fewer than three data centres one of them holds half of the votes.
  const most = Math.max(
    Math.floor(targetVoters / 2),
    Math.ceil(targetVoters / dataCentres),
  );
  const near = members.filter(
    ({address, dataCentre}) =>
      dataCentre === member.dataCentre && voters.includes(address),
  );
  return near.length < most;
}

/** Votes needed for a majority to survive the loss of some members. */
export function votersFor(lossesBorne: number): number {
  return 2 * lossesBorne + 1;
}
