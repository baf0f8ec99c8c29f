/** State machine of the control log. */
import {assertNever, type AuditPage, type Policy} from '@mustardferry/model';
import {pack, unpack} from 'msgpackr';

import {SnapshotFormatError} from '../errors.js';
import {StateMachine} from '../replicated_log/state_machine.js';
import {checkAnswers, invalid} from './answers_check.js';
import {describeChange} from './audit_detail.js';
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
  SetEvacuatedCommand,
  TeamAnswers,
} from './control_messages.js';
import {type EvacuationRecord, Evacuations} from './evacuations.js';
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
  /** Absent when no data centre was ever evacuated, and from older programs. */
  readonly evacuations?: readonly EvacuationRecord[];
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
 * registered instances, the record groups, the evacuated data centres and the
 * newest audit entries.
 */
export class ControlState extends StateMachine<ControlCommand, ControlResult> {
  private answersByTeam = new Map<string, TeamAnswers>();
  private instanceRegistry = new InstanceRegistry();
  private recordGroups = new RecordGroups();
  private evacuationTable = new Evacuations();
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
      case 'set-evacuated':
        return this.applyOnce(command, () => this.setEvacuated(command, index));
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
    const evacuations = this.evacuationTable.list();
    const state: ControlSnapshot = {
      format: SNAPSHOT_FORMAT,
      revision: this.revision,
      answers: [...this.answersByTeam.values()],
      instances: this.instanceRegistry.snapshot(),
      groups: this.recordGroups.list(),
      ...(evacuations.length === 0 ? {} : {evacuations}),
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
    this.evacuationTable = new Evacuations(state.evacuations);
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

  /** Last evacuation orders, sorted by data centre. */
  evacuations(): readonly EvacuationRecord[] {
    return this.evacuationTable.list();
  }

  /** Last evacuation order for a data centre. */
  evacuation(dataCentre: string): EvacuationRecord | undefined {
    return this.evacuationTable.get(dataCentre);
  }

  /** Whether a record group or a registered instance is in the data centre. */
  knowsDataCentre(dataCentre: string): boolean {
    return (
      this.recordGroups.hasDataCentre(dataCentre) ||
      this.instanceRegistry.list().some(each => each.dataCentre === dataCentre)
    );
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

  private setEvacuated(
    command: SetEvacuatedCommand,
    index: number,
  ): FirstControlResult {
    const {dataCentre} = command;
    const result = this.knowsDataCentre(dataCentre)
      ? this.evacuationTable.check(command, index)
      : invalid('unknown-data-centre', dataCentre);
    this.recordChange(command, result);
    if (result.outcome === 'accepted') {
      this.evacuationTable.store(command, result.revision);
    }
    return result;
  }

  /**
   * Appends an audit entry. Must run before the change takes effect, because
   * the entry contains the previous state.
   */
  private recordChange(command: OperatorCommand, result: ControlResult): void {
    this.audit.append(describeChange(command, result, this));
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
