/**
 * Scenario: admission of submissions and takeover by a new owner. The group
 * runs the real core; the rules of the owner and of the upstream are modelled.
 * Submission `s` must never be repeated, submission `r` may be.
 */
import {canAcknowledge} from '@mustardferry/coordination';

import type {Model, ModelAction} from './explorer.js';
import type {Fault} from './faults.js';
import {modelConfig, type ModelMember} from './group_model.js';
import {
  entriesOf,
  groupRules,
  GroupSimulator,
  ownersOf,
  type SettledGroup,
} from './settled_group.js';
import {noteKnown, startAttempt, unrecorded} from './start_records.js';
import {
  NEW_UPSTREAM,
  receiveStart,
  type StartMessage,
  type UpstreamState,
} from './upstream_model.js';

/** State of the scenario. */
export interface TakeoverState {
  readonly group: SettledGroup;
  /** Submissions admitted by a data centre that is not their home. */
  readonly admittedElsewhere: readonly string[];
  /** Start messages ever sent; each may arrive at any time, and again. */
  readonly inFlight: readonly StartMessage[];
  readonly upstream: UpstreamState;
  /** `INDEX:TERM` of the starts that two members held at the same time. */
  readonly knownTwice: readonly string[];
  readonly isolations: number;
  readonly crashes: number;
  readonly violation: string | null;
}

/** Bounds of the scenario, besides the exploration's. */
export interface TakeoverScenarioOptions {
  readonly maxTerm: number;
  readonly maxIsolations: number;
  readonly maxCrashes: number;
  readonly fault: Fault | null;
}

/** Builds the model. */
export function takeoverScenario(
  options: TakeoverScenarioOptions,
): Model<TakeoverState> {
  return new TakeoverModel(options);
}

class TakeoverModel implements Model<TakeoverState> {
  readonly initial: TakeoverState;
  private readonly options: TakeoverScenarioOptions;
  private readonly simulator: GroupSimulator;

  constructor(options: TakeoverScenarioOptions) {
    this.options = options;
    const cfg = modelConfig({syncEverything: false, hasDisk: true});
    this.simulator = new GroupSimulator(groupRules(cfg), false);
    this.initial = {
      group: this.simulator.create(),
      admittedElsewhere: [],
      inFlight: [],
      upstream: NEW_UPSTREAM,
      knownTwice: [],
      isolations: 0,
      crashes: 0,
      violation: null,
    };
  }

  readonly keyOf = (state: TakeoverState): string => {
    const {group, ...rest} = state;
    const members = group.members.map(member => this.simulator.idOf(member));
    return JSON.stringify([members, group.isolated, rest]);
  };

  readonly violationOf = (state: TakeoverState): string | null => {
    if (state.violation) return state.violation;
    const admissions = state.group.members.map(
      member =>
        entriesOf(member, true).filter(e => e.commands.includes('admit s'))
          .length,
    );
    if (Math.max(...admissions) + state.admittedElsewhere.length > 1) {
      return 'submission s was admitted twice';
    }
    const runs = state.upstream.started.filter(({id}) => id === 's');
    return runs.length > 1 ? 'task s started twice' : null;
  };

  readonly actionsOf = (
    state: TakeoverState,
  ): readonly ModelAction<TakeoverState>[] =>
    this.unobserved(state).map(({label, next}) => ({
      label,
      next: () => noteKnown(next()),
    }));

  private unobserved(
    state: TakeoverState,
  ): readonly ModelAction<TakeoverState>[] {
    return [
      ...ownersOf(state.group).flatMap(at => this.ownerActions(state, at)),
      ...this.faultyForward(state),
      ...state.group.members.flatMap((_, at) => this.memberActions(state, at)),
      ...state.inFlight.map(start => ({
        label: `upstream: receive start of ${start.id}, attempt ${start.attempt}, epoch ${start.term}`,
        next: () => ({
          ...state,
          ...receiveStart(
            state.upstream,
            start,
            this.options.fault !== 'no-epoch-check',
          ),
        }),
      })),
      {
        label: 'disks: sync',
        next: () => ({...state, group: this.simulator.syncAll(state.group)}),
      },
      ...this.heal(state),
    ];
  }

  private ownerActions(
    state: TakeoverState,
    at: number,
  ): readonly ModelAction<TakeoverState>[] {
    const member = state.group.members[at] as ModelMember;
    const {name} = member.core.self;
    const known = entriesOf(member, false).flatMap(entry => entry.commands);
    const committed = entriesOf(member, true).flatMap(e => e.commands);
    const propose = (command: string) => () => ({
      ...state,
      group: this.simulator.propose(state.group, at, command),
    });
    const actions: ModelAction<TakeoverState>[] = [];
    for (const id of ['s', 'r']) {
      if (known.includes(`admit ${id}`)) continue;
      const next = propose(`admit ${id}`);
      actions.push({label: `${name}: admit forwarded ${id}`, next});
    }
    if (committed.includes('admit s') && !known.includes('start s 1')) {
      const next = propose('start s 1');
      actions.push({label: `${name}: record start of s`, next});
    }
    if (committed.includes('admit r')) {
      const start = {id: 'r', attempt: 1, term: member.core.term};
      const next = () => this.sendStart(state, start);
      actions.push({label: `${name}: send start of r`, next});
    }
    return [
      ...actions,
      ...this.recordedStart(state, member),
      ...this.takeover(state, at, member),
    ];
  }

  /** Sends a start that this owner recorded in its own term. */
  private recordedStart(
    state: TakeoverState,
    member: ModelMember,
  ): readonly ModelAction<TakeoverState>[] {
    const {core} = member;
    const early = this.options.fault === 'start-before-sync';
    return entriesOf(member, false).flatMap(entry => {
      const attempt = startAttempt(entry.commands);
      const own = attempt !== null && entry.term === core.term;
      const {cfg} = this.simulator.rules;
      const ready = early || canAcknowledge(core, cfg, entry.index);
      if (!own || !ready) return [];
      const start = {id: 's', attempt, term: core.term};
      const label = `${core.self.name}: send start of s, attempt ${attempt}`;
      const violation = unrecorded(state, entry.index, entry.term);
      const next = () => ({...this.sendStart(state, start), violation});
      return [{label, next}];
    });
  }

  /** Asks the upstream about a start that an earlier owner recorded. */
  private takeover(
    state: TakeoverState,
    at: number,
    member: ModelMember,
  ): readonly ModelAction<TakeoverState>[] {
    const {core} = member;
    const starts = entriesOf(member, true).filter(
      entry => startAttempt(entry.commands) !== null,
    );
    const last = starts.at(-1);
    const attempt = startAttempt(last?.commands ?? []);
    if (!last || attempt !== 1 || last.term === core.term) return [];
    const {upstream} = state;
    const ran = upstream.started.some(({id}) => id === 's');
    const epoch = Math.max(upstream.epoch, core.term);
    if (ran || upstream.sealed.includes(attempt)) return [];
    const next = () => ({
      ...state,
      upstream: {...upstream, epoch, sealed: [...upstream.sealed, attempt]},
      group: this.simulator.propose(state.group, at, 'start s 2'),
    });
    return [{label: `${core.self.name}: seal attempt 1, record 2`, next}];
  }

  private faultyForward(
    state: TakeoverState,
  ): readonly ModelAction<TakeoverState>[] {
    const faulty = this.options.fault === 'forward-to-non-home';
    if (!faulty || state.admittedElsewhere.length > 0) return [];
    const next = () => ({...state, admittedElsewhere: ['s']});
    return [{label: 'other data centre: admit forwarded s', next}];
  }

  private memberActions(
    state: TakeoverState,
    at: number,
  ): readonly ModelAction<TakeoverState>[] {
    const {group} = state;
    const {core} = group.members[at] as ModelMember;
    const {name} = core.self;
    const {maxTerm, maxIsolations, maxCrashes} = this.options;
    const actions: ModelAction<TakeoverState>[] = [];
    if (core.role !== 'leader' && core.term < maxTerm) {
      const next = () => ({...state, group: this.simulator.elect(group, at)});
      actions.push({label: `${name}: start election`, next});
    }
    if (group.isolated === null && state.isolations < maxIsolations) {
      const isolations = state.isolations + 1;
      const next = () => ({
        ...state,
        isolations,
        group: {...group, isolated: at},
      });
      actions.push({label: `${name}: become isolated`, next});
    }
    if (state.crashes < maxCrashes) {
      const crashes = state.crashes + 1;
      const next = () => ({
        ...state,
        crashes,
        group: this.simulator.restart(group, at),
      });
      actions.push({label: `${name}: crash and restart`, next});
    }
    return actions;
  }

  private heal(state: TakeoverState): readonly ModelAction<TakeoverState>[] {
    if (state.group.isolated === null) return [];
    const healed = {...state.group, isolated: null};
    const next = () => ({
      ...state,
      group: healed.members.reduce<SettledGroup>(
        (group, _, at) => this.simulator.heartbeat(group, at),
        healed,
      ),
    });
    return [{label: 'network: heal', next}];
  }

  private sendStart(state: TakeoverState, start: StartMessage): TakeoverState {
    const key = JSON.stringify(start);
    if (state.inFlight.some(other => JSON.stringify(other) === key)) {
      return state;
    }
    return {...state, inFlight: [...state.inFlight, start]};
  }
}
