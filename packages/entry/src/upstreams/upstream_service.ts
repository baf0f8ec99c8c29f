/** Shares the registry of upstreams with the other instances of the data centre. */
import {
  type RegisteredUpstream,
  type UpstreamEvent,
  type UpstreamPeerMessage,
  UpstreamRegistry,
} from '@mustardferry/coordination';
import {
  type AnnounceReply,
  type InstanceSettings,
  type UpstreamAnnouncement,
  type UpstreamId,
  upstreamKey,
  type UpstreamView,
  type UsageReport,
} from '@mustardferry/model';
import type {Logger, Metrics} from '@mustardferry/runtime';

import type {UpstreamMonitor} from '../dispatch/upstream_monitor.js';
import {fail} from '../http/problems.js';
import type {PeerNetwork} from '../peers/peer_network.js';
import type {SlotService} from '../slots/slot_service.js';
import type {UpstreamPool} from './upstream_pool.js';

/** Options of {@link UpstreamService}. */
export interface UpstreamServiceOptions {
  readonly settings: InstanceSettings;
  readonly network: PeerNetwork;
  readonly pool: UpstreamPool;
  readonly slots: SlotService;
  readonly monitor: UpstreamMonitor;
  /** Called when an upstream has become available. */
  readonly onUpstreamAvailable: () => void;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

const EXPIRY_CHECK_PERIOD_MS = 100;
const SUMMARY_PERIOD_MS = 1_000;
const MESSAGE_TIMEOUT_MS = 1_000;

/** Synchronizes the registry with peers and applies its events. */
export class UpstreamService {
  readonly name = 'upstream-service';
  private readonly registry: UpstreamRegistry;
  private readonly timers: readonly NodeJS.Timeout[];
  private readonly peers: readonly string[];
  private flushScheduled = false;

  constructor(private readonly options: UpstreamServiceOptions) {
    const {settings} = options;
    this.registry = new UpstreamRegistry({
      instance: settings.name,
      session: Date.now(),
      expiryMs: settings.upstreamExpiryMs,
    });
    this.peers = settings.instances
      .filter(
        ({name, dataCentre}) =>
          name !== settings.name && dataCentre === settings.dataCentre,
      )
      .map(({name}) => name);
    this.registry.subscribe(event => this.handleEvent(event));
    this.timers = [
      setInterval(() => this.expire(), EXPIRY_CHECK_PERIOD_MS),
      setInterval(() => this.sendSummary(), SUMMARY_PERIOD_MS),
    ];
  }

  /** Handles the announcement or renewal of an upstream. */
  announce(announcement: UpstreamAnnouncement): AnnounceReply {
    const {settings} = this.options;
    if (announcement.dataCentre !== settings.dataCentre) {
      fail(
        'invalid-body',
        `dataCentre: this instance serves ${settings.dataCentre}.`,
      );
    }
    const result = this.registry.announce(announcement, performance.now());
    this.scheduleFlush();
    const renewAfterMs = settings.upstreamRenewalMs;
    if (result.accepted) return {accepted: true, renewAfterMs};
    return {accepted: false, reason: result.reason, renewAfterMs};
  }

  /** Stops new work for a leaving upstream, on all instances. */
  leave(id: UpstreamId): boolean {
    const known = this.registry.leave(id);
    this.scheduleFlush();
    return known;
  }

  reportUsage(report: UsageReport): void {
    this.registry.reportUsage(report, performance.now());
  }

  /** Handles a message from the registry of a peer. */
  receiveMessage(
    message: UpstreamPeerMessage,
  ): ReturnType<UpstreamRegistry['receiveMessage']> {
    return this.registry.receiveMessage(message, performance.now());
  }

  /** Sends the full registry to a peer whose connection has just opened. */
  sendFullState(peer: string): void {
    if (!this.peers.includes(peer)) return;
    this.scheduleFlush();
    this.sendMessage(peer, this.registry.full());
  }

  listViews(): readonly UpstreamView[] {
    return this.registry.list().map(upstream => this.view(upstream));
  }

  close(): void {
    for (const timer of this.timers) clearInterval(timer);
  }

  private view(upstream: RegisteredUpstream): UpstreamView {
    const {announcement, state, holder, confirmedAtMs} = upstream;
    const {pool, slots} = this.options;
    const key = upstreamKey(announcement);
    const candidate = pool.candidates.get(key);
    const unused = state === 'available' && candidate?.available === false;
    const reason = pool.allowsStart(key) ? 'ejected' : 'evacuated';
    return {
      announcement,
      state: unused ? reason : state,
      holder,
      lastRenewalMsAgo: Math.round(performance.now() - confirmedAtMs),
      creditsHere: slots.getHeldCredits(key),
      runningHere: candidate?.running ?? 0,
    };
  }

  private handleEvent({type, announcement}: UpstreamEvent): void {
    const {pool, slots, monitor, logger, onUpstreamAvailable} = this.options;
    const key = upstreamKey(announcement);
    logger.info(`upstream-${type}`, {upstream: key});
    if (type === 'available') {
      pool.add(announcement);
      monitor.add(key, announcement.capacity.slots);
      slots.addWorker(announcement);
      onUpstreamAvailable();
      return;
    }
    pool.stopNewWork(announcement);
    slots.removeWorker(key);
    pool.removeIfIdle(key);
    if (type === 'expired') monitor.remove(key);
  }

  private expire(): void {
    this.registry.expire(performance.now());
    this.flushChanges();
  }

  private scheduleFlush(): void {
    if (this.flushScheduled) return;
    this.flushScheduled = true;
    setImmediate(() => {
      this.flushScheduled = false;
      this.flushChanges();
    });
  }

  private flushChanges(): void {
    const changes = this.registry.takeChanges();
    if (changes === undefined) return;
    for (const peer of this.peers) this.sendMessage(peer, changes);
  }

  private sendSummary(): void {
    const now = performance.now();
    const usage = this.registry.takeUsage(now);
    const messages = [
      ...this.registry.summary(now),
      ...(usage === undefined ? [] : [usage]),
    ];
    for (const peer of this.peers) {
      for (const message of messages) this.sendMessage(peer, message);
    }
    this.options.metrics.gauge('upstreams.known', this.registry.size);
  }

  private sendMessage(peer: string, message: UpstreamPeerMessage): void {
    const {network, logger} = this.options;
    if (!network.isUp(peer)) return;
    network
      .call(peer, MESSAGE_TIMEOUT_MS, client =>
        client.upstreamMessage.mutate(message),
      )
      .then(({next}) => {
        if (next === 'request-full')
          this.sendMessage(peer, this.registry.full());
      })
      .catch((err: unknown) =>
        logger.debug('upstream-message-lost', {peer, err}),
      );
  }
}
