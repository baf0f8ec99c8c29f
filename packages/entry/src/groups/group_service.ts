/** All record groups that this instance is a voter of. */
import {randomUUID} from 'node:crypto';

import type {MemberId} from '@mustardferry/coordination';
import type {InstanceSettings} from '@mustardferry/model';
import type {Logger} from '@mustardferry/runtime';

import type {ControlService} from '../control/control_service.js';
import type {JobOwner} from '../jobs/job_owner.js';
import type {PeerNetwork} from '../peers/peer_network.js';
import type {GroupStorage} from '../storage/instance_storage.js';
import {type GroupDefinition, groupDefinitions} from './group_members.js';
import {GroupRegistration} from './group_registration.js';
import {hasLostQuorum, type MemberReport} from './quorum_loss.js';
import {type OwnerContext, RecordGroup} from './record_group.js';

/** Options of the service. */
export interface GroupServiceOptions {
  readonly settings: InstanceSettings;
  readonly incarnation: string;
  readonly control: ControlService;
  readonly network: PeerNetwork;
  readonly owner: OwnerContext;
  readonly logger: Logger;
  readonly onOwnership: () => void;
  /** Told when the logs in which this instance votes change. */
  readonly onVotes: () => void;
  readonly openStorage: (group: string) => Promise<GroupStorage>;
}

const RECONCILE_PERIOD_MS = 500;
/** A generation without a quorum is given up after this time without leader. */
const ABANDON_AFTER_MS = 5_000;

/** Follows the control state: joins, replaces and leaves generations. */
export class GroupService {
  readonly name = 'group-service';
  private readonly definitions: readonly GroupDefinition[];
  private readonly groups = new Map<string, RecordGroup>();
  private readonly abandoned = new Map<string, number>();
  private readonly registration: GroupRegistration;
  private readonly timer: NodeJS.Timeout;
  private reconciling = false;
  private again = false;
  private reportedVotes = '';
  private closed = false;

  constructor(private readonly options: GroupServiceOptions) {
    this.definitions = groupDefinitions(options.settings);
    this.registration = new GroupRegistration(this.definitions, options);
    this.timer = setInterval(() => this.reconcile(), RECONCILE_PERIOD_MS);
  }

  get self(): MemberId {
    const {settings, incarnation} = this.options;
    return {name: settings.name, incarnation};
  }

  /** Groups of this data centre that this instance owns. */
  get ownedGroups(): readonly string[] {
    return [...this.groups.values()]
      .filter(group => group.owner !== undefined)
      .map(group => group.name);
  }

  /** Logs in which this instance has a vote. */
  get votes(): readonly string[] {
    return [...this.groups.values()]
      .filter(group => group.isVoter)
      .map(group => group.logName);
  }

  /** Groups of this instance that have no leader as far as it knows. */
  get leaderlessGroups(): readonly string[] {
    return this.definitions
      .filter(definition => this.isMember(definition))
      .filter(definition => !this.isServedWithoutSelf(definition))
      .map(({name}) => name)
      .filter(name => this.groups.get(name)?.leader === undefined);
  }

  get openJobs(): number {
    let open = 0;
    for (const group of this.groups.values())
      open += group.owner?.openJobs ?? 0;
    return open;
  }

  ownerOf(group: string): JobOwner | undefined {
    return this.groups.get(group)?.owner;
  }

  leaderOf(group: string): string | undefined {
    return this.groups.get(group)?.leader;
  }

  receive(logName: string, from: MemberId, message: unknown): void {
    const name = logName.slice(0, logName.lastIndexOf('@'));
    const group = this.groups.get(name);
    if (group?.logName === logName) group.receive(from, message);
  }

  peerLost(peer: string): void {
    for (const group of this.groups.values()) group.peerLost(peer);
  }

  /** Hands all owned groups to other voters. */
  handOver(): void {
    for (const group of this.groups.values()) group.handOver();
  }

  /** Compares what the control state says with what runs here. */
  reconcile(): void {
    if (this.closed) return;
    if (this.reconciling) {
      this.again = true;
      return;
    }
    this.reconciling = true;
    void this.reconcileOnce()
      .catch((err: unknown) =>
        this.options.logger.warn('group-reconcile-failed', {err}),
      )
      .finally(() => {
        this.reconciling = false;
        if (this.again) {
          this.again = false;
          this.reconcile();
        }
      });
  }

  async close(): Promise<void> {
    this.closed = true;
    clearInterval(this.timer);
    await Promise.all([...this.groups.values()].map(group => group.close()));
  }

  /**
   * Whether others serve a generation that this instance has given up. It may
   * not join it any more, but it reaches its owner like any other instance.
   */
  private isServedWithoutSelf({name, members}: GroupDefinition): boolean {
    const {network} = this.options;
    return (
      this.abandoned.has(name) &&
      members.some(
        member =>
          network.isUp(member.name) &&
          network.statusOf(member.name)?.ownedGroups.includes(name) === true,
      )
    );
  }

  private isMember(definition: GroupDefinition): boolean {
    const {name} = this.options.settings;
    return definition.members.some(member => member.name === name);
  }

  private async reconcileOnce(): Promise<void> {
    const {control} = this.options;
    // A state from before a restart may name a generation that has ended.
    if (!control.hasState) return;
    await this.registration.defineGroups();
    await this.registration.register();
    for (const definition of this.definitions) {
      if (!this.isMember(definition)) continue;
      await this.reconcileGroup(definition).catch((err: unknown) => {
        const {name: group} = definition;
        this.options.logger.warn('group-join-failed', {group, err});
      });
    }
    for (const instance of control.state.instances()) {
      const {name, incarnation} = instance;
      for (const group of this.groups.values()) {
        group.setRegistered({name, incarnation});
      }
    }
    this.reportVotes();
  }

  private reportVotes(): void {
    const votes = this.votes.join(' ');
    if (votes === this.reportedVotes) return;
    this.reportedVotes = votes;
    this.options.onVotes();
  }

  private async reconcileGroup(definition: GroupDefinition): Promise<void> {
    const {control} = this.options;
    const current = control.state.group(definition.name)?.current;
    const running = this.groups.get(definition.name);
    if (current === undefined || !this.registration.registered) return;
    if (running?.generation.generation === current.generation) {
      await this.abandonIfStuck(running);
      return;
    }
    if (this.abandoned.get(definition.name) === current.generation) {
      await this.proposeAbandonment(definition.name, current.generation);
      return;
    }
    await running?.close();
    this.groups.delete(definition.name);
    this.abandoned.delete(definition.name);
    await this.join(definition, current);
  }

  private async join(
    definition: GroupDefinition,
    generation: RecordGroup['generation'],
  ): Promise<void> {
    const {settings, network, owner, logger, onOwnership} = this.options;
    const storage = await this.options.openStorage(definition.name);
    const group = new RecordGroup({
      definition,
      generation,
      self: this.self,
      dataCentre: settings.dataCentre,
      heartbeatMs: settings.heartbeatMs,
      electionTimeoutMs: settings.electionTimeoutMs,
      storage,
      network,
      logger,
      owner,
      onOwnership,
    });
    await group.open();
    if (this.closed) {
      await group.close();
      return;
    }
    this.groups.set(definition.name, group);
    logger.info('group-joined', {
      group: definition.name,
      generation: generation.generation,
    });
  }

  /** Promises never to join a generation that has no quorum left. */
  private async abandonIfStuck(group: RecordGroup): Promise<void> {
    const {logger} = this.options;
    if (group.isVoter || group.leaderlessMs < ABANDON_AFTER_MS) return;
    if (!hasLostQuorum(group.logName, this.reportsOf(group.definition))) return;
    const {generation} = group.generation;
    logger.warn('group-abandoned', {group: group.name, generation});
    this.abandoned.set(group.name, generation);
    this.groups.delete(group.name);
    await group.close();
    await this.proposeAbandonment(group.name, generation);
  }

  private reportsOf({members}: GroupDefinition): readonly MemberReport[] {
    const {network} = this.options;
    return members.map(({name}) => {
      if (name === this.self.name) return {name, votes: this.votes};
      const up = network.isUp(name);
      return {name, votes: up ? network.statusOf(name)?.votes : undefined};
    });
  }

  private async proposeAbandonment(
    group: string,
    generation: number,
  ): Promise<void> {
    const {control, settings, incarnation} = this.options;
    const known = control.state
      .group(group)
      ?.abandonedBy.some(each => each.incarnation === incarnation);
    if (known === true) return;
    await control.propose({
      type: 'abandon-group',
      group,
      generation,
      instance: settings.name,
      incarnation,
      atMs: Date.now(),
    });
  }
}

/** Makes the incarnation of this life of the process. */
export function newIncarnation(): string {
  return randomUUID();
}
