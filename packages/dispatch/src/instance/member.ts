/** An instance that serves control; those with a vote hold the log. */
import {
  type DiskLogStorage,
  type LeadershipChange,
  type LogMessage,
  type MemberId,
  ReplicatedLog,
} from '@mustardferry/coordination';
import {type FrameChannel, FrameServer} from '@mustardferry/links';
import {LifecycleManager} from '@mustardferry/runtime';
import {DataFolder} from '@mustardferry/storage';

import type {Command, CommandResult} from '../jobs/commands.js';
import {DispatchState} from '../jobs/dispatch_state.js';
import type {Call, CallOrigin, GroupView, Reply} from '../messages/calls.js';
import type {Hello, PeerMessage} from '../messages/peer_messages.js';
import {Owner} from '../owner/owner.js';
import {sleep} from '../owner/waiting.js';
import type {CallOutcome} from './call_outcome.js';
import {FIRST_INCARNATION, firstMembers, firstVoters} from './first_voters.js';
import {currentView} from './group_view.js';
import {LeaderClient} from './leader_client.js';
import {LinkTransport} from './link_transport.js';
import {DiskWatch, openLogStorage} from './log_storage.js';
import {
  ELECTION_TIMEOUT_MS,
  HEARTBEAT_MS,
  REPLACE_SILENT_AFTER_MS,
  SNAPSHOT_EVERY_ENTRIES,
} from './log_timing.js';
import type {MemberOptions} from './member_options.js';
import {KnownMembers} from './member_registry.js';
import {carryOrder} from './order_carrier.js';
import {OrderRelay} from './order_relay.js';
import {PauseDetector} from './pause_detector.js';
import {votersFor} from './voter_placement.js';
import {WaitingCallers} from './waiting_callers.js';

/** Period in ms in which a changed view is told to others. */
const VIEW_PERIOD_MS = 50;

/** Longest wait in ms for another leader before this one stops. */
const HANDOVER_MS = 1_500;

type Log = ReplicatedLog<Command, CommandResult>;

/** Runs the log, and the owner while this member leads. */
export class Member {
  readonly name = 'member';
  private readonly life = new LifecycleManager('member');
  private readonly state = new DispatchState();
  private readonly others: KnownMembers;
  private readonly relay: OrderRelay;
  private readonly pauses: PauseDetector;
  private readonly client: LeaderClient;
  private server!: FrameServer<PeerMessage>;
  private log: Log | null = null;
  private owner: Owner | null = null;
  private readonly callers = new WaitingCallers(job =>
    this.owner?.abandon(job),
  );
  private firstVoters: readonly string[] = [];
  private told = '';

  private constructor(
    private readonly options: MemberOptions,
    private readonly self: MemberId,
  ) {
    const {address, dataCentre, seeds, logger} = options;
    this.pauses = this.life.own(
      new PauseDetector(pausedMs => logger.warn('clock-jumped', {pausedMs})),
    );
    this.client = this.life.own(
      new LeaderClient({
        self: {
          type: 'hello',
          role: 'member',
          address,
          dataCentre,
          incarnation: self.incarnation,
        },
        seeds,
        logger,
        handleLocally: (call, origin) => this.local(call, origin),
        onOrderOutcome: (carrier, message) =>
          this.relay.outcome(carrier, message),
        onDisconnected: carrier => this.relay.lost(carrier),
      }),
    );
    this.others = new KnownMembers({
      ...options,
      isConnected: other => this.client.isConnected(other),
    });
    this.relay = this.life.own(
      new OrderRelay({
        direct: options.port,
        carriers: () => this.others.connected,
        upstreams: () => this.state.upstreams.size,
        sendBeside: (carrier, message) => this.client.send(carrier, message),
        logger,
      }),
    );
  }

  /** Recovers the member's state and starts it. */
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

  /** Whether this member leads. */
  get leads(): boolean {
    return this.owner !== null;
  }

  /** Carries a call to the leader, wherever it is. */
  call(call: Call, timeoutMs: number): Promise<CallOutcome> {
    return this.client.call(call, timeoutMs);
  }

  /** Learns of further members, for example from changed settings. */
  addSeeds(seeds: readonly string[]): void {
    this.client.addMembers(seeds);
  }

  /** Hands leadership to another member, if one takes it in time. */
  async transferLeadership(): Promise<void> {
    const until = performance.now() + HANDOVER_MS;
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
        onOpen: channel => this.greet(channel),
        onMessage: (channel, message) => void this.receive(channel, message),
        onClose: channel => this.callers.lost(channel),
        onMalformed: err =>
          logger.warn('member-message-malformed', {peer: 'incoming', err}),
      }),
    );
    this.life.every('view', VIEW_PERIOD_MS, () => {
      this.others.registerVoters(this.log);
      this.tellView();
    });
    const watch = new DiskWatch(logger, metrics);
    const storage = await openLogStorage(folder, watch);
    this.life.defer('storage', () => storage.close());
    void this.joinGroup(folder, storage).catch((err: unknown) =>
      this.failed(err),
    );
  }

  /** Opens the log; a member without a vote may replace a silent voter. */
  private async joinGroup(
    folder: DataFolder,
    storage: DiskLogStorage<Command>,
  ): Promise<void> {
    const {logger} = this.options;
    this.firstVoters = await firstVoters({
      ...this.options,
      folder,
      told: () => this.client.view?.firstVoters ?? [],
    });
    const log = await ReplicatedLog.open<Command, CommandResult>({
      self: this.self,
      voters: firstMembers(this.firstVoters),
      mode: 'sync-everything',
      storage,
      transport: new LinkTransport(this.self, () => this.client),
      machine: this.state,
      heartbeatMs: HEARTBEAT_MS,
      electionTimeoutMs: ELECTION_TIMEOUT_MS,
      replaceSilentAfterMs: REPLACE_SILENT_AFTER_MS,
      targetVoters: votersFor(this.options.toleratedFailures),
      snapshotEveryEntries: SNAPSHOT_EVERY_ENTRIES,
      onElection: election => logger.info('election-started', {...election}),
      onFailure: err => this.failed(err),
    });
    this.log = log;
    this.life.defer('log', () => log.close());
    log.onLeadership(change => this.setLeadership(change));
    logger.info('log-opened', {
      ...log.status(),
      incarnation: this.self.incarnation,
    });
  }

  private failed(err: unknown): void {
    this.options.logger.error('member-failed', {err});
    this.options.onFailure();
  }

  private setLeadership({leader: leads, term, cause}: LeadershipChange): void {
    const {options, log} = this;
    options.logger.info('leadership', {leads, term, cause});
    this.owner?.close();
    this.owner = null;
    if (!leads) this.relay.close();
    if (leads && log) {
      this.owner = new Owner({
        ...options,
        port: this.relay.port,
        log,
        state: this.state,
        term,
        wasPaused: () => this.pauses.wasPausedRecently,
      });
    }
    this.tellView();
  }

  private local(call: Call, origin: CallOrigin): Promise<Reply> | null {
    return this.owner?.handleCall(call, origin) ?? null;
  }

  private greet(channel: FrameChannel<PeerMessage>): void {
    channel.send({type: 'view', view: this.currentView()});
  }

  private async receive(
    channel: FrameChannel<PeerMessage>,
    message: PeerMessage,
  ): Promise<void> {
    switch (message.type) {
      case 'hello':
        if (message.role === 'member') this.meet(message);
        return;
      case 'log':
        this.log?.receive(message.from, message.message as LogMessage<Command>);
        return;
      case 'call':
        return this.answerCall(channel, message);
      case 'order':
        channel.send(await carryOrder(this.options.port, message));
        return;
      case 'orders-end':
        return this.options.port.releaseUpstream(message.to);
      default:
        // The others are only sent the other way.
        return;
    }
  }

  private async answerCall(
    channel: FrameChannel<PeerMessage>,
    {id, call, origin}: Extract<PeerMessage, {type: 'call'}>,
  ): Promise<void> {
    const job = call.type === 'submit' ? call.job.id : null;
    if (job !== null) this.callers.add(job, channel);
    const reply = await this.local(call, origin);
    if (job !== null) this.callers.remove(job, channel);
    channel.send({type: 'reply', id, reply: reply ?? {type: 'not-leader'}});
  }

  private meet(hello: Hello): void {
    this.others.meet(hello);
    this.client.addMembers([hello.address]);
  }

  private currentView(): GroupView {
    return currentView({
      address: this.options.address,
      status: this.log?.status() ?? null,
      firstVoters: this.firstVoters,
      told: this.client.view,
      others: this.others.addresses,
      leads: this.owner !== null,
    });
  }

  private tellView(): void {
    const view = this.currentView();
    const text = JSON.stringify(view);
    if (text === this.told) return;
    this.told = text;
    this.client.setView(view);
    this.server.broadcast({type: 'view', view});
  }
}
