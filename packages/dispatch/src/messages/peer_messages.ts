/** Messages on the connections between instances. */
import type {LogMessage, MemberId} from '@mustardferry/coordination';

import type {SpeedSnapshot} from '../owner/upstream_speed.js';
import type {Call, CallOrigin, GroupView, Reply} from './calls.js';
import type {
  OrderMessage,
  OrderOutcomeMessage,
  OrdersEndMessage,
} from './order_messages.js';

/** First message on a connection, from the side that opened it. */
export interface Hello {
  readonly type: 'hello';
  readonly role: 'member' | 'gateway';
  readonly address: string;
  readonly dataCentre: string;
  /** Incarnation of a member; empty for a gateway. */
  readonly incarnation: string;
}

/** Tells the other members the speeds that the leader has learned. */
export interface SpeedsMessage {
  readonly type: 'speeds';
  readonly term: number;
  readonly speeds: SpeedSnapshot;
}

/** A message between instances. */
export type PeerMessage =
  | Hello
  | OrderMessage
  | OrderOutcomeMessage
  | OrdersEndMessage
  | SpeedsMessage
  | {
      readonly type: 'call';
      readonly id: number;
      readonly call: Call;
      readonly origin: CallOrigin;
    }
  | {readonly type: 'reply'; readonly id: number; readonly reply: Reply}
  | {
      readonly type: 'view';
      readonly view: GroupView;
      /** Reading of the sender's clock; absent from earlier programs. */
      readonly clockMs?: number;
    }
  | {
      readonly type: 'log';
      readonly from: MemberId;
      readonly message: LogMessage<unknown>;
    };
