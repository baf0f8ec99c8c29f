/** Connects the log's core to timers, storage, transport and state machine. */
import type {LogEffect, LogEvent} from './core_events.js';
import {CoreRunner} from './core_runner.js';
import {lastIndex, type LogCoreState} from './core_state.js';
import {getDurableIndex} from './durability.js';
import {EffectRunner} from './effect_runner.js';
import {LeadershipNotifier} from './leadership.js';
import {LeaseReader} from './leases.js';
import {LogFailedError, NotLeaderError} from './log_errors.js';
import type {FetchedLog, LogFeed} from './log_feed.js';
import type {LogMessage} from './log_messages.js';
import {
  type LeadershipListener,
  type LogSettings,
  type LogStatus,
  type ReplicatedLogOptions,
  resolveLogSettings,
} from './log_options.js';
import {deriveStatus} from './log_status.js';
import type {StoredLog} from './log_storage.js';
import {MachineRunner} from './machine_runner.js';
import type {MemberId} from './members.js';
import {createClosedError, findProposalRefusal} from './proposal_refusal.js';
import {Proposals} from './proposals.js';
import {ReadBarriers} from './read_barriers.js';
import {RoleChangeTracker} from './role_changes.js';
import {choosePreferred, chooseSuccessor} from './successors.js';

/** One member of a replicated log. */
export class ReplicatedLog<C, R> implements LogFeed<C> {
  private readonly settings: LogSettings;
  private readonly core: CoreRunner<C>;
  private readonly effects: EffectRunner<C>;
  private readonly machine: MachineRunner<C, R>;
  private readonly proposals = new Proposals<C, R>(() => this.proposeQueued());
  private readonly reads: ReadBarriers;
  private readonly leadership = new LeadershipNotifier();
  private readonly lease = new LeaseReader<C>();
  private readonly roleChanges: RoleChangeTracker;
  private readonly commitListeners = new Set<() => void>();
  private closed = false;
  private failure: Error | undefined;
  private nextPreferredTransferAt = 0;

  private constructor(
    private readonly options: ReplicatedLogOptions<C, R>,
    stored: StoredLog<C> | null,
  ) {
    this.settings = resolveLogSettings(options);
    this.roleChanges = new RoleChangeTracker(e => options.onElection?.(e));
    this.core = new CoreRunner<C>({
      cfg: this.settings,
      start: {
        self: options.self,
        voters: options.voters,
        term: stored?.term ?? 0,
        votedFor: stored?.votedFor ?? null,
        snapshot: stored?.snapshot ?? null,
        entries: stored?.entries ?? [],
      },
      random: options.random ?? Math.random,
      onStep: (event, before, effects) =>
        this.handleStep(event, before, effects),
      onTick: () => this.transferToPreferredLeader(),
    });
    const {core} = this;
    this.machine = new MachineRunner(options.machine, core.state.snapshot);
    this.reads = new ReadBarriers(id => core.dispatch({type: 'read', id}));
    this.effects = new EffectRunner(options.storage, options.transport, {
      synced: (index, term) => core.dispatch({type: 'synced', index, term}),
      storageFailed: err => this.handleStorageFailure(err),
      readReady: id => this.reads.ready(id),
      readRefused: id => this.reads.refused(id, core.state.leader),
    });
  }

  /**
   * Recovers the member from its storage and starts it.
   *
   * @throws LogFailedError when the storage cannot be read.
   */
  static async open<C, R>(
    options: ReplicatedLogOptions<C, R>,
  ): Promise<ReplicatedLog<C, R>> {
    if (options.mode === 'sync-everything' && !options.storage) {
      throw new LogFailedError('mode sync-everything requires storage');
    }
    try {
      const stored = (await options.storage?.load()) ?? null;
      const log = new ReplicatedLog(options, stored);
      log.core.scheduleTick();
      return log;
    } catch (err) {
      throw new LogFailedError('the log could not be recovered', {cause: err});
    }
  }

  get leader(): MemberId | null {
    return this.core.state.leader;
  }

  get term(): number {
    return this.core.state.term;
  }

  /**
   * Proposes a command. Resolves with the machine's result once the command is
   * committed and applied here, and if `durable` is set, synced on a disk.
   *
   * @throws NotLeaderError, NotProposedError when never proposed.
   * @throws OutcomeUnknownError when leadership was lost after proposing.
   * @throws LogFailedError when the log failed before proposing.
   */
  propose(command: C, {durable = false} = {}): Promise<R> {
    const refusal = this.closed
      ? createClosedError(this.failure)
      : findProposalRefusal(this.core.state, durable, this.clock);
    if (refusal) return Promise.reject(refusal);
    return this.proposals.add(command, durable);
  }

  /**
   * Resolves once a quorum has confirmed this leader after the call, so that
   * the machine has applied every command acknowledged before the call.
   *
   * @throws NotLeaderError when a quorum does not confirm this leader.
   */
  readBarrier(): Promise<void> {
    if (this.closed || this.core.state.role !== 'leader') {
      return Promise.reject(new NotLeaderError(this.core.state.leader));
    }
    return this.reads.add();
  }

  /** Handles a message from another member. */
  receive(from: MemberId, message: LogMessage<C>): void {
    this.core.dispatch({type: 'receive', from, message});
  }

  /** Reports the loss of all connections to a member; may start an election. */
  reportPeerLost(name: string): void {
    this.core.dispatch({type: 'peer-lost', name});
  }

  /** Sets the latest registered incarnation of a member. */
  setRegistered(member: MemberId): void {
    this.core.dispatch({type: 'registered', member});
  }

  /**
   * Transfers leadership to a voter, by default to the most up-to-date one.
   * The attempt ends when leadership changes or after the election timeout.
   *
   * @returns Whether a transfer was started.
   */
  transferLeadership(to = chooseSuccessor(this.core.state)): boolean {
    if (!to || this.closed) return false;
    this.core.dispatch({type: 'transfer', to});
    return (
      this.core.state.role !== 'leader' || this.core.state.transfer !== null
    );
  }

  /**
   * Adds a listener and returns a function that removes it. If this member
   * leads, the listener is called at once.
   */
  onLeadership(listener: LeadershipListener): () => void {
    return this.leadership.add(listener);
  }

  /** Adds a listener for new commits; returns a function that removes it. */
  onCommit(listener: () => void): () => void {
    this.commitListeners.add(listener);
    return () => void this.commitListeners.delete(listener);
  }

  status(): LogStatus {
    return deriveStatus(this.core.state, this.machine, this.clock);
  }

  private get clock() {
    return {now: performance.now(), cfg: this.settings};
  }

  /** Remaining time of the leader's lease in ms; 0 without a lease. */
  get leaseMs(): number {
    return this.lease.getRemainingMs(this.core.state, this.clock);
  }

  fetch(afterIndex: number, maxEntries: number): FetchedLog<C> {
    const {state} = this.core;
    const {confirmedMsAgo} = this.status();
    const limits = {...this.settings, maxEntriesPerMessage: maxEntries};
    return this.machine.fetch(state, afterIndex, limits, confirmedMsAgo);
  }

  /** Stops the member and waits for its pending writes. */
  async close(): Promise<void> {
    this.stop();
    await this.effects.close();
  }

  /** Stops the member as a crash would, without waiting for its writes. */
  abort(): void {
    this.stop();
    this.effects.abort();
  }

  private stop(cause?: Error): void {
    if (this.closed) return;
    this.closed = true;
    this.failure = cause;
    this.core.close();
    this.proposals.close(cause);
    this.reads.close(this.core.state.leader);
    const lossCause = cause ? 'log-failed' : 'closed';
    this.leadership.close(this.core.state.term, lossCause);
  }

  private handleStep(
    event: LogEvent<C>,
    before: LogCoreState<C>,
    effects: readonly LogEffect<C>[],
  ): void {
    const {state} = this.core;
    this.roleChanges.recordStep(event, before, state);
    for (const effect of effects) this.effects.run(effect);
    if (state.commitIndex !== before.commitIndex) this.applyCommitted();
    if (this.closed) return;
    this.proposals.resolveApplied(getDurableIndex(state, this.settings));
    const leads = state.role === 'leader' && state.term === before.term;
    if (before.role === 'leader' && !leads) {
      this.proposals.rejectAfterLeadershipLoss(state.leader);
    }
    this.leadership.observe(state, this.roleChanges.cause, event.now);
  }

  private applyCommitted(): void {
    const {state} = this.core;
    try {
      this.machine.applyCommitted(state, (index, results) =>
        this.proposals.setResults(index, results),
      );
    } catch (err) {
      this.fail(new LogFailedError('the state machine failed', {cause: err}));
      return;
    }
    const data = this.machine.takeSnapshotIfDue(state, this.settings);
    if (data) {
      const index = state.commitIndex;
      this.core.dispatchNext({type: 'snapshot-taken', index, data});
    }
    this.proposals.requestFlush();
    for (const listener of [...this.commitListeners]) listener();
  }

  /** Proposes the queued commands, unless an entry is still uncommitted. */
  private proposeQueued(): void {
    const {state} = this.core;
    if (this.proposals.queued === 0 || this.closed) return;
    const refusal = findProposalRefusal(state, false, this.clock);
    if (refusal) {
      this.proposals.rejectQueued(refusal);
      return;
    }
    if (lastIndex(state) > state.commitIndex) return;
    const {proposals, bytes} = this.proposals.takeBatch(this.settings);
    this.proposals.trackEntry(lastIndex(state) + 1, proposals);
    const commands = proposals.map(({command}) => command);
    const durable = proposals.some(proposal => proposal.durable);
    this.core.dispatch({type: 'propose', commands, bytes, durable});
  }

  private handleStorageFailure(cause: unknown): void {
    const err = new LogFailedError('storage failed', {cause});
    if (this.settings.syncEverything) {
      this.fail(err);
      return;
    }
    this.core.dispatch({type: 'storage-failed'});
    this.options.onFailure?.(err);
  }

  private fail(err: Error): void {
    this.stop(err);
    this.effects.abort();
    this.options.onFailure?.(err);
  }

  private transferToPreferredLeader(): void {
    const to = choosePreferred(this.core.state, this.options.preferredLeader);
    const now = performance.now();
    if (!to || now < this.nextPreferredTransferAt) return;
    this.nextPreferredTransferAt = now + 2 * this.settings.electionTimeoutMs;
    this.core.dispatch({type: 'transfer', to});
  }
}
