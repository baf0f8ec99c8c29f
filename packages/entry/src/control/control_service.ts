/** The control log as this instance takes part in it. */
import {
  archiveAudit,
  type AuditArchive,
  type ControlCommand,
  type ControlResult,
  ControlState,
  type FetchedLog,
  LogFailedError,
  type LogFeed,
  LogFollower,
  type LogStorage,
  type MemberId,
  NotLeaderError,
  NotProposedError,
  OutcomeUnknownError,
  ReplicatedLog,
} from '@mustardferry/coordination';
import type {ControlFetch, ControlReply} from '@mustardferry/links';
import type {AuditPage, InstanceSettings, Policy} from '@mustardferry/model';
import type {Logger} from '@mustardferry/runtime';

import {LogNetworkTransport} from '../peers/log_network_transport.js';
import type {PeerNetwork} from '../peers/peer_network.js';
import {
  ControlOutcomeUnknownError,
  ControlUnavailableError,
} from './control_errors.js';
import {ControlPuller, FETCH_WAIT_MS} from './control_puller.js';

/** Name of the control log in peer messages. */
export const CONTROL_LOG = 'control';

/** Options of the service. */
export interface ControlServiceOptions {
  readonly settings: InstanceSettings;
  readonly network: PeerNetwork;
  readonly logger: Logger;
  /** Storage of a voter; null for an instance that is none. */
  readonly storage: LogStorage<ControlCommand> | null;
  /** Where a voter keeps audit entries that leave memory. */
  readonly audit: AuditArchive | undefined;
  readonly onChange: () => void;
}

const FETCH_MAX_ENTRIES = 256;
const PROPOSE_TIMEOUT_MS = 5_000;
const PROPOSE_ROUNDS = 20;
const PROPOSE_RETRY_MS = 100;
/** State confirmed within this time is presented as current. */
const CURRENT_WITHIN_MS = 12_000;

/**
 * Voters replicate the log; other instances pull it, from a peer of their own
 * data centre where possible, so that the leader serves few.
 */
export class ControlService {
  readonly name = 'control-service';
  readonly state = new ControlState();
  private log: ReplicatedLog<ControlCommand, ControlResult> | undefined;
  private readonly follower = new LogFollower<ControlCommand, ControlResult>({
    machine: this.state,
  });
  private readonly waiting = new Set<() => void>();
  private readonly puller: ControlPuller;
  private confirmedAt = Number.NEGATIVE_INFINITY;
  private closed = false;

  constructor(private readonly options: ControlServiceOptions) {
    this.puller = new ControlPuller({
      ...options,
      follower: this.follower,
      onChange: () => this.changed(),
    });
  }

  /** Identity of the voters; a voter keeps its incarnation over restarts. */
  private memberOf(name: string): MemberId {
    return {name, incarnation: 'voter'};
  }

  get isVoter(): boolean {
    const {settings} = this.options;
    return settings.controlVoters.includes(settings.name);
  }

  /** Starts to take part. */
  async open(): Promise<void> {
    const {settings, network, storage, logger} = this.options;
    if (!this.isVoter) {
      this.puller.start();
      return;
    }
    const self = this.memberOf(settings.name);
    this.log = await ReplicatedLog.open({
      self,
      voters: settings.controlVoters.map(name => this.memberOf(name)),
      mode: 'sync-everything',
      storage,
      transport: new LogNetworkTransport(CONTROL_LOG, self, network),
      machine: this.state,
      heartbeatMs: settings.heartbeatMs,
      electionTimeoutMs: settings.electionTimeoutMs,
      onFailure: err => logger.error('control-log-failed', {err}),
    });
    this.log.onCommit(() => this.changed());
    this.log.onLeadership(change => {
      logger.info('control-leadership', {...change});
      this.changed();
    });
  }

  get policy(): Policy {
    return this.state.policy;
  }

  /** Names of the data centres in which no task may start. */
  get evacuatedDataCentres(): readonly string[] {
    const evacuated = this.state.evacuations().filter(each => each.evacuated);
    return evacuated.map(({dataCentre}) => dataCentre);
  }

  get role(): 'leader' | 'follower' | 'learner' {
    const role = this.log?.status().role;
    if (role === undefined || role === 'learner') return 'learner';
    return role === 'leader' ? 'leader' : 'follower';
  }

  /**
   * Age of the leader's last confirmation of this state, in milliseconds.
   * Infinity before the first one: a restarted voter may hold an older state
   * than it showed before, and so may those that pull from it.
   */
  get confirmedMsAgo(): number {
    if (this.log === undefined) return this.follower.confirmedMsAgo;
    this.noteConfirmation();
    return performance.now() - this.confirmedAt;
  }

  get isCurrent(): boolean {
    return this.hasState && this.confirmedMsAgo <= CURRENT_WITHIN_MS;
  }

  /** Whether this life holds a state that a leader has confirmed. */
  get hasState(): boolean {
    const {appliedIndex} = this.log?.status() ?? this.follower;
    return appliedIndex > 0 && Number.isFinite(this.confirmedMsAgo);
  }

  receive(from: MemberId, message: unknown): void {
    this.log?.receive(from, message as Parameters<typeof this.log.receive>[1]);
  }

  peerLost(name: string): void {
    this.noteConfirmation();
    this.log?.reportPeerLost(name);
  }

  /**
   * Proposes a change through whichever instance leads.
   *
   * @throws ControlUnavailableError when it was never proposed.
   * @throws ControlOutcomeUnknownError when it may have taken effect.
   */
  async propose(command: ControlCommand): Promise<ControlResult> {
    let unknown: string | undefined;
    for (let round = 0; round < PROPOSE_ROUNDS && !this.closed; round++) {
      for (const name of this.proposalTargets()) {
        const reply = await this.proposeAt(name, command);
        if (reply?.type === 'result') return reply.result as ControlResult;
        // Proposing again is safe: the control state applies a request id or
        // a registration once and returns its first result from then on.
        if (reply?.type === 'outcome-unknown') unknown = reply.detail;
      }
      await new Promise(resolve => setTimeout(resolve, PROPOSE_RETRY_MS));
    }
    if (unknown !== undefined) throw new ControlOutcomeUnknownError(unknown);
    throw new ControlUnavailableError('no leader of the control log was found');
  }

  /** Handles a proposal that a peer sent here. */
  async proposeHere(command: ControlCommand): Promise<ControlReply> {
    if (this.log === undefined) return {type: 'not-leader', leader: undefined};
    try {
      return {type: 'result', result: await this.log.propose(command)};
    } catch (err) {
      if (err instanceof NotLeaderError) {
        return {type: 'not-leader', leader: err.leader?.name};
      }
      if (err instanceof NotProposedError || err instanceof LogFailedError) {
        return {type: 'not-leader', leader: undefined};
      }
      if (err instanceof OutcomeUnknownError) {
        return {type: 'outcome-unknown', detail: err.message};
      }
      throw err;
    }
  }

  /** Serves an instance that pulls; holds the reply while nothing is new. */
  async fetch(req: ControlFetch): Promise<FetchedLog<ControlCommand>> {
    const source = this.log ?? this.follower;
    const deadline = Date.now() + Math.min(req.waitMs, FETCH_WAIT_MS);
    while (!this.closed) {
      const page = this.pageOf(source, req.afterIndex);
      const leftMs = deadline - Date.now();
      if (page.commitIndex > req.afterIndex || leftMs <= 0) return page;
      await this.nextChange(leftMs);
    }
    return this.pageOf(source, req.afterIndex);
  }

  async close(): Promise<void> {
    this.closed = true;
    this.puller.close();
    this.changed();
    this.log?.transferLeadership();
    await this.log?.close();
  }

  /** Audit entries after an index, from memory or from the archive. */
  async auditPage(
    after: number,
    limit: number,
  ): Promise<AuditPage | undefined> {
    const page = this.state.getAuditPage(after, limit);
    return page ?? (await this.options.audit?.page(after, limit));
  }

  private pageOf(
    source: LogFeed<ControlCommand>,
    afterIndex: number,
  ): FetchedLog<ControlCommand> {
    const {confirmedMsAgo} = this;
    return {...source.fetch(afterIndex, FETCH_MAX_ENTRIES), confirmedMsAgo};
  }

  /** Keeps the time of the confirmation, which the log forgets with a leader. */
  private noteConfirmation(): void {
    const status = this.log?.status();
    if (status === undefined || !status.recovered) return;
    const at = performance.now() - status.confirmedMsAgo;
    this.confirmedAt = Math.max(this.confirmedAt, at);
  }

  private archive(): void {
    const {audit, logger} = this.options;
    if (audit === undefined) return;
    archiveAudit(this.state, audit).catch((err: unknown) =>
      logger.error('audit-archive-failed', {err}),
    );
  }

  private changed(): void {
    this.archive();
    for (const wake of [...this.waiting]) wake();
    if (!this.closed) this.options.onChange();
  }

  private nextChange(timeoutMs: number): Promise<void> {
    return new Promise(resolve => {
      const wake = (): void => {
        clearTimeout(timer);
        this.waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, timeoutMs);
      this.waiting.add(wake);
    });
  }

  /** The leader if known, then the other voters. */
  private proposalTargets(): readonly string[] {
    const {settings, network} = this.options;
    const voters = settings.controlVoters;
    const leader =
      this.log?.leader?.name ??
      voters.find(name => network.statusOf(name)?.controlRole === 'leader');
    if (leader === undefined) return voters;
    return [leader, ...voters.filter(name => name !== leader)];
  }

  /** Undefined when the instance was not reached before sending. */
  private async proposeAt(
    name: string,
    command: ControlCommand,
  ): Promise<ControlReply | undefined> {
    const {settings, network, logger} = this.options;
    if (name === settings.name) return this.proposeHere(command);
    if (!network.isUp(name)) return undefined;
    try {
      return await network.call(name, PROPOSE_TIMEOUT_MS, client =>
        client.proposeControl.mutate({command}),
      );
    } catch (err) {
      logger.debug('control-proposal-lost', {peer: name, err});
      return {type: 'outcome-unknown', detail: `${name} did not reply`};
    }
  }
}
