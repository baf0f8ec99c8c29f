/**
 * Scenario: formation, abandonment and re-formation of a record group. The
 * control state is the real one; the life of the instances and the replacement
 * of voters inside a generation are modelled. Commands to the control log stay
 * deliverable, which covers loss, delay, duplication and any order. A view of
 * the control state may be old: an instance may join any granted generation.
 */
import {type ControlCommand, ControlState} from '@mustardferry/coordination';
import {must} from '@mustardferry/model';

import type {Model, ModelAction} from './explorer.js';
import type {Fault} from './faults.js';
import {Interner, Memo} from './interner.js';

/** One instance in its current life. */
interface Instance {
  /** Number of the life; its incarnation. */
  readonly life: number;
  /** Whether this life knows that its registration was accepted. */
  readonly registered: boolean;
  /** Generation that it is active in; 0 for none. */
  readonly joined: number;
  /** Generation that it promised never to join; 0 for none. */
  readonly abandoned: number;
}

/** State of the scenario. */
export interface FormationState {
  /** Control state, by the number of its snapshot. */
  readonly control: number;
  readonly instances: readonly Instance[];
  /** Incarnations of the voters, by generation minus 1. */
  readonly voters: readonly (readonly string[])[];
  /** Commands ever sent, as JSON, sorted. */
  readonly sent: readonly string[];
  readonly restarts: number;
}

/** Bounds of the scenario, besides the exploration's. */
export interface FormationScenarioOptions {
  readonly maxRestarts: number;
  readonly fault: Fault | null;
}

interface Applied {
  readonly control: number;
  readonly accepted: boolean;
  /** Voters of the newest generation, if any. */
  readonly granted: readonly string[] | null;
  readonly generation: number;
}

/** Voter names of the group. */
export const NAMES = ['a', 'b', 'c'];
const GROUP = 'x.0';
const NEW_LIFE = {registered: false, joined: 0, abandoned: 0};

/** Builds the model. */
export function formationScenario(
  options: FormationScenarioOptions,
): Model<FormationState> {
  return new FormationModel(options);
}

class FormationModel implements Model<FormationState> {
  readonly initial: FormationState;
  private readonly options: FormationScenarioOptions;
  private readonly applied = new Memo<Applied>();
  private readonly snapshots = new Interner<{readonly base64: string}>();

  constructor(options: FormationScenarioOptions) {
    this.options = options;
    const control = new ControlState();
    const groups = [{group: GROUP, names: NAMES}];
    control.apply({type: 'define-groups', groups, atMs: 0}, 1);
    this.initial = {
      control: this.numberOf(control),
      instances: NAMES.map(() => ({life: 1, ...NEW_LIFE})),
      voters: [],
      sent: NAMES.map((_, at) => registration(at, 1)).sort(),
      restarts: 0,
    };
  }

  readonly keyOf = (state: FormationState): string => JSON.stringify(state);

  readonly violationOf = ({
    instances,
    voters,
  }: FormationState): string | null => {
    const old = voters.slice(0, -1).findIndex((_, at) => {
      return hasLiveQuorum(instances, voters, at + 1);
    });
    return old < 0 ? null : `generation ${old + 1} has a quorum after the next`;
  };

  readonly actionsOf = (
    state: FormationState,
  ): readonly ModelAction<FormationState>[] => [
    ...state.sent.map(text => ({
      label: `control log: apply ${text}`,
      next: () => this.deliver(state, text),
    })),
    ...NAMES.flatMap((_, at) => this.instanceActions(state, at)),
  ];

  private instanceActions(
    state: FormationState,
    at: number,
  ): readonly ModelAction<FormationState>[] {
    const {instances, restarts} = state;
    const instance = must(instances[at], `no instance ${at}`);
    const {life, joined} = instance;
    const {maxRestarts} = this.options;
    const actions: ModelAction<FormationState>[] = [];
    const add = (label: string, next: () => FormationState) =>
      actions.push({label: `${NAMES[at]}: ${label}`, next});
    if (restarts < maxRestarts) {
      add('crash and restart', () =>
        sendCommand(
          withInstance({...state, restarts: restarts + 1}, at, {
            life: life + 1,
            ...NEW_LIFE,
          }),
          registration(at, life + 1),
        ),
      );
    }
    if (joined > 0) {
      // A new voter may not know yet that it is one, so voters are included.
      add('abandon its generation', () =>
        sendCommand(
          withInstance(state, at, {...instance, joined: 0, abandoned: joined}),
          abandonment(at, life, joined),
        ),
      );
    }
    return [...actions, ...this.generationActions(state, at)];
  }

  private generationActions(
    state: FormationState,
    at: number,
  ): readonly ModelAction<FormationState>[] {
    const instance = must(state.instances[at], `no instance ${at}`);
    const {life, registered, joined, abandoned} = instance;
    const {fault} = this.options;
    const actions: ModelAction<FormationState>[] = [];
    const add = (label: string, next: () => FormationState) =>
      actions.push({label: `${NAMES[at]}: ${label}`, next});
    const mayJoin = registered || fault === 'join-before-registration';
    const promised = fault === 'join-after-abandonment' ? 0 : abandoned;
    state.voters.forEach((_, i) => {
      const generation = i + 1;
      if (mayJoin && generation > Math.max(joined, promised)) {
        add(`join generation ${generation}`, () =>
          withInstance(state, at, {...instance, joined: generation}),
        );
      }
      if (this.mayBePromoted(state, at, generation)) {
        add(`become voter of generation ${generation}`, () =>
          withVoter(state, at, generation, String(life)),
        );
      }
    });
    return actions;
  }

  /** A replacement may commit after the new voter has left. */
  private mayBePromoted(
    {instances, voters}: FormationState,
    at: number,
    generation: number,
  ): boolean {
    const {life, joined, abandoned} = must(instances[at], `no ${at}`);
    const known = joined === generation || abandoned === generation;
    const isVoter = voters[generation - 1]?.[at] === String(life);
    return known && !isVoter && hasLiveQuorum(instances, voters, generation);
  }

  private deliver(state: FormationState, text: string): FormationState {
    const applied = this.applied.get(`${state.control} ${text}`, () =>
      this.applyCommand(state.control, text),
    );
    const {control, accepted, granted, generation} = applied;
    const command = JSON.parse(text) as ControlCommand;
    const voters =
      granted && generation > state.voters.length
        ? [...state.voters, granted]
        : state.voters;
    const next = {...state, control, voters};
    if (command.type !== 'register-instance' || !accepted) return next;
    const at = NAMES.indexOf(command.name);
    const instance = must(state.instances[at], `no instance ${at}`);
    if (String(instance.life) !== command.incarnation) return next;
    return withInstance(next, at, {...instance, registered: true});
  }

  private applyCommand(control: number, text: string): Applied {
    const {base64} = this.snapshots.valueOf(control);
    const state = new ControlState();
    state.restore(Buffer.from(base64, 'base64'));
    const result = state.apply(JSON.parse(text) as ControlCommand, 2);
    const current = state.group(GROUP)?.current;
    return {
      control: this.numberOf(state),
      accepted: result.outcome === 'accepted',
      granted: current?.voters.map(voter => voter.incarnation) ?? null,
      generation: current?.generation ?? 0,
    };
  }

  private numberOf(state: ControlState): number {
    const base64 = Buffer.from(state.snapshot()).toString('base64');
    return this.snapshots.idOf({base64});
  }
}

/** Whether active voters of a generation are a majority. */
function hasLiveQuorum(
  instances: readonly Instance[],
  voters: FormationState['voters'],
  generation: number,
): boolean {
  const live = instances.filter(
    ({life, joined}, at) =>
      joined === generation && voters[generation - 1]?.[at] === String(life),
  );
  return live.length * 2 > NAMES.length;
}

function withInstance(
  state: FormationState,
  at: number,
  instance: Instance,
): FormationState {
  const instances = state.instances.map((old, i) =>
    i === at ? instance : old,
  );
  return {...state, instances};
}

function withVoter(
  state: FormationState,
  at: number,
  generation: number,
  incarnation: string,
): FormationState {
  const voters = state.voters.map((set, i) =>
    i + 1 === generation
      ? set.map((old, name) => (name === at ? incarnation : old))
      : set,
  );
  return {...state, voters};
}

function sendCommand(state: FormationState, text: string): FormationState {
  if (state.sent.includes(text)) return state;
  return {...state, sent: [...state.sent, text].sort()};
}

/** The registration of one life of an instance, as sent. */
export function registration(at: number, life: number): string {
  const command: ControlCommand = {
    type: 'register-instance',
    name: must(NAMES[at], `no instance ${at}`),
    dataCentre: 'x',
    address: '127.0.0.1:1',
    disk: false,
    incarnation: String(life),
    atMs: 0,
  };
  return JSON.stringify(command);
}

function abandonment(at: number, life: number, generation: number): string {
  const command: ControlCommand = {
    type: 'abandon-group',
    group: GROUP,
    generation,
    instance: must(NAMES[at], `no instance ${at}`),
    incarnation: String(life),
    atMs: 0,
  };
  return JSON.stringify(command);
}
