/** Errors of the link layer. */
import {MustardferryError} from '@mustardferry/model';

/** The peer could not be reached, or its connection broke. */
export class PeerUnreachableError extends MustardferryError {
  readonly code = 'peer-unreachable';
}

/** The peer did not reply in time; the request may have been handled. */
export class PeerTimeoutError extends MustardferryError {
  readonly code = 'peer-timeout';
}

/** The peer replied with an error of its own. */
export class PeerRemoteError extends MustardferryError {
  readonly code = 'peer-remote-error';
}

/** The peer sent something that does not follow the protocol. */
export class PeerProtocolError extends MustardferryError {
  readonly code = 'peer-protocol';
}

/** No connection to the upstream could be opened; nothing was sent. */
export class UpstreamNotReachedError extends MustardferryError {
  readonly code = 'upstream-not-reached';
}

/** The exchange broke after the request may have reached the upstream. */
export class UpstreamExchangeError extends MustardferryError {
  readonly code = 'upstream-exchange-broken';
}

/** The upstream sent a reply that does not follow the protocol. */
export class UpstreamProtocolError extends MustardferryError {
  readonly code = 'upstream-protocol';
}
