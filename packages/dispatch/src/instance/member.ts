/** A member of the replication group, as a voter or as a learner. */
import type {
  DiskLogStorage,
  LeadershipChange,
  LogMessage,
  MemberId,
  ReplicatedLog,
} from '@mustardferry/coordination';
import {type FrameChannel, FrameServer} from '@mustardferry/links';
import {LifecycleManager} from '@mustardferry/runtime';
import {DataFolder} from '@mustardferry/storage';

import type {Command, CommandResult} from '../jobs/commands.js';
import {DispatchState} from '../jobs/dispatch_state.js';
import type {Call, CallOrigin, GroupView, Reply} from '../messages/calls.js';
import type {PeerMessage} from '../messages/peer_messages.js';
import {Owner} from '../owner/owner.js';
import {sleep} from '../owner/waiting.js';
import type {MemberLoad} from '../warm_up/owner_warm_up.js';
import {VoterWarmUp} from '../warm_up/voter_warm_up.js';
import type {CallOutcome} from './call_outcome.js';
import {FIRST_INCARNATION, firstVoters} from './first_voters.js';
import {openGroupLog} from './group_log.js';
import {createGroupView, ViewSchedule} from './group_view.js';
import {LeaderClient} from './leader_client.js';
import {LogWriteMonitor, openLogStorage} from './log_storage.js';
import type {MemberOptions} from './member_options.js';
import {createMemberHello, MemberRegistry} from './member_registry.js';
import {OrderCarrier} from './order_carrier.js';
import {OrderRelay} from './order_relay.js';
import {PauseDetector} from './pause_detector.js';
import {TermHandover} from './term_handover.js';
import {WaitingCallers} from './waiting_callers.js';

/** Interval in ms between checks for a changed view, which is then sent. */
const VIEW_PERIOD_MS = 50;

/** Maximum time in ms that a stopping leader waits for its successor. */
const LEADERSHIP_TRANSFER_MS = 1_500;

/** Runs the replicated log, and the owner while this member leads. */
export class Member {
  readonly name = 'member';
  private readonly life = new LifecycleManager('member');
  private readonly state = new DispatchState();
  private readonly registry: MemberRegistry;
  private readonly orderRelay: OrderRelay;
  private readonly handover: TermHandover;
  private readonly carrier: OrderCarrier;
  private readonly pauseDetector: PauseDetector;
  private readonly client: LeaderClient;
  private readonly warmUp: VoterWarmUp;
  private server!: FrameServer<PeerMessage>;
  private log: ReplicatedLog<Command, CommandResult> | null = null;
  private owner: Owner | null = null;
  private readonly waitingCallers = new WaitingCallers(job =>
    this.owner?.abandon(job),
  );
  private firstVoters: readonly string[] = [];
  private readonly viewSchedule = new ViewSchedule();

  private constructor(
    private readonly options: MemberOptions,
    private readonly self: MemberId,
  ) {
    const {seeds, logger} = options;
    this.handover = new TermHandover(options.address);
    this.pauseDetector = this.life.own(
      new PauseDetector(pausedMs => logger.warn('clock-jumped', {pausedMs})),
    );
    const pauses = this.pauseDetector;
    this.carrier = this.life.own(new OrderCarrier({...options, pauses}));
    this.warmUp = this.life.own(
      new VoterWarmUp({...options, getLoad: () => this.load}),
    );
    this.orderRelay = this.life.own(
      new OrderRelay({
        directPort: options.port,
        getCarriers: () => this.registry.connectedMembers,
        upstreams: () => this.state.upstreams.size,
        sendOnLogLink: (carrier, message) => this.client.send(carrier, message),
        logger,
      }),
    );
    this.client = this.life.own(
      new LeaderClient({
        self: createMemberHello(options, self.incarnation),
        seeds,
        logger,
        handleLocally: (call, origin) => this.handleLocally(call, origin),
        carriers: this.orderRelay,
      }),
    );
    this.registry = new MemberRegistry({
      ...options,
      isConnected: other => this.client.isConnected(other),
      send: (to, message) => this.client.send(to, message),
    });
  }

  /** Opens the data folder and starts the member; the log opens later. */
  static async open(options: MemberOptions): Promise<Member> {
    const {files, dataFolder, address, firstStart} = options;
    const folder = await DataFolder.open({
      files,
      path: dataFolder,
      instance: address,
      exclusive: false,
      ...(firstStart ? {newId: FIRST_INCARNATION} : {}),
    });
    const member = new Member(options, {name: address, incarnation: folder.id});
    await member.start(folder);
    return member;
  }

  /** Whether this member is the leader. */
  get leads(): boolean {
    return this.owner !== null;
  }

  /** Real work that this member does now. */
  get load(): MemberLoad {
    if (this.owner?.hasOpenJobs) return 'leading';
    return this.carrier.isActive ? 'carrying' : 'idle';
  }

  /** Sends a call to the leader, or handles it on the leader itself. */
  call(...call: Parameters<LeaderClient['call']>): Promise<CallOutcome> {
    return this.client.call(...call);
  }

  /** Connects to further members, for example after a change of settings. */
  addSeeds(seeds: readonly string[]): void {
    this.client.addMembers(seeds);
  }

  /** Transfers the leadership to another member, if possible in time. */
  async transferLeadership(): Promise<void> {
    const until = performance.now() + LEADERSHIP_TRANSFER_MS;
    if (this.owner) this.log?.transferLeadership();
    while (this.owner && performance.now() < until) await sleep(VIEW_PERIOD_MS);
  }

  async close(): Promise<void> {
    this.owner?.close();
    await this.life.close();
  }

  private async start(folder: DataFolder): Promise<void> {
    const {address, logger, metrics} = this.options;
    const [host = '', port = '0'] = address.split(':');
    this.server = this.life.own(
      await FrameServer.open<PeerMessage>({
        host,
        port: Number(port),
        onOpen: channel => channel.send(this.createViewMessage()),
        onMessage: (channel, message) =>
          void this.handleMessage(channel, message).catch((err: unknown) =>
            logger.warn('member-message-failed', {err}),
          ),
        onClose: channel => this.waitingCallers.lost(channel),
        onMalformed: err =>
          logger.warn('member-message-malformed', {peer: 'incoming', err}),
      }),
    );
    this.life.every('view', VIEW_PERIOD_MS, () => {
      this.registry.registerEligibleVoters(this.log);
      this.broadcastView();
    });
    const monitor = new LogWriteMonitor(logger, metrics);
    const storage = await openLogStorage(folder, monitor);
    this.life.defer('storage', () => storage.close());
    void this.joinGroup(folder, storage).catch((err: unknown) =>
      this.failed(err),
    );
  }

  /** Opens the log. A learner may replace a voter without contact later. */
  private async joinGroup(
    folder: DataFolder,
    storage: DiskLogStorage<Command>,
  ): Promise<void> {
    this.firstVoters = await firstVoters({
      ...this.options,
      folder,
      getReceivedVoters: () => this.client.view?.firstVoters ?? [],
    });
    const log = await openGroupLog({
      ...this.options,
      self: this.self,
      firstVoters: this.firstVoters,
      storage,
      client: () => this.client,
      machine: this.state,
      onFailure: err => this.failed(err),
    });
    this.log = log;
    this.life.defer('log', () => log.close());
    log.onLeadership(change => this.setLeadership(change));
    const {incarnation} = this.self;
    this.options.logger.info('log-opened', {...log.status(), incarnation});
  }

  private failed(err: unknown): void {
    this.options.logger.error('member-failed', {err});
    this.options.onFailure();
  }

  private setLeadership(change: LeadershipChange): void {
    const {leader: leads, term, cause, earlierLeaseMs} = change;
    const {options, log, handover} = this;
    options.logger.info('leadership', {leads, term, cause});
    this.owner?.close();
    this.owner = null;
    if (!leads) this.orderRelay.close();
    if (leads && log) {
      this.orderRelay.startTerm(handover.findSilentPredecessor(change));
      this.owner = new Owner({
        ...options,
        port: this.orderRelay.port,
        log,
        state: this.state,
        term,
        earlierLeaseMs,
        wasPaused: () => this.pauseDetector.wasPausedRecently,
        learnedSpeeds: handover.speeds,
        shareSpeeds: speeds =>
          this.registry.sendToAll({type: 'speeds', term, speeds}),
      });
    }
    this.broadcastView();
  }

  private handleLocally(call: Call, origin: CallOrigin): Promise<Reply> | null {
    return this.owner?.handleCall(call, origin) ?? null;
  }

  private async handleMessage(
    channel: FrameChannel<PeerMessage>,
    message: PeerMessage,
  ): Promise<void> {
    switch (message.type) {
      case 'hello':
        if (message.role !== 'member') return;
        this.registry.addMember(message);
        return this.client.addMembers([message.address]);
      case 'speeds':
        return this.handover.receiveSpeeds(message);
      case 'log':
        this.orderRelay.memberHeard(message.from.name);
        this.log?.receive(message.from, message.message as LogMessage<Command>);
        return;
      case 'call':
        return this.answerCall(channel, message);
      case 'order':
        return channel.send(await this.carrier.relayOrder(message));
      case 'orders-end':
        return this.options.port.releaseUpstream(message.to);
      default:
        // All other messages are sent from members to their clients only.
        return;
    }
  }

  private async answerCall(
    channel: FrameChannel<PeerMessage>,
    {id, call, origin}: Extract<PeerMessage, {type: 'call'}>,
  ): Promise<void> {
    const job = call.type === 'submit' ? call.job.id : null;
    if (job !== null) this.waitingCallers.add(job, channel);
    const reply = await this.handleLocally(call, origin);
    if (job !== null) this.waitingCallers.remove(job, channel);
    channel.send({type: 'reply', id, reply: reply ?? {type: 'not-leader'}});
  }

  private createViewMessage(view = this.createView()): PeerMessage {
    return {type: 'view', view, clockMs: this.carrier.clockMs};
  }

  private createView(): GroupView {
    return createGroupView({
      address: this.options.address,
      status: this.log?.status() ?? null,
      firstVoters: this.firstVoters,
      receivedView: this.client.view,
      knownAddresses: this.registry.addresses,
      leads: this.owner !== null,
    });
  }

  private broadcastView(): void {
    const view = this.createView();
    this.warmUp.update(view.voters.includes(this.self.name));
    if (!this.viewSchedule.isDue(view)) return;
    this.client.addOwnView(view);
    this.handover.observeLeader(view.leader);
    this.server.broadcast(this.createViewMessage(view));
  }
}
