/** Membership of this instance in one generation of a record group. */
import {
  type GrantedVoter,
  type LogMessage,
  type MemberId,
  type RecordGroupGeneration,
  type RecordsCommand,
  type RecordsResult,
  RecordsState,
  ReplicatedLog,
} from '@mustardferry/coordination';
import {must} from '@mustardferry/model';
import type {Logger} from '@mustardferry/runtime';

import {JobOwner, type JobOwnerOptions} from '../jobs/job_owner.js';
import {LogNetworkTransport} from '../peers/log_network_transport.js';
import type {PeerNetwork} from '../peers/peer_network.js';
import type {GroupStorage} from '../storage/instance_storage.js';
import type {GroupDefinition} from './group_members.js';
import {betterLeader, successorOf} from './leader_placement.js';
import {LeaseCheck} from './lease_check.js';

/** What an owner needs besides its group. */
export type OwnerContext = Pick<
  JobOwnerOptions,
  'policy' | 'scheduler' | 'retentionMs' | 'explanations' | 'metrics'
>;

/** Options of a membership. */
export interface RecordGroupOptions {
  readonly definition: GroupDefinition;
  readonly generation: RecordGroupGeneration;
  readonly self: MemberId;
  readonly dataCentre: string;
  readonly heartbeatMs: number;
  readonly electionTimeoutMs: number;
  readonly storage: GroupStorage;
  readonly network: PeerNetwork;
  readonly logger: Logger;
  readonly owner: OwnerContext;
  readonly onOwnership: () => void;
}

const EXPIRY_PERIOD_MS = 10_000;
const PLACEMENT_PERIOD_MS = 1_000;
const CLEAN_UP_PERIOD_MS = 10_000;

/** One replicated log of submission records, and its owner while leading. */
export class RecordGroup {
  readonly name: string;
  readonly state = new RecordsState();
  private log: ReplicatedLog<RecordsCommand, RecordsResult> | undefined;
  private currentOwner: JobOwner | undefined;
  private readonly timers: NodeJS.Timeout[] = [];
  private readonly lease = new LeaseCheck(
    () => this.log?.status().leaseMs ?? 0,
  );
  private stopping = false;
  /** Consecutive placement checks that found a leader without a lease. */
  private withoutLease = 0;
  private lastLeaderAt = Date.now();

  /** Whether this incarnation is reachable and not shutting down. */
  private readonly canLead = ({name, incarnation}: MemberId): boolean => {
    const {network} = this.options;
    const status = network.statusOf(name);
    return (
      network.isUp(name) &&
      status?.draining === false &&
      status.incarnation === incarnation
    );
  };

  constructor(private readonly options: RecordGroupOptions) {
    this.name = options.definition.name;
  }

  get generation(): RecordGroupGeneration {
    return this.options.generation;
  }

  get definition(): GroupDefinition {
    return this.options.definition;
  }

  /** The owner, while this instance leads and serves the group. */
  get owner(): JobOwner | undefined {
    return this.currentOwner;
  }

  /** Name of the leader as far as known. */
  get leader(): string | undefined {
    return this.log?.leader?.name;
  }

  get isVoter(): boolean {
    return this.log !== undefined && this.log.status().role !== 'learner';
  }

  /** Milliseconds without a known leader; 0 while there is one. */
  get leaderlessMs(): number {
    this.noteLeader();
    return Date.now() - this.lastLeaderAt;
  }

  async open(): Promise<void> {
    const {options} = this;
    const {self, network, logger} = options;
    this.log = await ReplicatedLog.open({
      self,
      voters: options.generation.voters.map((voter: GrantedVoter) => voter),
      mode: 'in-memory',
      storage: options.storage.storage,
      transport: new LogNetworkTransport(this.logName, self, network),
      machine: this.state,
      heartbeatMs: options.heartbeatMs,
      electionTimeoutMs: options.electionTimeoutMs,
      onFailure: err =>
        logger.error('record-group-failed', {group: this.name, err}),
    });
    this.log.onLeadership(({leader, term}) => this.leadership(leader, term));
    this.every(EXPIRY_PERIOD_MS, () => this.expire());
    this.every(PLACEMENT_PERIOD_MS, () => this.placeLeader());
    this.every(CLEAN_UP_PERIOD_MS, () => this.dropEarlierLives());
  }

  /** Name of the log in peer messages; generations never mix. */
  get logName(): string {
    return `${this.name}@${this.options.generation.generation}`;
  }

  receive(from: MemberId, message: unknown): void {
    this.log?.receive(from, message as LogMessage<RecordsCommand>);
    this.noteLeader();
  }

  peerLost(peer: string): void {
    this.noteLeader();
    this.log?.reportPeerLost(peer);
  }

  /** Passes on that an incarnation is registered and may become a voter. */
  setRegistered(member: MemberId): void {
    this.log?.setRegistered(member);
  }

  /** Gives the leadership to another voter before a planned stop. */
  handOver(): void {
    this.stopping = true;
    if (!this.leads) return;
    const {definition, self} = this.options;
    const voters = this.log?.status().voters ?? [];
    const to = successorOf(self.name, definition, voters, this.canLead);
    if (to !== undefined) this.log?.transferLeadership(to);
  }

  /** Whether this instance still leads. */
  get leads(): boolean {
    return this.log?.status().role === 'leader';
  }

  async close(): Promise<void> {
    for (const timer of this.timers) clearInterval(timer);
    this.currentOwner?.releaseJobs();
    this.currentOwner = undefined;
    await this.log?.close();
  }

  /** Callers that poll rarely would miss a leader that was known between. */
  private noteLeader(): void {
    if (this.leader !== undefined) this.lastLeaderAt = Date.now();
  }

  private leadership(leader: boolean, term: number): void {
    const {options} = this;
    options.logger.info('group-leadership', {group: this.name, leader, term});
    this.currentOwner?.releaseJobs();
    this.currentOwner = undefined;
    // The voter lent by a neighbour keeps records but serves no jobs.
    if (leader && options.definition.dataCentre === options.dataCentre) {
      void this.serve(term);
    }
    options.onOwnership();
  }

  /** Becomes the owner, once a new generation knows what it must not admit. */
  private async serve(term: number): Promise<void> {
    const {logger, onOwnership} = this.options;
    try {
      await this.openGeneration();
    } catch (err) {
      logger.warn('group-generation-not-opened', {group: this.name, err});
      return;
    }
    if (!this.leads || this.log?.term !== term) return;
    this.currentOwner = this.createOwner(term);
    this.currentOwner.takeOverJobs();
    onOwnership();
  }

  /**
   * Ids of a lost generation may have been admitted, so they are answered
   * `unknown` until their retention ends, except those found on the disk.
   */
  private async openGeneration(): Promise<void> {
    const {generation, storage, owner} = this.options;
    if (generation.generation === 1) return;
    const {grantedAtMs} = generation;
    await this.log?.propose({
      type: 'mark-generation',
      generation: generation.generation,
      grantedAtMs,
      unknownUntilMs: grantedAtMs + owner.retentionMs,
    });
    const {recovered: records} = storage;
    if (records.length === 0) return;
    await this.log?.propose({type: 'import-durable', records});
  }

  private createOwner(term: number): JobOwner {
    const {options} = this;
    const log = must(this.log, 'leadership without a log');
    this.lease.forget();
    return new JobOwner({
      ...options.owner,
      group: this.name,
      epoch: {
        group: this.name,
        generation: options.generation.generation,
        term,
      },
      state: this.state,
      propose: (command, how) =>
        log.propose(command, how).catch((err: unknown) => {
          // A transfer ends the lease and refuses proposals at the same moment.
          this.lease.forget();
          throw err;
        }),
      holdsLease: () => this.lease.isHeld(),
      hasDurableStorage: () =>
        options.definition.members.some(
          ({name, disk}) =>
            disk && (name === options.self.name || options.network.isUp(name)),
        ),
      logger: options.logger,
    });
  }

  private dropEarlierLives(): void {
    if (!this.isVoter || this.leader === undefined) return;
    const {storage, logger} = this.options;
    storage.dropEarlier().catch((err: unknown) => {
      logger.warn('earlier-records-not-removed', {group: this.name, err});
    });
  }

  private expire(): void {
    if (this.currentOwner === undefined) return;
    void this.log
      ?.propose({type: 'expire', beforeMs: Date.now()})
      .catch(() => undefined);
  }

  /** Moves the leadership to where it should be, unless that shuts down. */
  private placeLeader(): void {
    if (!this.leads || this.stopping) return;
    const {definition, self} = this.options;
    const voters = this.log?.status().voters ?? [];
    const to = betterLeader(self.name, definition, voters, this.canLead);
    if (to !== undefined) this.log?.transferLeadership(to);
    else this.renewLease();
  }

  /**
   * A transfer that failed ends the lease for the rest of the term, and no task
   * is started without it. An election opens a term with a lease.
   */
  private renewLease(): void {
    const {leaseMs = 0} = this.log?.status() ?? {};
    this.withoutLease = leaseMs > 0 ? 0 : this.withoutLease + 1;
    if (this.withoutLease < 2) return;
    this.withoutLease = 0;
    const {definition, self, logger} = this.options;
    const voters = this.log?.status().voters ?? [];
    const to = successorOf(self.name, definition, voters, this.canLead);
    logger.warn('group-lease-lost', {group: this.name, successor: to?.name});
    if (to !== undefined) this.log?.transferLeadership(to);
  }

  private every(periodMs: number, run: () => void): void {
    this.timers.push(setInterval(run, periodMs));
  }
}
