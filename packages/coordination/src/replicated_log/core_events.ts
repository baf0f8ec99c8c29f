/** Events and effects: the inputs and outputs of the log's core. */
import type {LogCoreState} from './core_state.js';
import type {LogEntry, LogSnapshot} from './log_entries.js';
import type {LogMessage} from './log_messages.js';
import type {MemberId} from './members.js';

/** Input of the core. `now` is in milliseconds, `random` in [0, 1). */
export type LogEvent<C> = {
  readonly now: number;
  readonly random: number;
} & (
  | {readonly type: 'tick'}
  | {
      readonly type: 'receive';
      readonly from: MemberId;
      readonly message: LogMessage<C>;
    }
  | {
      readonly type: 'propose';
      readonly commands: readonly C[];
      /** Approximate size of the commands in memory. */
      readonly bytes?: number;
      readonly durable: boolean;
    }
  | {readonly type: 'synced'; readonly index: number; readonly term: number}
  | {readonly type: 'storage-failed'}
  | {readonly type: 'read'; readonly id: number}
  | {readonly type: 'registered'; readonly member: MemberId}
  | {readonly type: 'peer-lost'; readonly name: string}
  | {readonly type: 'transfer'; readonly to: MemberId}
  | {
      readonly type: 'snapshot-taken';
      readonly index: number;
      readonly data: Uint8Array;
    }
);

/** Output of the core. Storage effects must be carried out in order. */
export type LogEffect<C> =
  | {
      readonly type: 'send';
      readonly to: MemberId;
      readonly message: LogMessage<C>;
      /** Whether to hold the message until the last `save-vote` is synced. */
      readonly afterVoteSync: boolean;
    }
  | {
      readonly type: 'save-vote';
      readonly term: number;
      readonly votedFor: string | null;
    }
  | {readonly type: 'append'; readonly entries: readonly LogEntry<C>[]}
  | {readonly type: 'truncate'; readonly fromIndex: number}
  | {
      readonly type: 'save-snapshot';
      readonly snapshot: LogSnapshot;
      readonly keepSuffix: boolean;
    }
  | {readonly type: 'read-ready'; readonly id: number}
  | {readonly type: 'read-refused'; readonly id: number};

/** State after a step, and the effects to carry out. */
export interface StepResult<C> {
  readonly state: LogCoreState<C>;
  readonly effects: readonly LogEffect<C>[];
}
