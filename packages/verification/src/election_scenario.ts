/**
 * Scenario: election, commit, crash at any step and repair of three members.
 * Sent messages stay deliverable, which covers loss (never delivered),
 * duplication and any order. The last operations of a disk are lost in a crash
 * when they are not synced.
 */
import {
  getMemberKey,
  isSameMember,
  type MemberId,
} from '@mustardferry/coordination';

import type {Model, ModelAction} from './explorer.js';
import type {Fault} from './faults.js';
import {
  type Envelope,
  type GroupRules,
  type MemberStep,
  modelConfig,
  type ModelEvent,
  type ModelMember,
  newMember,
  startMember,
  stepMember,
  syncMember,
} from './group_model.js';
import {Interner, Memo} from './interner.js';
import {type LogHistory, NO_HISTORY, observe} from './log_invariants.js';
import {strandedAfterRepair} from './repair_invariant.js';

/** Bounds of the scenario, besides the exploration's. */
export interface ElectionScenarioOptions {
  /** Members with a vote at the start; the others join and get one. */
  readonly firstVoters: number;
  readonly syncEverything: boolean;
  readonly maxTerm: number;
  readonly maxProposals: number;
  readonly maxCrashes: number;
  readonly fault: Fault | null;
}

/** State of the scenario; members, messages and history by their numbers. */
export interface ElectionState {
  readonly members: readonly number[];
  /** All messages ever sent, sorted. */
  readonly sent: readonly number[];
  readonly proposals: number;
  readonly crashes: number;
  readonly history: number;
}

interface NumberedStep {
  readonly member: number;
  readonly sent: readonly number[];
}

const NAMES = ['a', 'b', 'c'];

/** Builds the model. */
export function electionScenario(
  options: ElectionScenarioOptions,
): Model<ElectionState> {
  return new ElectionModel(options);
}

class ElectionModel implements Model<ElectionState> {
  readonly initial: ElectionState;
  private readonly options: ElectionScenarioOptions;
  private readonly rules: GroupRules;
  private readonly envelopes = new Interner<Envelope>();
  private readonly members = new Interner<ModelMember>();
  private readonly histories = new Interner<LogHistory>();
  private readonly steps = new Memo<NumberedStep>();
  private readonly observations = new Memo<number>();

  constructor(options: ElectionScenarioOptions) {
    this.options = options;
    const {syncEverything, firstVoters, fault} = options;
    const all = NAMES.map(name => ({name, incarnation: '1'}));
    this.rules = {
      cfg: modelConfig({
        syncEverything,
        hasDisk: syncEverything,
        targetVoters: NAMES.length,
      }),
      voters: all.slice(0, firstVoters),
      acknowledgeBeforeSync: fault === 'acknowledge-before-sync',
    };
    this.initial = {
      members: all.map(self =>
        this.members.idOf(registerAll(newMember(self, this.rules), all)),
      ),
      sent: [],
      proposals: 0,
      crashes: 0,
      history: this.histories.idOf(NO_HISTORY),
    };
  }

  readonly keyOf = (state: ElectionState): string =>
    [
      state.members.join(),
      state.sent.join(),
      state.proposals,
      state.crashes,
      state.history,
    ].join('|');

  readonly violationOf = (state: ElectionState): string | null => {
    const {violation} = this.histories.valueOf(state.history);
    if (violation) return violation;
    const cores = NAMES.map((_, at) => this.memberAt(state, at).core);
    return strandedAfterRepair(cores, this.options.fault);
  };

  readonly actionsOf = (
    state: ElectionState,
  ): readonly ModelAction<ElectionState>[] => [
    ...NAMES.flatMap((_, at) => this.ownActions(state, at)),
    ...state.sent.map(id => this.delivery(state, id)),
  ];

  private ownActions(
    state: ElectionState,
    at: number,
  ): readonly ModelAction<ElectionState>[] {
    const {core, pending} = this.memberAt(state, at);
    const {maxTerm, maxCrashes} = this.options;
    const actions: ModelAction<ElectionState>[] = [];
    const add = (label: string, next: () => ElectionState) =>
      actions.push({label: `${core.self.name}: ${label}`, next});
    // Before the first election the members are alike; member a starts.
    const mayElect = state.sent.length > 0 || at === 0;
    if (core.role !== 'leader' && core.term < maxTerm && mayElect) {
      const event = electionEvent(core);
      add('start election', () => this.apply(state, at, event));
    }
    if (core.role === 'leader') {
      add('send heartbeat', () => this.apply(state, at, {type: 'tick'}));
      if (state.proposals < this.options.maxProposals) {
        add('propose', () => this.propose(state, at));
      }
    }
    if (pending.length > 0) add('sync', () => this.sync(state, at));
    if (state.crashes < maxCrashes && state.sent.length > 0) {
      add('crash and restart', () => this.restart(state, at));
    }
    const votes = core.config.voters.some(voter =>
      isSameMember(voter, core.self),
    );
    if (!votes) add('ask to join', () => this.apply(state, at, {type: 'tick'}));
    return actions;
  }

  private delivery(
    state: ElectionState,
    id: number,
  ): ModelAction<ElectionState> {
    const {from, to, message} = this.envelopes.valueOf(id);
    const at = NAMES.indexOf(to.name);
    const {type, term} = message;
    return {
      label: `${to.name}: receive ${type} of term ${term} from ${getMemberKey(from)}`,
      next: () => this.apply(state, at, {type: 'receive', from, message}, id),
    };
  }

  private propose(state: ElectionState, at: number): ElectionState {
    const proposals = state.proposals + 1;
    const commands = [`x${proposals}`];
    const event = {type: 'propose' as const, commands, durable: false};
    return this.apply({...state, proposals}, at, event);
  }

  private sync(state: ElectionState, at: number): ElectionState {
    const id = state.members[at] as number;
    const result = this.steps.get(`${id} sync`, () =>
      this.numbered(syncMember(this.members.valueOf(id), this.rules)),
    );
    return this.replace(state, at, result);
  }

  private restart(state: ElectionState, at: number): ElectionState {
    const old = this.memberAt(state, at);
    const crashed = {...state, crashes: state.crashes + 1};
    const {self} = old.core;
    if (this.options.syncEverything) {
      const member = startMember(self, old.disk, this.rules);
      return this.replace(crashed, at, this.numbered({member, sent: []}));
    }
    const keepsIdentity = this.options.fault === 'vote-after-lost-memory';
    const incarnation = keepsIdentity
      ? self.incarnation
      : String(Number(self.incarnation) + 1);
    const reborn = {name: self.name, incarnation};
    const member = newMember(reborn, this.rules);
    const restarted = this.replace(
      crashed,
      at,
      this.numbered({member, sent: []}),
    );
    return NAMES.reduce(
      (next, _, i) => this.apply(next, i, {type: 'registered', member: reborn}),
      restarted,
    );
  }

  /** @param envelope Number of the received message, to find the step faster. */
  private apply(
    state: ElectionState,
    at: number,
    event: ModelEvent,
    envelope?: number,
  ): ElectionState {
    const id = state.members[at] as number;
    const key = `${id} ${envelope ?? JSON.stringify(event)}`;
    const result = this.steps.get(key, () =>
      this.numbered(stepMember(this.members.valueOf(id), event, this.rules)),
    );
    return this.replace(state, at, result);
  }

  private numbered({member, sent}: MemberStep): NumberedStep {
    return {
      member: this.members.idOf(member),
      sent: sent.map(envelope => this.envelopes.idOf(envelope)),
    };
  }

  private replace(
    state: ElectionState,
    at: number,
    {member, sent}: NumberedStep,
  ): ElectionState {
    const fresh = sent.filter(id => !state.sent.includes(id));
    const history = this.observations.get(`${state.history} ${member}`, () => {
      const before = this.histories.valueOf(state.history);
      const {core} = this.members.valueOf(member);
      return this.histories.idOf(observe(before, core));
    });
    return {
      ...state,
      members: state.members.map((old, i) => (i === at ? member : old)),
      sent:
        fresh.length === 0
          ? state.sent
          : [...new Set([...state.sent, ...fresh])].sort((x, y) => x - y),
      history,
    };
  }

  private memberAt(state: ElectionState, at: number): ModelMember {
    return this.members.valueOf(state.members[at] as number);
  }
}

/** An election without the pre-vote, which restricts when one may start. */
function electionEvent(core: ModelMember['core']): ModelEvent {
  const from = {name: 'clock', incarnation: '1'};
  const message = {
    type: 'timeout-now' as const,
    to: core.self.incarnation,
    term: core.term,
  };
  return {type: 'receive', from, message};
}

/** Tells a member of the first life of each name. */
function registerAll(
  {core, ...rest}: ModelMember,
  all: readonly MemberId[],
): ModelMember {
  const registered = Object.fromEntries(
    all.map(({name, incarnation}) => [name, incarnation]),
  );
  return {...rest, core: {...core, registered}};
}
