/**
 * Public names for instances that only send calls, such as gateways: they don't
 * load the code of members.
 */
export type {CallObstacle, CallOutcome} from './instance/call_outcome.js';
export {
  LeaderClient,
  type LeaderClientOptions,
} from './instance/leader_client.js';
export {drawOutageRetryAfterS} from './instance/outage_advice.js';
export type {Call, Reply} from './messages/calls.js';
export type {PeerMessage} from './messages/peer_messages.js';
