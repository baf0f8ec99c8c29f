/** Creates the parts of an instance and connects their events. */
import {type InstanceStatus, LinkTraffic} from '@mustardferry/links';
import type {InstanceSettings, InstanceView} from '@mustardferry/model';
import type {LifecycleManager, Logger, Metrics} from '@mustardferry/runtime';

import {CONTROL_LOG, ControlService} from './control/control_service.js';
import {createDispatch, type DispatchParts} from './dispatch/dispatch_parts.js';
import {OwnerDirectory} from './gateway/owner_directory.js';
import {GroupService, newIncarnation} from './groups/group_service.js';
import {JobExplanations} from './jobs/job_explanations.js';
import {PeerNetwork} from './peers/peer_network.js';
import {SlotService} from './slots/slot_service.js';
import type {InstanceStorage} from './storage/instance_storage.js';
import {UpstreamPool} from './upstreams/upstream_pool.js';
import {UpstreamService} from './upstreams/upstream_service.js';

/** What the parts are made from. */
export interface InstancePartsOptions {
  readonly settings: InstanceSettings;
  readonly storage: InstanceStorage;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly isDraining: () => boolean;
}

const STATUS_PERIOD_MS = 5_000;
const LINK_BYTES_PERIOD_MS = 1_000;

/** Parts of one instance; they refer to each other by events only. */
export class InstanceParts {
  readonly incarnation = newIncarnation();
  readonly directory: OwnerDirectory;
  readonly traffic = new LinkTraffic();
  readonly network: PeerNetwork;
  readonly control: ControlService;
  readonly pool: UpstreamPool;
  readonly dispatch: DispatchParts;
  readonly slots: SlotService;
  readonly groups: GroupService;
  readonly upstreams: UpstreamService;

  constructor(private readonly options: InstancePartsOptions) {
    this.directory = new OwnerDirectory(options.settings.instances);
    this.network = this.createNetwork();
    this.control = this.createControl();
    this.pool = this.createPool();
    this.dispatch = this.createDispatch();
    this.slots = this.createSlots();
    this.groups = this.createGroups();
    this.upstreams = this.createUpstreams();
  }

  /** Hands all parts to a life-cycle manager, dependencies first. */
  ownedBy(lifecycle: LifecycleManager): void {
    lifecycle.own(this.pool);
    lifecycle.own(this.network);
    lifecycle.own(this.control);
    lifecycle.defer('dispatch', () => this.dispatch.close());
    lifecycle.own(this.groups);
    lifecycle.own(this.slots);
    lifecycle.own(this.upstreams);
    lifecycle.every('status', STATUS_PERIOD_MS, () =>
      this.network.refreshStatus(),
    );
    lifecycle.every('link-bytes', LINK_BYTES_PERIOD_MS, () =>
      this.reportLinkBytes(),
    );
  }

  /** Status of this instance, for its peers. */
  status(): InstanceStatus {
    const {name, dataCentre} = this.options.settings;
    return {
      name,
      incarnation: this.incarnation,
      dataCentre,
      draining: this.options.isDraining(),
      policyRevision: this.control.policy.revision,
      controlRole: this.control.role,
      ownedGroups: this.groups.ownedGroups,
      votes: this.groups.votes,
    };
  }

  /** All instances of the deployment as known here. */
  instanceViews(): readonly InstanceView[] {
    const {settings} = this.options;
    return settings.instances.map(({name, dataCentre, address}) => {
      const self = name === settings.name;
      const status = self ? this.status() : this.network.statusOf(name);
      return {
        name,
        dataCentre,
        address,
        reachable: self || this.network.isUp(name),
        draining: status?.draining ?? false,
        policyRevision: status?.policyRevision ?? 0,
        controlRole: status?.controlRole ?? 'learner',
        ownedGroups: status?.ownedGroups ?? [],
      };
    });
  }

  private reportLinkBytes(): void {
    const {metrics} = this.options;
    const {received, sent} = this.traffic.takeNew();
    metrics.increment('links.bytes', received, {direction: 'in'});
    metrics.increment('links.bytes', sent, {direction: 'out'});
  }

  private get localInstances(): readonly string[] {
    const {instances, dataCentre} = this.options.settings;
    return instances
      .filter(instance => instance.dataCentre === dataCentre)
      .map(({name}) => name);
  }

  private createNetwork(): PeerNetwork {
    return new PeerNetwork({
      ...this.options,
      incarnation: this.incarnation,
      traffic: this.traffic,
      onLog: ({log, from, message}) => {
        if (log === CONTROL_LOG) this.control.receive(from, message);
        else this.groups.receive(log, from, message);
      },
      status: () => this.status(),
      onStatus: status => {
        this.directory.learn(status.name, status.ownedGroups);
      },
      onPeerUp: peer => this.upstreams.sendFullState(peer),
      onPeerDown: peer => {
        this.directory.learn(peer, []);
        this.control.peerLost(peer);
        this.groups.peerLost(peer);
      },
    });
  }

  private createControl(): ControlService {
    return new ControlService({
      ...this.options,
      network: this.network,
      storage: this.options.storage.control,
      audit: this.options.storage.audit,
      onChange: () => this.controlChanged(),
    });
  }

  private createPool(): UpstreamPool {
    return new UpstreamPool({
      token: this.options.settings.tokens.upstreams[0],
      dataCentre: this.options.settings.dataCentre,
      instancesInDataCentre: this.localInstances.length,
    });
  }

  private createDispatch(): DispatchParts {
    return createDispatch({
      ...this.options,
      pool: this.pool,
      policy: () => this.control.policy,
      slots: {
        use: worker => this.slots.use(worker),
        free: worker => this.slots.free(worker),
      },
    });
  }

  private createSlots(): SlotService {
    const {settings, logger} = this.options;
    return new SlotService({
      self: {name: settings.name, incarnation: this.incarnation},
      instances: this.localInstances,
      network: this.network,
      pool: this.pool,
      sharing: this.dispatch.sharing,
      leaseMs: settings.taskLeaseMs,
      allocatorName: () => this.groups.leaderOf(`${settings.dataCentre}.0`),
      onCreditsGranted: () => this.dispatch.scheduler.requestDispatch(),
      logger,
    });
  }

  private createGroups(): GroupService {
    const {settings, storage, metrics} = this.options;
    return new GroupService({
      ...this.options,
      incarnation: this.incarnation,
      control: this.control,
      network: this.network,
      owner: {
        policy: () => this.control.policy,
        scheduler: this.dispatch.scheduler,
        retentionMs: settings.recordRetentionMs,
        explanations: new JobExplanations(),
        metrics,
      },
      openStorage: group => storage.openGroup(group),
      onOwnership: () => this.ownershipChanged(),
      onVotes: () => this.network.broadcastStatus(),
    });
  }

  private createUpstreams(): UpstreamService {
    return new UpstreamService({
      ...this.options,
      network: this.network,
      pool: this.pool,
      slots: this.slots,
      monitor: this.dispatch.monitor,
      onUpstreamAvailable: () => this.dispatch.scheduler.requestDispatch(),
    });
  }

  private controlChanged(): void {
    const {policy} = this.control;
    this.dispatch.setPolicy(policy);
    this.dispatch.setEvacuated(this.control.evacuatedDataCentres);
    this.slots.setPolicy(policy);
    this.groups.reconcile();
    this.network.broadcastStatus();
  }

  private ownershipChanged(): void {
    const {name, dataCentre} = this.options.settings;
    const owned = this.groups.ownedGroups;
    this.directory.learn(name, owned);
    this.slots.setAllocating(owned.includes(`${dataCentre}.0`));
    this.network.broadcastStatus();
  }
}
