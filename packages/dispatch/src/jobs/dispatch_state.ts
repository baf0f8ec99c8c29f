/**
 * Replicated state of dispatch: the configuration, the upstreams, the evacuated
 * data centres, and all jobs with their progress. The runs in progress are not part of it: a new leader
 * recovers them from the upstreams, which list their runs and run ends.
 */
import {StateMachine} from '@mustardferry/coordination';
import {assertNever} from '@mustardferry/model';
import {pack, unpack} from 'msgpackr';

import type {
  Announcement,
  UpstreamIncarnation,
} from '../upstreams/upstream_types.js';
import type {
  Command,
  CommandResult,
  CountedRunEnd,
  HeardUpstream,
  JobRecord,
  UpstreamEntry,
} from './commands.js';
import {type Configuration, QueueTable} from './configuration.js';
import {
  type EvacuationChange,
  type EvacuationRecord,
  type EvacuationSnapshot,
  EvacuationTable,
} from './evacuations.js';
import {type AdmittedJob, TASK_DONE} from './job_types.js';

/**
 * Maximum number of run ends kept for unknown jobs. They occur when a leader
 * starts tasks before the admission of their job is committed, and then fails.
 */
const MAX_EARLY_ENDS = 4_096;

/** Maximum number of upstreams known to have left. */
const MAX_DEPARTED = 4_096;

interface Snapshot {
  readonly format: 1;
  readonly configuration: Configuration | null;
  readonly upstreams: readonly UpstreamEntry[];
  readonly jobs: readonly JobRecord[];
  readonly earlyEnds: readonly CountedRunEnd[];
  /** Absent in snapshots of earlier programs. */
  readonly departed?: readonly DepartedUpstream[];
  readonly evacuations?: EvacuationSnapshot;
}

interface DepartedUpstream extends UpstreamIncarnation {
  readonly heard?: HeardUpstream;
}

const COMMAND_DONE: CommandResult = {type: 'done'};

/** State machine replicated by the group's log; it must be deterministic. */
export class DispatchState extends StateMachine<Command, CommandResult> {
  readonly evacuations = new EvacuationTable();
  /** Called after a data centre was evacuated or readmitted. */
  onEvacuation: (record: EvacuationRecord) => void = () => undefined;
  private queueTable: QueueTable | null = null;
  private readonly upstreamsById = new Map<string, UpstreamEntry>();
  private readonly jobsById = new Map<string, JobRecord>();
  private earlyEnds: CountedRunEnd[] = [];
  /** Newest incarnations that have left, by id. */
  private readonly departed = new Map<string, DepartedUpstream>();

  get queues(): QueueTable | null {
    return this.queueTable;
  }

  get upstreams(): ReadonlyMap<string, UpstreamEntry> {
    return this.upstreamsById;
  }

  get jobs(): ReadonlyMap<string, Readonly<JobRecord>> {
    return this.jobsById;
  }

  /** Whether an incarnation has left; a later one of its id has not. */
  hasLeft({id, startedAt}: UpstreamIncarnation): boolean {
    return startedAt <= (this.departed.get(id)?.startedAt ?? -Infinity);
  }

  /**
   * Whether an upstream has sent an announcement after it counted as having
   * left. Its deregistration was then one of an earlier incarnation that
   * arrived late, as deregistrations don't name an incarnation.
   */
  hasReturned(announcement: Announcement): boolean {
    const {id, startedAt, leaving, sequence, clockMs} = announcement;
    const departed = this.departed.get(id);
    const heard = departed?.heard;
    if (!heard || leaving || departed.startedAt !== startedAt) return false;
    return sequence > heard.sequence && clockMs > heard.clockMs;
  }

  /** Run ends of a job that were committed before its admission. */
  getEarlyEnds(job: string): readonly CountedRunEnd[] {
    return this.earlyEnds.filter(({task}) => task.job === job);
  }

  override apply(command: Command): CommandResult {
    switch (command.type) {
      case 'configure':
        return this.configure(command.configuration);
      case 'upstream':
        return this.setUpstream(command);
      case 'forget-upstream':
        return this.forgetUpstream(command);
      case 'submit':
        return this.submit(command.job);
      case 'cancel':
        return this.cancel(command.job, command.at);
      case 'ends':
        return this.applyEnds(command);
      case 'evacuate':
        return this.evacuate(command);
      case 'expire':
        return this.expire(command.before);
      default:
        return assertNever(command);
    }
  }

  override snapshot(): Uint8Array {
    const content: Snapshot = {
      format: 1,
      configuration: this.queueTable?.configuration ?? null,
      upstreams: [...this.upstreamsById.values()],
      jobs: [...this.jobsById.values()],
      earlyEnds: this.earlyEnds,
      departed: [...this.departed.values()],
      evacuations: this.evacuations.snapshot(),
    };
    return pack(content);
  }

  override restore(bytes: Uint8Array): void {
    const content = unpack(bytes) as Snapshot;
    const {configuration} = content;
    this.queueTable = configuration && new QueueTable(configuration);
    this.upstreamsById.clear();
    for (const entry of content.upstreams) {
      this.upstreamsById.set(entry.record.id, entry);
    }
    this.jobsById.clear();
    for (const record of content.jobs) this.jobsById.set(record.job.id, record);
    this.earlyEnds = [...content.earlyEnds];
    this.departed.clear();
    for (const each of content.departed ?? []) this.departed.set(each.id, each);
    this.evacuations.restore(content.evacuations);
  }

  private configure(configuration: Configuration): CommandResult {
    const held = this.queueTable?.configuration.revision ?? -1;
    if (configuration.revision > held) {
      this.queueTable = new QueueTable(configuration);
    }
    return {type: 'revision', revision: Math.max(held, configuration.revision)};
  }

  private setUpstream({
    upstream: record,
    returned = false,
  }: Extract<Command, {type: 'upstream'}>): CommandResult {
    if (returned) this.departed.delete(record.id);
    const known = this.upstreamsById.get(record.id);
    if (known && known.record.startedAt > record.startedAt) return COMMAND_DONE;
    const isSameIncarnation = known?.record.startedAt === record.startedAt;
    const acknowledged = isSameIncarnation && known ? known.acknowledged : 0;
    this.upstreamsById.set(record.id, {record, acknowledged});
    return COMMAND_DONE;
  }

  private forgetUpstream({
    life: {id, startedAt},
    left = false,
    heard,
  }: Extract<Command, {type: 'forget-upstream'}>): CommandResult {
    const known = this.upstreamsById.get(id)?.record.startedAt;
    if (known === startedAt) this.upstreamsById.delete(id);
    if (!left) return COMMAND_DONE;
    this.departed.delete(id);
    this.departed.set(id, {
      id,
      startedAt,
      ...(heard ? {heard} : {}),
    });
    const [oldest] = this.departed.keys();
    if (oldest !== undefined && this.departed.size > MAX_DEPARTED) {
      this.departed.delete(oldest);
    }
    return COMMAND_DONE;
  }

  private submit(job: AdmittedJob): CommandResult {
    const known = this.jobsById.get(job.id);
    if (known) return this.toJobResult(known);
    const record: JobRecord = {
      job,
      progress: job.steps.map(({tasks}) => new Array<number>(tasks).fill(0)),
      remaining: job.steps.reduce((sum, {tasks}) => sum + tasks, 0),
      outcome: 'open',
      endedAt: 0,
    };
    this.jobsById.set(job.id, record);
    if (this.earlyEnds.length > 0) this.applyEarlyEnds(record);
    return this.toJobResult(record);
  }

  private applyEarlyEnds(record: JobRecord): void {
    const {id, admittedAt} = record.job;
    const matching = this.earlyEnds.filter(({task}) => task.job === id);
    if (matching.length === 0) return;
    this.earlyEnds = this.earlyEnds.filter(({task}) => task.job !== id);
    for (const end of matching) this.count(record, end, admittedAt);
  }

  private cancel(id: string, at: number): CommandResult {
    const record = this.jobsById.get(id);
    if (!record) return {type: 'job', state: 'unknown'};
    if (record.outcome === 'open') this.end(record, 'cancelled', at);
    return this.toJobResult(record);
  }

  private applyEnds({
    at,
    life,
    upTo,
    ends,
  }: Extract<Command, {type: 'ends'}>): CommandResult {
    const entry = this.upstreamsById.get(life.id);
    const isSameIncarnation = entry?.record.startedAt === life.startedAt;
    if (entry && isSameIncarnation) {
      const acknowledged = Math.max(entry.acknowledged, upTo);
      this.upstreamsById.set(life.id, {...entry, acknowledged});
    }
    for (const end of ends) {
      const record = this.jobsById.get(end.task.job);
      if (record) this.count(record, end, at);
      else this.bufferEarlyEnd(end);
    }
    return COMMAND_DONE;
  }

  private bufferEarlyEnd(end: CountedRunEnd): void {
    this.earlyEnds.push(end);
    if (this.earlyEnds.length > MAX_EARLY_ENDS) this.earlyEnds.shift();
  }

  private count(record: JobRecord, end: CountedRunEnd, at: number): void {
    const tasks = record.progress[end.task.step];
    const failures = tasks?.[end.task.index];
    if (!tasks || failures === undefined || record.outcome !== 'open') return;
    if (failures === TASK_DONE) return;
    if (end.outcome === 'done') {
      tasks[end.task.index] = TASK_DONE;
      record.remaining--;
      if (record.remaining === 0) this.end(record, 'completed', at);
      return;
    }
    tasks[end.task.index] = failures + 1;
    const isExhausted = failures + 1 >= record.job.maxAttempts;
    if (isExhausted) this.end(record, 'failed', at);
  }

  private end(
    record: JobRecord,
    outcome: 'completed' | 'failed' | 'cancelled',
    at: number,
  ): void {
    record.outcome = outcome;
    record.endedAt = at;
    // The payload is most of a record, and ended jobs are never restarted.
    const job = {...record.job, payload: ''};
    this.jobsById.set(job.id, {...record, job});
  }

  private expire(before: number): CommandResult {
    for (const [id, {outcome, endedAt}] of this.jobsById) {
      if (outcome !== 'open' && endedAt < before) this.jobsById.delete(id);
    }
    return COMMAND_DONE;
  }

  private evacuate(change: EvacuationChange): CommandResult {
    const applied = this.evacuations.apply(change);
    const record = this.evacuations.get(change.dataCentre);
    if (applied) this.onEvacuation(record);
    return {type: 'evacuation', applied, record};
  }

  private toJobResult({outcome}: JobRecord): CommandResult {
    return {type: 'job', state: outcome === 'open' ? 'queued' : outcome};
  }
}
