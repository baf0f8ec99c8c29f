/** One entry instance: its HTTP listener, start and graceful shutdown. */
import {Server as NetServer} from 'node:net';

import {PeerServer} from '@mustardferry/links';
import {dataCentresOf, type InstanceSettings} from '@mustardferry/model';
import {
  createLogger,
  createStatsdMetrics,
  LifecycleManager,
  type Logger,
  type Metrics,
  NullMetrics,
} from '@mustardferry/runtime';
import type {FastifyInstance} from 'fastify';

import {JobGateway} from './gateway/job_gateway.js';
import {LocalOwners} from './gateway/local_owners.js';
import {PeerOwnerCaller} from './gateway/peer_owner_caller.js';
import {AccessControl} from './http/access.js';
import {addEvacuationRoutes} from './http/evacuation_routes.js';
import {addHealthRoutes, type HealthRefusal} from './http/health_routes.js';
import {createHttpServer} from './http/http_server.js';
import {addJobRoutes} from './http/job_routes.js';
import {addOperatorRoutes} from './http/operator_routes.js';
import {addUpstreamRoutes} from './http/upstream_routes.js';
import {InstanceParts} from './instance_parts.js';
import {splitAddress} from './ip_address.js';
import {InstancePeerService} from './peers/instance_peer_service.js';
import {InstanceStorage} from './storage/instance_storage.js';

/** Options of an instance. */
export interface EntryInstanceOptions {
  readonly settings: InstanceSettings;
  readonly logger?: Logger;
  readonly metrics?: Metrics;
}

const DRAIN_CHECK_MS = 50;
/** Time for the load balancer to see that the instance is not ready. */
const BALANCER_NOTICE_MS = 1_000;

/** A running entry instance. */
export class EntryInstance {
  private readonly lifecycle = new LifecycleManager('entry-instance');
  private readonly settings: InstanceSettings;
  private readonly logger: Logger;
  private readonly parts: InstanceParts;
  private readonly app: FastifyInstance;
  private listening = false;
  private draining = false;
  private refusing = false;
  private openRequests = 0;

  private constructor(options: EntryInstanceOptions, storage: InstanceStorage) {
    const {settings} = options;
    const {name, dataCentre, logLevel, limits} = settings;
    const logger =
      options.logger ?? createLogger(logLevel, {instance: name, dataCentre});
    const metrics = options.metrics ?? createMetrics(settings);
    this.settings = settings;
    this.logger = logger;
    this.lifecycle.defer('metrics', () => metrics.close());
    this.lifecycle.defer('storage', () => storage.close());
    this.parts = new InstanceParts({
      settings,
      storage,
      logger,
      metrics,
      isDraining: () => this.draining,
    });
    this.parts.ownedBy(this.lifecycle);
    this.app = createHttpServer({limits, logger});
    this.lifecycle.defer('http', async () => {
      if (this.listening) await this.app.close();
    });
  }

  /**
   * Creates and starts an instance.
   *
   * @throws StorageError when the data folder can't be used.
   */
  static async start(options: EntryInstanceOptions): Promise<EntryInstance> {
    const storage = await InstanceStorage.open(options.settings);
    const instance = new EntryInstance(options, storage);
    try {
      await instance.open();
    } catch (err) {
      await instance.close().catch(() => undefined);
      throw err;
    }
    return instance;
  }

  /** `IP:PORT` that it listens on. */
  get address(): string {
    const bound = this.app.server.address();
    if (bound === null || typeof bound === 'string') return '';
    return `${bound.address}:${bound.port}`;
  }

  /** Closes at once, in the reverse order of creation. */
  close(): Promise<void> {
    return this.lifecycle.close();
  }

  /**
   * Shuts down without cutting a request: turns readiness off, hands owned
   * groups to other instances, waits for what is in flight, closes.
   */
  async drain(): Promise<void> {
    if (this.draining) return;
    this.draining = true;
    this.logger.info('draining');
    this.parts.network.broadcastStatus();
    const startedAt = Date.now();
    while (Date.now() - startedAt < this.settings.drainTimeoutMs) {
      this.parts.groups.handOver();
      const noticed = Date.now() - startedAt >= BALANCER_NOTICE_MS;
      if (noticed) this.refuseConnections();
      if (noticed && this.isIdle) break;
      await new Promise(resolve => setTimeout(resolve, DRAIN_CHECK_MS));
    }
    await this.close();
    this.logger.info('drained');
  }

  /**
   * Accepts no more connections and ends each one with its next response, so
   * that clients move to other instances and no request is cut.
   */
  private refuseConnections(): void {
    if (this.refusing) return;
    this.refusing = true;
    NetServer.prototype.close.call(this.app.server);
  }

  private get isIdle(): boolean {
    return (
      this.openRequests === 0 &&
      this.parts.dispatch.scheduler.ownedTaskCount === 0 &&
      this.parts.groups.ownedGroups.length === 0
    );
  }

  private async open(): Promise<void> {
    this.parts.network.open();
    this.addRoutes();
    await this.app.listen(splitAddress(this.settings.listen));
    this.listening = true;
    await this.parts.control.open();
    this.parts.groups.reconcile();
    const {address} = this;
    const {incarnation} = this.parts;
    this.logger.info('started', {address, incarnation});
  }

  private addRoutes(): void {
    const {settings, app, parts, logger} = this;
    const {control, upstreams, network, groups, directory} = parts;
    const access = new AccessControl(settings.tokens);
    const owners = new LocalOwners(groups);
    const caller = new PeerOwnerCaller(settings.name, owners, network);
    const gateway = new JobGateway({
      settings,
      directory,
      caller,
      logger,
      isEvacuated: name => parts.pool.isEvacuated(name),
    });
    this.countRequests();
    addHealthRoutes(app, {refusal: () => this.refusal()});
    addJobRoutes(app, {
      gateway,
      access,
      limits: settings.limits,
      // A draining instance still forwards what the balancer sends to it.
      refusal: () => (control.hasState ? undefined : 'not-ready'),
    });
    addUpstreamRoutes(app, {upstreams, access});
    addOperatorRoutes(app, {
      instance: settings.name,
      control,
      access,
      shares: () => parts.dispatch.shares.view(),
      upstreams: () => upstreams.listViews(),
      instances: () => parts.instanceViews(),
      drain: () => void this.drain(),
    });
    const dataCentres = dataCentresOf(settings);
    addEvacuationRoutes(app, {control, access, dataCentres});
    this.servePeers(access, owners);
  }

  private countRequests(): void {
    this.app.addHook('onRequest', async () => {
      this.openRequests += 1;
    });
    this.app.addHook('onSend', async (_req, res) => {
      if (this.refusing) void res.header('connection', 'close');
    });
    this.app.addHook('onResponse', async () => {
      this.openRequests -= 1;
    });
  }

  private servePeers(access: AccessControl, owners: LocalOwners): void {
    const {parts} = this;
    const service = new InstancePeerService({
      ...parts,
      status: () => parts.status(),
      owners,
    });
    this.lifecycle.own(
      new PeerServer({
        server: this.app.server,
        traffic: parts.traffic,
        service,
        authorize: req => access.allows('instances', req.headers),
      }),
    );
  }

  private refusal(): HealthRefusal | undefined {
    if (this.draining) return {code: 'draining', detail: 'Shutting down.'};
    const {control, groups} = this.parts;
    if (!control.hasState) {
      return {code: 'not-ready', detail: 'No configuration was received yet.'};
    }
    const waiting = groups.leaderlessGroups;
    if (waiting.length === 0) return undefined;
    const detail = `No leader is known of ${waiting.join(', ')}.`;
    return {code: 'not-ready', detail};
  }
}

function createMetrics(settings: InstanceSettings): Metrics {
  if (settings.statsd === '') return new NullMetrics();
  const {name, dataCentre, statsd} = settings;
  return createStatsdMetrics({
    ...splitAddress(statsd),
    tags: {instance: name, data_centre: dataCentre},
  });
}
