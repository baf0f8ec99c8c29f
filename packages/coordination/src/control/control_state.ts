/** State machine of the control log. */
import {
  assertNever,
  type AuditEntry,
  type AuditPage,
  type Policy,
} from '@mustardferry/model';
import {pack, unpack} from 'msgpackr';

import {SnapshotFormatError} from '../errors.js';
import {StateMachine} from '../replicated_log/state_machine.js';
import {checkAnswers, invalid} from './answers_check.js';
import {formatResultDetail} from './audit_detail.js';
import {AuditTail, type AuditTailSnapshot} from './audit_tail.js';
import type {
  AbandonGroupCommand,
  AcceptAnswersCommand,
  ControlCommand,
  ControlResult,
  DefineGroupsCommand,
  FirstControlResult,
  RecordGroupView,
  RegisteredInstance,
  RegisterInstanceCommand,
  SetDrainingCommand,
  TeamAnswers,
} from './control_messages.js';
import {type InstanceEntry, InstanceRegistry} from './instance_registry.js';
import {RecordGroups} from './record_groups.js';
import {
  type OperatorCommand,
  type RememberedRequest,
  RequestHistory,
} from './request_history.js';

const SNAPSHOT_FORMAT = 1;

interface ControlSnapshot {
  readonly format: number;
  readonly revision: number;
  readonly answers: readonly TeamAnswers[];
  readonly instances: readonly InstanceEntry[];
  readonly groups: readonly RecordGroupView[];
  readonly requests: readonly RememberedRequest[];
  readonly audit: AuditTailSnapshot;
}

function generatePolicy(
  revision: number,
  answers: ReadonlyMap<string, TeamAnswers>,
): Policy {
  const teams = [...answers.keys()].sort().flatMap(team => {
    const policy = answers.get(team)?.policy;
    return policy === undefined ? [] : [policy];
  });
  return Object.freeze({revision, teams: Object.freeze(teams)});
}

/**
 * Holds the answers of all teams, the policy generated from them, the
 * registered instances, the record groups and the newest audit entries.
 */
export class ControlState extends StateMachine<ControlCommand, ControlResult> {
  private answersByTeam = new Map<string, TeamAnswers>();
  private instanceRegistry = new InstanceRegistry();
  private recordGroups = new RecordGroups();
  private requests = new RequestHistory();
  private audit = new AuditTail();
  private revision = 0;
  /** Generated on the first read after a change, not during log replay. */
  private cachedPolicy: Policy | undefined;

  private readonly getIncarnation = (name: string): string | undefined =>
    this.instanceRegistry.get(name)?.incarnation;

  override apply(command: ControlCommand, index: number): ControlResult {
    switch (command.type) {
      case 'accept-answers':
        return this.applyOnce(command, () =>
          this.acceptAnswers(command, index),
        );
      case 'set-draining':
        return this.applyOnce(command, () => this.setDraining(command, index));
      case 'register-instance':
        return this.registerInstance(command, index);
      case 'abandon-group':
        return this.abandonGroup(command, index);
      case 'define-groups':
        return this.defineGroups(command, index);
      default:
        return assertNever(command);
    }
  }

  override snapshot(): Uint8Array {
    const state: ControlSnapshot = {
      format: SNAPSHOT_FORMAT,
      revision: this.revision,
      answers: [...this.answersByTeam.values()],
      instances: this.instanceRegistry.snapshot(),
      groups: this.recordGroups.list(),
      requests: this.requests.snapshot(),
      audit: this.audit.snapshot(),
    };
    return pack(state);
  }

  /** @throws SnapshotFormatError when the bytes have another format version. */
  override restore(bytes: Uint8Array): void {
    const state = unpack(bytes) as ControlSnapshot;
    if (state.format !== SNAPSHOT_FORMAT) {
      throw new SnapshotFormatError(`control snapshot format ${state.format}`);
    }
    this.answersByTeam = new Map(state.answers.map(each => [each.team, each]));
    this.instanceRegistry = new InstanceRegistry(state.instances);
    this.recordGroups = new RecordGroups(state.groups);
    this.requests = new RequestHistory(state.requests);
    this.audit = new AuditTail(state.audit);
    this.revision = state.revision;
    this.cachedPolicy = undefined;
  }

  /** The policy in force; the same object until it changes. */
  get policy(): Policy {
    this.cachedPolicy ??= generatePolicy(this.revision, this.answersByTeam);
    return this.cachedPolicy;
  }

  answers(team: string): TeamAnswers | undefined {
    return this.answersByTeam.get(team);
  }

  instances(): readonly RegisteredInstance[] {
    return this.instanceRegistry.list();
  }

  instance(name: string): RegisteredInstance | undefined {
    return this.instanceRegistry.get(name);
  }

  groups(): readonly RecordGroupView[] {
    return this.recordGroups.list();
  }

  group(group: string): RecordGroupView | undefined {
    return this.recordGroups.get(group);
  }

  get lastAuditIndex(): number {
    return this.audit.lastIndex;
  }

  /** Returns entries after an index, or undefined when some were dropped. */
  getAuditPage(after: number, limit: number): AuditPage | undefined {
    return this.audit.page(after, limit);
  }

  /** Returns all audit entries kept in memory. */
  getAuditTail(): AuditPage {
    return this.audit.getFullPage();
  }

  /** Runs each request only once; a resent one gets the result of the first. */
  private applyOnce(
    command: OperatorCommand,
    run: () => FirstControlResult,
  ): ControlResult {
    const known = this.requests.findResult(command);
    if (known !== undefined) {
      if (known.outcome !== 'repeated') this.recordChange(command, known);
      return known;
    }
    const first = run();
    this.requests.storeResult(command, first);
    return first;
  }

  private acceptAnswers(
    command: AcceptAnswersCommand,
    index: number,
  ): FirstControlResult {
    const {team, text, policy, operator, requestId} = command;
    const refusal = checkAnswers(command, this.answersByTeam, index);
    const result = refusal ?? {outcome: 'accepted', revision: index};
    this.recordChange(command, result);
    if (refusal === undefined) {
      const changed = {team, text, policy, operator, requestId};
      this.answersByTeam.set(team, {...changed, revision: index});
      this.revision = index;
      this.cachedPolicy = undefined;
    }
    return result;
  }

  private setDraining(
    command: SetDrainingCommand,
    index: number,
  ): FirstControlResult {
    const instance = this.instanceRegistry.get(command.instance);
    const result: FirstControlResult =
      instance === undefined
        ? invalid('unknown-instance', command.instance)
        : {outcome: 'accepted', revision: index};
    this.recordChange(command, result);
    if (instance !== undefined) {
      this.instanceRegistry.setDraining(instance, command.draining);
    }
    return result;
  }

  /**
   * Appends an audit entry. Must run before the change takes effect, because
   * the entry contains the previous state.
   */
  private recordChange(command: OperatorCommand, result: ControlResult): void {
    const {atMs, operator, requestId} = command;
    const requestFields = {
      atMs,
      operator,
      requestId,
      detail: formatResultDetail(result),
    };
    this.audit.append({
      ...requestFields,
      ...this.describeChange(command, result),
    });
  }

  private describeChange(
    command: OperatorCommand,
    result: ControlResult,
  ): Pick<
    AuditEntry,
    'action' | 'team' | 'fromRevision' | 'toRevision' | 'before' | 'after'
  > {
    const revision =
      result.outcome === 'accepted' ? result.revision : undefined;
    if (command.type === 'set-draining') {
      const {instance, draining} = command;
      const before = this.instanceRegistry.get(instance)?.draining ?? false;
      return {
        action: 'drain',
        team: '',
        fromRevision: 0,
        toRevision: revision ?? 0,
        before: `${instance} draining=${before}`,
        after: `${instance} draining=${draining}`,
      };
    }
    const current = this.answersByTeam.get(command.team);
    const fromRevision = current?.revision ?? 0;
    return {
      action: revision === undefined ? 'answers-refused' : 'answers-accepted',
      team: command.team,
      fromRevision,
      toRevision: revision ?? fromRevision,
      before: current?.text ?? '',
      after: command.text,
    };
  }

  private registerInstance(
    command: RegisterInstanceCommand,
    index: number,
  ): ControlResult {
    const {name, incarnation, atMs} = command;
    const registered = this.instanceRegistry.register(command);
    if (registered === 'old') {
      return invalid('old-incarnation', `${name} ${incarnation}`);
    }
    if (registered === 'new') this.recordGroups.withdrawAbandonments(name);
    this.recordGroups.grantGenerations(this.getIncarnation, atMs);
    return {outcome: 'accepted', revision: index};
  }

  private abandonGroup(
    command: AbandonGroupCommand,
    index: number,
  ): ControlResult {
    const {instance, incarnation, atMs} = command;
    if (this.getIncarnation(instance) !== incarnation) {
      return invalid('old-incarnation', `${instance} ${incarnation}`);
    }
    const refusal = this.recordGroups.abandon(command);
    if (refusal !== undefined) return refusal;
    this.recordGroups.grantGenerations(this.getIncarnation, atMs);
    return {outcome: 'accepted', revision: index};
  }

  private defineGroups(
    command: DefineGroupsCommand,
    index: number,
  ): ControlResult {
    const refusal = this.recordGroups.defineGroups(command.groups);
    if (refusal !== undefined) return refusal;
    this.recordGroups.grantGenerations(this.getIncarnation, command.atMs);
    return {outcome: 'accepted', revision: index};
  }
}
