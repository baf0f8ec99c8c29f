/** Messages on the connections between instances. */
import type {LogMessage, MemberId} from '@mustardferry/coordination';

import type {Call, CallOrigin, GroupView, Reply} from './calls.js';

/** First message on a connection, from the side that opened it. */
export interface Hello {
  readonly type: 'hello';
  readonly role: 'member' | 'gateway';
  readonly address: string;
  /** Incarnation of a voter; empty for other instances. */
  readonly incarnation: string;
}

/** Any message between instances. */
export type PeerMessage =
  | Hello
  | {
      readonly type: 'call';
      readonly id: number;
      readonly call: Call;
      readonly origin: CallOrigin;
    }
  | {readonly type: 'reply'; readonly id: number; readonly reply: Reply}
  | {readonly type: 'view'; readonly view: GroupView}
  | {
      readonly type: 'log';
      readonly from: MemberId;
      readonly message: LogMessage<unknown>;
    };
