/** Opens the replicated log of a group of members. */
import {
  type DiskLogStorage,
  type MemberId,
  ReplicatedLog,
} from '@mustardferry/coordination';
import type {Logger} from '@mustardferry/runtime';

import type {Command, CommandResult} from '../jobs/commands.js';
import type {DispatchState} from '../jobs/dispatch_state.js';
import {toMemberIds} from './first_voters.js';
import type {LeaderClient} from './leader_client.js';
import {LinkTransport} from './link_transport.js';
import {LOG_OPTIONS} from './log_timing.js';
import {getVoterCount} from './voter_placement.js';

/** Options of the log of one member. */
export interface GroupLogOptions {
  readonly self: MemberId;
  /** Addresses of the voters at the first start of the group. */
  readonly firstVoters: readonly string[];
  readonly storage: DiskLogStorage<Command>;
  readonly client: () => LeaderClient;
  readonly machine: DispatchState;
  /** Number of simultaneous member failures to tolerate. */
  readonly toleratedFailures: number;
  readonly logger: Logger;
  /** Called when the log or its storage fails. */
  readonly onFailure: (err: unknown) => void;
}

/** Recovers the log from its storage, and joins the group. */
export function openGroupLog(
  options: GroupLogOptions,
): Promise<ReplicatedLog<Command, CommandResult>> {
  const {self, storage, machine, logger, onFailure} = options;
  return ReplicatedLog.open<Command, CommandResult>({
    ...LOG_OPTIONS,
    self,
    voters: toMemberIds(options.firstVoters),
    storage,
    transport: new LinkTransport(self, options.client),
    machine,
    targetVoters: getVoterCount(options.toleratedFailures),
    onElection: election => logger.info('election-started', {...election}),
    onFailure,
  });
}
