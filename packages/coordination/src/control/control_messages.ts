/** Commands, results and contents of the control state. */
import type {TeamPolicy} from '@mustardferry/model';

/** Replaces the questionnaire answers of one team. */
export interface AcceptAnswersCommand {
  readonly type: 'accept-answers';
  readonly team: string;
  /** The submitted answers file, in INI format. */
  readonly text: string;
  /** Policy generated from `text`. */
  readonly policy: TeamPolicy;
  /** Revision that the change is based on; 0 for a team without answers. */
  readonly baseRevision: number;
  readonly operator: string;
  readonly requestId: string;
  readonly atMs: number;
}

/** Registers an incarnation of an instance. */
export interface RegisterInstanceCommand {
  readonly type: 'register-instance';
  readonly name: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly disk: boolean;
  readonly incarnation: string;
  readonly atMs: number;
}

/**
 * Abandons a generation of a record group: this incarnation of the instance
 * will never join it.
 */
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

/** Evacuates or readmits a data centre. */
export interface SetEvacuatedCommand {
  readonly type: 'set-evacuated';
  readonly dataCentre: string;
  readonly evacuated: boolean;
  /**
   * Revision of the last order for the data centre that this one is based on; 0
   * when there was none.
   */
  readonly baseRevision: number;
  readonly operator: string;
  readonly requestId: string;
  readonly atMs: number;
}

/** Voter names of one record group, as derived from the settings. */
export interface RecordGroupDefinition {
  /** `<dataCentre>.<group>`. */
  readonly group: string;
  readonly names: readonly string[];
}

/**
 * Adds record groups. This is a command and not a constructor option, so that
 * instances with different settings grant the same generations.
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
  | SetEvacuatedCommand
  | DefineGroupsCommand;

/** Identifies the change that produced a revision. */
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
  | 'unknown-data-centre'
  | 'old-incarnation'
  | 'unknown-group'
  | 'old-generation'
  | 'not-a-voter-name'
  | 'group-has-generation'
  | 'bad-group-definition';

/** Result of applying a request for the first time. */
export type FirstControlResult =
  | {readonly outcome: 'accepted'; readonly revision: number}
  /** Another change to the base revision was accepted first. */
  | {readonly outcome: 'conflict'; readonly winner: ChangeOrigin}
  | {
      readonly outcome: 'invalid';
      readonly code: InvalidCommandCode;
      readonly detail: string;
    };

/** Result of a control command. */
export type ControlResult =
  | FirstControlResult
  /** The request was applied before; this command changed nothing. */
  | {readonly outcome: 'repeated'; readonly first: FirstControlResult};

/** Accepted answers of a team. */
export interface TeamAnswers extends ChangeOrigin {
  readonly team: string;
  readonly text: string;
  readonly policy: TeamPolicy;
}

/** An instance with its last registered incarnation. */
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

/** A voter of a granted generation. */
export interface GrantedVoter {
  readonly name: string;
  readonly incarnation: string;
}

/** Statement that an incarnation will never join the current generation. */
export interface Abandonment extends GrantedVoter {
  readonly atMs: number;
}

/** A granted generation of a record group. */
export interface RecordGroupGeneration {
  readonly group: string;
  /** Starts at 1. */
  readonly generation: number;
  readonly voters: readonly GrantedVoter[];
  /** Epoch milliseconds on the clocks of the proposers. */
  readonly grantedAtMs: number;
}

/** State of a record group, also stored in snapshots. */
export interface RecordGroupView extends RecordGroupDefinition {
  /** Absent until a majority of the names has registered. */
  readonly current?: RecordGroupGeneration;
  /** Abandonments of the current generation, at most one for each name. */
  readonly abandonedBy: readonly Abandonment[];
}
