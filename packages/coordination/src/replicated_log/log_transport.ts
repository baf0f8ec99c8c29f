/** Interface for sending messages to other members. */
import type {LogMessage} from './log_messages.js';
import type {MemberId} from './members.js';

/**
 * Sends messages without waiting. Messages may be lost, duplicated, delayed and
 * reordered. The receiving side calls `ReplicatedLog.receive` with the id of
 * the sender. Messages are routed by member name; the message itself contains
 * the incarnation of its addressee.
 */
export abstract class LogTransport<C> {
  abstract send(to: MemberId, message: LogMessage<C>): void;
}
