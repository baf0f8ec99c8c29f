/**
 * Scenario: configuration changes with restarts, partitions and late answers
 * to a non-voter that pulls. The voters run the real core, the non-voter the
 * real `LogFollower`.
 */
import {
  type FetchedLog,
  hasRecovered,
  LogFollower,
  StateMachine,
} from '@mustardferry/coordination';

import type {Model, ModelAction} from './explorer.js';
import type {Fault} from './faults.js';
import {modelConfig, type ModelMember} from './group_model.js';
import {Interner} from './interner.js';
import {type LogHistory, NO_HISTORY, observe} from './log_invariants.js';
import {
  entriesOf,
  groupRules,
  GroupSimulator,
  ownersOf,
  type SettledGroup,
} from './settled_group.js';

/** State of the scenario. */
export interface ConfigurationState {
  readonly group: SettledGroup;
  readonly history: LogHistory;
  readonly accepted: number;
  /** Whether each voter serves, and the newest revision that it served. */
  readonly serving: readonly boolean[];
  readonly served: readonly number[];
  /** Index and revisions that the non-voter applied. */
  readonly pulled: {
    readonly index: number;
    readonly revisions: readonly string[];
  };
  /** Answers to the non-voter; each may arrive at any time, and again. */
  readonly answers: readonly FetchedLog<string>[];
  readonly restarts: number;
  readonly isolations: number;
  readonly violation: string | null;
}

/** Bounds of the scenario, besides the exploration's. */
export interface ConfigurationScenarioOptions {
  readonly maxTerm: number;
  readonly maxRevisions: number;
  readonly maxRestarts: number;
  readonly maxIsolations: number;
  readonly fault: Fault | null;
}

/** Builds the model. */
export function configurationScenario(
  options: ConfigurationScenarioOptions,
): Model<ConfigurationState> {
  return new ConfigurationModel(options);
}

class ConfigurationModel implements Model<ConfigurationState> {
  readonly initial: ConfigurationState;
  private readonly options: ConfigurationScenarioOptions;
  private readonly histories = new Interner<LogHistory>();
  private readonly simulator: GroupSimulator;

  constructor(options: ConfigurationScenarioOptions) {
    this.options = options;
    const cfg = modelConfig({syncEverything: true, hasDisk: true});
    this.simulator = new GroupSimulator(groupRules(cfg), true);
    this.initial = {
      group: this.simulator.create(),
      history: NO_HISTORY,
      accepted: 0,
      serving: [false, false, false],
      served: [0, 0, 0],
      pulled: {index: 0, revisions: []},
      answers: [],
      restarts: 0,
      isolations: 0,
      violation: null,
    };
  }

  readonly keyOf = (state: ConfigurationState): string => {
    const {group, history, ...rest} = state;
    const members = group.members.map(member => this.simulator.idOf(member));
    const known = this.histories.idOf(history);
    return JSON.stringify([members, group.isolated, known, rest]);
  };

  readonly violationOf = (state: ConfigurationState): string | null =>
    state.violation ?? state.history.violation;

  readonly actionsOf = (
    state: ConfigurationState,
  ): readonly ModelAction<ConfigurationState>[] => [
    ...ownersOf(state.group).flatMap(at => this.change(state, at)),
    ...state.group.members.flatMap((_, at) => this.memberActions(state, at)),
    ...state.answers.map((answer, position) => ({
      label: `non-voter: receive answer ${position + 1}`,
      next: () => receiveAnswer(state, answer),
    })),
    ...this.heal(state),
  ];

  private change(
    state: ConfigurationState,
    at: number,
  ): readonly ModelAction<ConfigurationState>[] {
    if (state.accepted >= this.options.maxRevisions) return [];
    const accepted = state.accepted + 1;
    const {name} = (state.group.members[at] as ModelMember).core.self;
    const next = () => {
      const command = `revision ${accepted}`;
      const group = this.simulator.propose(state.group, at, command);
      return this.observed({...state, accepted, group});
    };
    return [{label: `${name}: propose revision ${accepted}`, next}];
  }

  private memberActions(
    state: ConfigurationState,
    at: number,
  ): readonly ModelAction<ConfigurationState>[] {
    const {group} = state;
    const member = group.members[at] as ModelMember;
    const {name} = member.core.self;
    const {maxTerm, maxRestarts, maxIsolations} = this.options;
    const actions: ModelAction<ConfigurationState>[] = [];
    const add = (label: string, next: () => ConfigurationState) =>
      actions.push({label: `${name}: ${label}`, next});
    if (member.core.role !== 'leader' && member.core.term < maxTerm) {
      add('start election', () =>
        this.observed({...state, group: this.simulator.elect(group, at)}),
      );
    }
    if (state.restarts < maxRestarts) {
      add('crash and restart', () => this.restart(state, at));
    }
    if (group.isolated === null && state.isolations < maxIsolations) {
      const isolations = state.isolations + 1;
      const cut = {...group, isolated: at};
      add('become isolated', () => ({...state, isolations, group: cut}));
    }
    if (state.answers.length < 2) {
      add('answer the non-voter', () => answerNonVoter(state, member));
    }
    return actions;
  }

  private restart(state: ConfigurationState, at: number): ConfigurationState {
    const serving = state.serving.map((old, i) => (i === at ? false : old));
    const group = this.simulator.restart(state.group, at);
    const restarts = state.restarts + 1;
    return this.observed({...state, serving, group, restarts});
  }

  private heal(
    state: ConfigurationState,
  ): readonly ModelAction<ConfigurationState>[] {
    if (state.group.isolated === null) return [];
    const healed = {...state.group, isolated: null};
    const next = () =>
      this.observed({
        ...state,
        group: healed.members.reduce<SettledGroup>(
          (group, _, at) => this.simulator.heartbeat(group, at),
          healed,
        ),
      });
    return [{label: 'network: heal', next}];
  }

  /** Records what the voters show after a change. */
  private observed(state: ConfigurationState): ConfigurationState {
    let {history, violation} = state;
    const serving: boolean[] = [];
    const served: number[] = [];
    const early = this.options.fault === 'serve-before-recovery';
    state.group.members.forEach((member, at) => {
      history = observe(history, member.core);
      const before = state.served[at] ?? 0;
      const serves = early || state.serving[at] || hasRecovered(member.core);
      const revision = serves ? revisionOf(member) : before;
      if (revision < before) {
        violation = `${member.core.self.name} reverted to revision ${revision}`;
      }
      serving.push(serves);
      served.push(Math.max(before, revision));
    });
    return {...state, history, violation, serving, served};
  }
}

function revisionOf(member: ModelMember): number {
  const commands = entriesOf(member, true).flatMap(entry => entry.commands);
  return Number(commands.at(-1)?.split(' ')[1] ?? 0);
}

/** A voter answers with its committed entries, as `ReplicatedLog.fetch` does. */
function answerNonVoter(
  state: ConfigurationState,
  member: ModelMember,
): ConfigurationState {
  const entries = entriesOf(member, true).slice(state.pulled.index);
  const {commitIndex} = member.core;
  const answer = {
    kind: 'entries' as const,
    entries,
    commitIndex,
    confirmedMsAgo: 0,
  };
  return {...state, answers: [...state.answers, answer]};
}

function receiveAnswer(
  state: ConfigurationState,
  answer: FetchedLog<string>,
): ConfigurationState {
  const machine = new RevisionMachine();
  const follower = new LogFollower({machine});
  const {index, revisions} = state.pulled;
  const data = Buffer.from(JSON.stringify(revisions));
  const common = {commitIndex: index, confirmedMsAgo: 0};
  follower.applyFetched({...common, kind: 'snapshot', index, data});
  follower.applyFetched(answer);
  const pulled = {index: follower.appliedIndex, revisions: machine.revisions};
  const expected = state.history.committed
    .slice(0, pulled.index)
    .flatMap(({value}) => value.split(':')[1] || []);
  const wrong =
    pulled.index < index ||
    JSON.stringify(expected) !== JSON.stringify(pulled.revisions);
  const violation = wrong ? 'the non-voter reverted' : state.violation;
  return {...state, pulled, violation};
}

class RevisionMachine extends StateMachine<string, void> {
  revisions: string[] = [];

  override apply(command: string): void {
    this.revisions.push(command);
  }

  override snapshot(): Uint8Array {
    return Buffer.from(JSON.stringify(this.revisions));
  }

  override restore(bytes: Uint8Array): void {
    this.revisions = JSON.parse(Buffer.from(bytes).toString()) as string[];
  }
}
