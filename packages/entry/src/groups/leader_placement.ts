/** Decides which voter should lead a record group instead of this one. */
import type {MemberId} from '@mustardferry/coordination';

import type {GroupDefinition} from './group_members.js';

/**
 * Whether this incarnation of a voter is reachable and not shutting down. A
 * transfer to a former incarnation fails and costs the leader its lease.
 */
export type CanLead = (voter: MemberId) => boolean;

/**
 * Voter that a leader hands the group to, or undefined to keep it. The
 * preferred leader spreads groups over instances; a voter lent by a neighbour
 * gives the group back to any instance of its own data centre.
 */
export function betterLeader(
  self: string,
  definition: GroupDefinition,
  voters: readonly MemberId[],
  canLead: CanLead,
): MemberId | undefined {
  const locals = localVoters(definition, voters).filter(
    voter => voter.name !== self && canLead(voter),
  );
  const preferred = locals.find(
    ({name}) => name === definition.preferredLeader,
  );
  if (preferred !== undefined) return preferred;
  const isLocal = localVoters(definition, voters).some(
    ({name}) => name === self,
  );
  return isLocal ? undefined : locals[0];
}

/** Voter that takes the group over from an instance that shuts down. */
export function successorOf(
  self: string,
  definition: GroupDefinition,
  voters: readonly MemberId[],
  canLead: CanLead,
): MemberId | undefined {
  const others = voters.filter(voter => voter.name !== self && canLead(voter));
  const locals = localVoters(definition, others);
  return locals[0] ?? others[0];
}

function localVoters(
  definition: GroupDefinition,
  voters: readonly MemberId[],
): readonly MemberId[] {
  const locals = new Set(
    definition.members
      .filter(({dataCentre}) => dataCentre === definition.dataCentre)
      .map(({name}) => name),
  );
  return voters.filter(({name}) => locals.has(name));
}
