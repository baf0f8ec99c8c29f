export {
  PeerProtocolError,
  PeerRemoteError,
  PeerTimeoutError,
  PeerUnreachableError,
  UpstreamExchangeError,
  UpstreamNotReachedError,
  UpstreamProtocolError,
} from './errors.js';
export {FrameChannel, type FrameChannelOptions} from './frame_channel.js';
export {FrameLink, type FrameLinkOptions} from './frame_link.js';
export {CLOSE_WATCH, LOOSE_WATCH, type Watch} from './frame_options.js';
export {FrameServer, type FrameServerOptions} from './frame_server.js';
export {type LinkBytes, LinkTraffic} from './link_traffic.js';
export {LogOutbox, type StreamConnection} from './log_outbox.js';
export {PEER_ENCODER} from './peer_encoder.js';
export {type PeerClient, PeerLink, type PeerLinkOptions} from './peer_link.js';
export {
  type ControlFetch,
  type ControlFetchReply,
  type ControlReply,
  type ExplainReply,
  type InstanceStatus,
  type JobRequest,
  type LogEnvelope,
  type OwnerReply,
  type PeerIdentity,
  PeerService,
  type SlotReply,
  type SlotReport,
  type SubmitToOwner,
} from './peer_messages.js';
export {type PeerRouter} from './peer_router.js';
export {PEER_PATH, PeerServer, type PeerServerOptions} from './peer_server.js';
export {
  type TaskAttempt,
  UpstreamLink,
  type UpstreamLinkOptions,
} from './upstream_link.js';
