/** Links to all other instances, and the streams of log messages. */
import {
  type InstanceStatus,
  type LinkTraffic,
  type LogEnvelope,
  LogOutbox,
  type PeerClient,
  type PeerIdentity,
  PeerLink,
  PeerUnreachableError,
  type StreamConnection,
} from '@mustardferry/links';
import type {InstanceSettings} from '@mustardferry/model';
import type {Logger} from '@mustardferry/runtime';

/** Options of the network. */
export interface PeerNetworkOptions {
  readonly settings: InstanceSettings;
  readonly incarnation: string;
  readonly traffic: LinkTraffic;
  /** Called with each log message that arrives. */
  readonly onLog: (message: LogEnvelope) => void;
  readonly status: () => InstanceStatus;
  readonly onStatus: (status: InstanceStatus) => void;
  /** Called when the link to a peer opened and it sent its status. */
  readonly onPeerUp: (peer: string) => void;
  readonly onPeerDown: (peer: string) => void;
  readonly logger: Logger;
}

const MESSAGE_TIMEOUT_MS = 2_000;
/** Together below the 2 s in which a silent connection is to be replaced. */
const PING_AFTER_MS = 900;
const PONG_TIMEOUT_MS = 700;
/** Repeats the status although a change of it can't be lost unnoticed. */
const STATUS_REPEAT_MS = 60_000;

/** One peer: the link to it, and the stream that it opened from here. */
class Peer {
  readonly link: PeerLink;
  outbox: LogOutbox | undefined;
  status: InstanceStatus | undefined;

  constructor(link: PeerLink) {
    this.link = link;
  }
}

/** Owns the links of an instance. */
export class PeerNetwork {
  readonly name = 'peer-network';
  private readonly peers = new Map<string, Peer>();
  private sentStatus = '';
  private sentRevision = 0;
  private sentAtMs = 0;

  constructor(private readonly options: PeerNetworkOptions) {}

  /** Opens the links; they reconnect by themselves from then on. */
  open(): void {
    const {settings, incarnation} = this.options;
    for (const {name, address} of settings.instances) {
      if (name === settings.name) continue;
      const link = new PeerLink({
        peer: name,
        address,
        token: settings.tokens.instances[0],
        traffic: this.options.traffic,
        pingAfterMs: PING_AFTER_MS,
        pongTimeoutMs: PONG_TIMEOUT_MS,
        self: {name: settings.name, incarnation},
        onLog: messages => this.receive(name, messages),
        onUp: () => void this.peerUp(name),
        onDown: () => this.peerDown(name),
      });
      this.peers.set(name, new Peer(link));
    }
  }

  /** Status of a peer as last received. */
  statusOf(peer: string): InstanceStatus | undefined {
    return this.peers.get(peer)?.status;
  }

  isUp(peer: string): boolean {
    return this.peers.get(peer)?.link.isUp ?? false;
  }

  /** Records a status that a peer sent by itself. */
  noteStatus(status: InstanceStatus): void {
    const peer = this.peers.get(status.name);
    if (peer === undefined) return;
    peer.status = status;
    this.options.onStatus(status);
  }

  /**
   * Tells all peers what changed in this instance's status. The revision alone
   * isn't worth a message for each configuration change.
   */
  broadcastStatus(): void {
    this.broadcastIfNew(this.options.status());
  }

  /** Sends a changed revision, and sometimes an unchanged status. */
  refreshStatus(): void {
    const status = this.options.status();
    const overdue = performance.now() - this.sentAtMs >= STATUS_REPEAT_MS;
    const isNew = status.policyRevision !== this.sentRevision;
    if (overdue || isNew) this.sentStatus = '';
    this.broadcastIfNew(status);
  }

  private broadcastIfNew(status: InstanceStatus): void {
    const text = JSON.stringify({...status, policyRevision: 0});
    if (text === this.sentStatus) return;
    this.sentStatus = text;
    this.sentRevision = status.policyRevision;
    this.sentAtMs = performance.now();
    for (const [name, peer] of this.peers) {
      if (peer.link.isUp) void this.greet(name);
    }
  }

  /** Sends a log message without waiting; it may be lost. */
  sendLog(envelope: LogEnvelope): void {
    this.peers.get(envelope.to.name)?.outbox?.push(envelope);
  }

  /** Opens the stream of log messages that a peer receives from here. */
  openStream(to: PeerIdentity, connection: StreamConnection): LogOutbox {
    const outbox = new LogOutbox(connection);
    const peer = this.peers.get(to.name);
    if (peer === undefined) {
      outbox.end();
      return outbox;
    }
    peer.outbox?.end();
    peer.outbox = outbox;
    return outbox;
  }

  /**
   * Calls a peer.
   *
   * @throws PeerUnreachableError, PeerTimeoutError, PeerRemoteError.
   */
  call<T>(
    peer: string,
    timeoutMs: number,
    run: (client: PeerClient, signal: AbortSignal) => Promise<T>,
  ): Promise<T> {
    const found = this.peers.get(peer);
    if (found === undefined) {
      return Promise.reject(new PeerUnreachableError(`no peer named ${peer}`));
    }
    return found.link.call(timeoutMs, run);
  }

  async close(): Promise<void> {
    await Promise.all([...this.peers.values()].map(peer => peer.link.close()));
  }

  /** A message that can't be handled must not end the process. */
  private receive(peer: string, messages: readonly LogEnvelope[]): void {
    for (const message of messages) {
      try {
        this.options.onLog(message);
      } catch (err) {
        this.options.logger.error('log-message-failed', {peer, err});
      }
    }
  }

  private async peerUp(name: string): Promise<void> {
    if (await this.greet(name)) this.options.onPeerUp(name);
  }

  /** Exchanges statuses; false when the peer did not answer. */
  private async greet(name: string): Promise<boolean> {
    try {
      const status = await this.call(name, MESSAGE_TIMEOUT_MS, client =>
        client.hello.mutate(this.options.status()),
      );
      this.noteStatus(status);
      return true;
    } catch (err) {
      this.options.logger.debug('greeting-failed', {peer: name, err});
      return false;
    }
  }

  private peerDown(name: string): void {
    this.options.logger.info('peer-down', {peer: name});
    this.options.onPeerDown(name);
  }
}

/** Stable text form of a peer identity. */
export function peerKey(peer: PeerIdentity): string {
  return `${peer.name}#${peer.incarnation}`;
}
