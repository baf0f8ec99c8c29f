/** How a replicated log reaches its other members. */
import type {LogMessage} from './log_messages.js';
import type {MemberId} from './members.js';

/**
 * Sends messages without waiting. Messages may be lost, repeated, delayed and
 * reordered. The receiving side calls `ReplicatedLog.receive` with the id of
 * the sender. Messages are routed by member name; the message carries the
 * incarnation that it is meant for.
 */
export abstract class LogTransport<C> {
  abstract send(to: MemberId, message: LogMessage<C>): void;
}
