/** The view of the group that a member sends to its peers, and when. */
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

/**
 * Interval in ms at which an unchanged view is sent, for the reading of the
 * sender's clock with it: two clocks drift apart by some milliseconds meanwhile.
 */
const REFRESH_INTERVAL_MS = 60_000;

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

/** Remembers the view that was sent last. */
export class ViewSchedule {
  private lastText = '';
  private lastSentAt = Number.NEGATIVE_INFINITY;

  /** Whether a view has to be sent; if so, it counts as sent. */
  isDue(view: GroupView): boolean {
    const text = JSON.stringify(view);
    const now = performance.now();
    const isFresh = now - this.lastSentAt < REFRESH_INTERVAL_MS;
    if (text === this.lastText && isFresh) return false;
    this.lastText = text;
    this.lastSentAt = now;
    return true;
  }
}
