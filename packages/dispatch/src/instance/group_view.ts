/** Builds the view of the group that a member sends to its peers. */
import type {LogStatus} from '@mustardferry/coordination';

import type {GroupView} from '../messages/calls.js';

/** Sources of a view. */
export interface GroupViewOptions {
  readonly address: string;
  /** Status of the log; null until it is open. */
  readonly status: LogStatus | null;
  /** Voters at the group's first start; empty if unknown. */
  readonly firstVoters: readonly string[];
  /** Latest view received from a peer or built here. */
  readonly receivedView: GroupView | null;
  /** Addresses of the members that have connected to this one. */
  readonly knownAddresses: readonly string[];
  /** Whether this member handles calls as the leader. */
  readonly leads: boolean;
}

/** Uses the status of the log on a voter, and else the received view. */
export function createGroupView(options: GroupViewOptions): GroupView {
  const {address, status, receivedView, knownAddresses, leads} = options;
  const firstVoters =
    options.firstVoters.length > 0
      ? options.firstVoters
      : (receivedView?.firstVoters ?? []);
  const voterStatus = status?.role === 'learner' ? undefined : status;
  const voters =
    voterStatus?.voters.map(({name}) => name) ?? receivedView?.voters ?? [];
  const members = [...new Set([address, ...voters, ...knownAddresses])].sort();
  const group = {firstVoters, voters, members};
  if (!voterStatus) {
    const {term = 0, leader = null} = receivedView ?? {};
    return {...group, term, leader};
  }
  const {term, leader} = voterStatus;
  const isReady = leader?.name !== address || leads;
  const name = leader?.name ?? null;
  return {...group, term, leader: isReady ? name : null};
}
