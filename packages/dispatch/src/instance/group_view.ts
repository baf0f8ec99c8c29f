/** What a member tells others about the group. */
import type {LogStatus} from '@mustardferry/coordination';

import type {GroupView} from '../messages/calls.js';

/** What a view is made of. */
export interface ViewInput {
  readonly address: string;
  /** Null for a member without a vote. */
  readonly status: LogStatus | null;
  /** Voters of the first start; empty while unknown. */
  readonly firstVoters: readonly string[];
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
  const firstVoters =
    input.firstVoters.length > 0
      ? input.firstVoters
      : (told?.firstVoters ?? []);
  const own = status?.role === 'learner' ? undefined : status;
  const voters = own?.voters.map(({name}) => name) ?? told?.voters ?? [];
  const members = [...new Set([address, ...voters, ...others])].sort();
  const group = {firstVoters, voters, members};
  if (!own) {
    const {term = 0, leader = null} = told ?? {};
    return {...group, term, leader};
  }
  const {term, leader} = own;
  const isReady = leader?.name !== address || leads;
  const name = leader?.name ?? null;
  return {...group, term, leader: isReady ? name : null};
}
