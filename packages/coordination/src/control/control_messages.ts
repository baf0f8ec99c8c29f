/** Commands, results and views of the control state. */
import type {TeamPolicy} from '@mustardferry/model';

/** Replaces the answers of one team. */
export interface AcceptAnswersCommand {
  readonly type: 'accept-answers';
  readonly team: string;
  /** The answers file as submitted, INI. */
  readonly text: string;
  /** Policy generated from `text`. */
  readonly policy: TeamPolicy;
  /** Revision that the operator changed; 0 for a team without answers. */
  readonly baseRevision: number;
  readonly operator: string;
  readonly requestId: string;
  readonly atMs: number;
}

/** Registers one life of an instance. */
export interface RegisterInstanceCommand {
  readonly type: 'register-instance';
  readonly name: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly disk: boolean;
  readonly incarnation: string;
  readonly atMs: number;
}

/** Promises that this incarnation never joins the generation of the group. */
export interface AbandonGroupCommand {
  readonly type: 'abandon-group';
  readonly group: string;
  readonly generation: number;
  readonly instance: string;
  readonly incarnation: string;
  readonly atMs: number;
}

/** Starts or ends the draining of an instance. */
export interface SetDrainingCommand {
  readonly type: 'set-draining';
  readonly instance: string;
  readonly draining: boolean;
  readonly operator: string;
  readonly requestId: string;
  readonly atMs: number;
}

/** Voter names of one record group, as given by the settings. */
export interface RecordGroupDefinition {
  /** `<dataCentre>.<group>`. */
  readonly group: string;
  readonly names: readonly string[];
}

/**
 * Adds record groups. A command and not a constructor option, so that
 * instances with different settings grant alike.
 */
export interface DefineGroupsCommand {
  readonly type: 'define-groups';
  readonly groups: readonly RecordGroupDefinition[];
  readonly atMs: number;
}

/** Commands of the control log. */
export type ControlCommand =
  | AcceptAnswersCommand
  | RegisterInstanceCommand
  | AbandonGroupCommand
  | SetDrainingCommand
  | DefineGroupsCommand;

/** The change that produced a revision. */
export interface ChangeOrigin {
  readonly operator: string;
  readonly requestId: string;
  readonly revision: number;
}

/** Why a command is invalid. */
export type InvalidCommandCode =
  | 'shares-above-100'
  | 'team-mismatch'
  | 'duplicate-kind'
  | 'share-out-of-range'
  | 'answers-too-large'
  | 'no-such-revision'
  | 'request-id-reused'
  | 'unknown-instance'
  | 'old-incarnation'
  | 'unknown-group'
  | 'old-generation'
  | 'not-a-voter-name'
  | 'group-has-generation'
  | 'bad-group-definition';

/** Result of the first application of a request. */
export type FirstControlResult =
  | {readonly outcome: 'accepted'; readonly revision: number}
  /** Another change came first. */
  | {readonly outcome: 'conflict'; readonly winner: ChangeOrigin}
  | {
      readonly outcome: 'invalid';
      readonly code: InvalidCommandCode;
      readonly detail: string;
    };

/** Result of a control command. */
export type ControlResult =
  | FirstControlResult
  /** The request id was applied before; nothing changed now. */
  | {readonly outcome: 'repeated'; readonly first: FirstControlResult};

/** Answers of a team as accepted. */
export interface TeamAnswers extends ChangeOrigin {
  readonly team: string;
  readonly text: string;
  readonly policy: TeamPolicy;
}

/** An instance as last registered. */
export interface RegisteredInstance {
  readonly name: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly disk: boolean;
  readonly incarnation: string;
  readonly draining: boolean;
}

/** Incarnation of a voter name that never registered. */
export const ABSENT_INCARNATION = 'absent';

/** Voter of a granted generation. */
export interface GrantedVoter {
  readonly name: string;
  readonly incarnation: string;
}

/** Promise of an incarnation never to join the current generation. */
export interface Abandonment extends GrantedVoter {
  readonly atMs: number;
}

/** Generation of a record group, as granted. */
export interface RecordGroupGeneration {
  readonly group: string;
  /** From 1. */
  readonly generation: number;
  readonly voters: readonly GrantedVoter[];
  /** Epoch milliseconds by the clocks of the proposers. */
  readonly grantedAtMs: number;
}

/** State of a record group. */
export interface RecordGroupView extends RecordGroupDefinition {
  /** Absent until a majority of the names registered. */
  readonly current?: RecordGroupGeneration;
  /** Who abandoned the current generation; at most one entry for a name. */
  readonly abandonedBy: readonly Abandonment[];
}
