/** Describes commands and their results for the audit trail. */
import {assertNever, type AuditEntry} from '@mustardferry/model';

import type {UnhashedAuditEntry} from './audit_chain.js';
import type {
  AcceptAnswersCommand,
  ControlResult,
  RegisteredInstance,
  SetDrainingCommand,
  SetEvacuatedCommand,
  TeamAnswers,
} from './control_messages.js';
import type {EvacuationRecord} from './evacuations.js';
import type {OperatorCommand} from './request_history.js';

/** State that an audit entry shows as it was before the change. */
export interface AuditedState {
  answers(team: string): TeamAnswers | undefined;
  instance(name: string): RegisteredInstance | undefined;
  evacuation(dataCentre: string): EvacuationRecord | undefined;
}

/** Members of an audit entry that depend on the kind of command. */
type AuditedChange = Pick<
  AuditEntry,
  'action' | 'team' | 'fromRevision' | 'toRevision' | 'before' | 'after'
>;

/** Formats why a change was not applied; empty for an accepted change. */
function formatResultDetail(result: ControlResult): string {
  switch (result.outcome) {
    case 'accepted':
      return '';
    case 'conflict': {
      const {operator, requestId, revision} = result.winner;
      return `conflict: revision ${revision} by ${operator}, request ${requestId}`;
    }
    case 'invalid':
      return `${result.code}: ${result.detail}`;
    case 'repeated':
      return 'repeated';
    default:
      return assertNever(result);
  }
}

function acceptedRevision(result: ControlResult): number | undefined {
  return result.outcome === 'accepted' ? result.revision : undefined;
}

function describeAnswers(
  command: AcceptAnswersCommand,
  result: ControlResult,
  current: TeamAnswers | undefined,
): AuditedChange {
  const revision = acceptedRevision(result);
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

function describeDraining(
  {instance, draining}: SetDrainingCommand,
  result: ControlResult,
  before: boolean,
): AuditedChange {
  return {
    action: 'drain',
    team: '',
    fromRevision: 0,
    toRevision: acceptedRevision(result) ?? 0,
    before: `${instance} draining=${before}`,
    after: `${instance} draining=${draining}`,
  };
}

function describeEvacuation(
  {dataCentre, evacuated}: SetEvacuatedCommand,
  result: ControlResult,
  current: EvacuationRecord | undefined,
): AuditedChange {
  const fromRevision = current?.revision ?? 0;
  return {
    action: 'evacuation',
    team: '',
    fromRevision,
    toRevision: acceptedRevision(result) ?? fromRevision,
    before: `${dataCentre} evacuated=${current?.evacuated ?? false}`,
    after: `${dataCentre} evacuated=${evacuated}`,
  };
}

function describeCommand(
  command: OperatorCommand,
  result: ControlResult,
  state: AuditedState,
): AuditedChange {
  switch (command.type) {
    case 'accept-answers':
      return describeAnswers(command, result, state.answers(command.team));
    case 'set-draining': {
      const before = state.instance(command.instance)?.draining ?? false;
      return describeDraining(command, result, before);
    }
    case 'set-evacuated': {
      const current = state.evacuation(command.dataCentre);
      return describeEvacuation(command, result, current);
    }
    default:
      return assertNever(command);
  }
}

/** Creates the audit entry of a change that has not taken effect yet. */
export function describeChange(
  command: OperatorCommand,
  result: ControlResult,
  state: AuditedState,
): Omit<UnhashedAuditEntry, 'index'> {
  const {atMs, operator, requestId} = command;
  return {
    atMs,
    operator,
    requestId,
    detail: formatResultDetail(result),
    ...describeCommand(command, result, state),
  };
}
