/** What a member tells others about the group. */
import type {LogStatus} from '@mustardferry/coordination';

import type {GroupView} from '../messages/calls.js';

/** What a view is made of. */
export interface ViewInput {
  readonly address: string;
  /** Null for a member without a vote. */
  readonly status: LogStatus | null;
  /** Newest view that another member told. */
  readonly told: GroupView | null;
  /** Members that have connected. */
  readonly others: readonly string[];
  /** Whether this member answers calls as the leader. */
  readonly leads: boolean;
}

/** The view from the log, or without a vote the one that others told. */
export function currentView(input: ViewInput): GroupView {
  const {address, status, told, others, leads} = input;
  const voters = status?.voters.map(({name}) => name) ?? told?.voters ?? [];
  const members = [...new Set([address, ...voters, ...others])].sort();
  if (!status || status.role === 'learner') {
    const {term = 0, leader = null} = told ?? {};
    return {term, leader, voters, members};
  }
  const {term, leader} = status;
  const isReady = leader?.name !== address || leads;
  return {
    term,
    leader: isReady ? (leader?.name ?? null) : null,
    voters,
    members,
  };
}
