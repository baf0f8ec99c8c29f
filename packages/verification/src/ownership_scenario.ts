/**
 * Scenario: one task, upstreams that run it under leases, and two owners after
 * each other. The rules of `packages/dispatch` are modelled: orders arrive late
 * or never, ends are acknowledged once they are committed, upstreams are reborn
 * under their id. Time passes in ticks; a lease lasts for one.
 */
import type {Model, ModelAction} from './explorer.js';
import type {Fault} from './faults.js';
import type {
  Belief,
  OwnershipState,
  TaskPlace,
  Upstream,
} from './ownership_state.js';

/** Bounds of the scenario, besides the exploration's. */
export interface OwnershipScenarioOptions {
  readonly maxTicks: number;
  readonly maxRuns: number;
  readonly maxRebirths: number;
  readonly fault: Fault | null;
}

const UPSTREAMS = [0, 1] as const;
const LEASE_TICKS = 1;
const NEW_UPSTREAM: Upstream = {
  life: 1,
  token: 0,
  run: 0,
  leaseUntil: 0,
  forbidden: 0,
  done: false,
  lapsed: false,
};
const NEW_BELIEF: Belief = {life: 1, fenced: true, grantedUntil: 0};
const DONE = {run: 0, done: true, lapsed: false};
const READY: TaskPlace = {type: 'ready'};

/** Builds the model. */
export function ownershipScenario(
  options: OwnershipScenarioOptions,
): Model<OwnershipState> {
  return new OwnershipModel(options);
}

class OwnershipModel implements Model<OwnershipState> {
  readonly initial: OwnershipState = {
    now: 0,
    upstreams: UPSTREAMS.map(() => NEW_UPSTREAM),
    orders: [],
    term: 1,
    leadsSince: 0,
    beliefs: UPSTREAMS.map(() => NEW_BELIEF),
    task: READY,
    lastRun: 0,
    committed: false,
    acknowledged: false,
    rebirths: 0,
    violation: null,
  };

  constructor(private readonly options: OwnershipScenarioOptions) {}

  readonly keyOf = (state: OwnershipState): string => JSON.stringify(state);

  readonly violationOf = (state: OwnershipState): string | null => {
    const running = state.upstreams.filter(({run}) => run > 0);
    return running.length > 1 ? 'two runs at once' : state.violation;
  };

  readonly actionsOf = (
    state: OwnershipState,
  ): readonly ModelAction<OwnershipState>[] => [
    ...this.environment(state),
    ...UPSTREAMS.flatMap(at => this.upstreamActions(state, at)),
    ...UPSTREAMS.flatMap(at => this.ownerActions(state, at)),
    ...this.commits(state),
  ];

  private environment(state: OwnershipState): ModelAction<OwnershipState>[] {
    const actions = state.orders.map((order, index) => ({
      label: `deliver start ${order.run} to ${order.to}`,
      next: () => this.deliver(state, index),
    }));
    if (state.now < this.options.maxTicks) {
      actions.push({label: 'tick', next: () => tick(state)});
    }
    if (state.term === 1) {
      actions.push({label: 'next owner', next: () => this.takeOver(state)});
    }
    return actions;
  }

  private upstreamActions(
    state: OwnershipState,
    at: number,
  ): ModelAction<OwnershipState>[] {
    const upstream = state.upstreams[at] ?? NEW_UPSTREAM;
    const actions: ModelAction<OwnershipState>[] = [];
    if (upstream.run > 0) {
      const {run: forbidden} = upstream;
      actions.push({
        label: `${at}: task done`,
        next: () => change(state, at, {...DONE, forbidden}),
      });
    }
    if (state.rebirths < this.options.maxRebirths) {
      actions.push({label: `${at}: reborn`, next: () => reborn(state, at)});
    }
    return actions;
  }

  private ownerActions(
    state: OwnershipState,
    at: number,
  ): ModelAction<OwnershipState>[] {
    const {task, now} = state;
    const belief = state.beliefs[at] ?? NEW_BELIEF;
    const actions: ModelAction<OwnershipState>[] = [
      {label: `hold ${at}`, next: () => this.hold(state, at)},
    ];
    const mayStart = task.type === 'ready' && belief.fenced;
    if (mayStart && state.lastRun % 16 < this.options.maxRuns) {
      actions.push({label: `start on ${at}`, next: () => start(state, at)});
    }
    if (task.type === 'active' && task.on === at) {
      const early = this.options.fault === 'requeue-before-lease-end';
      if (now > belief.grantedUntil || early) {
        actions.push({label: `give up ${at}`, next: () => giveUp(state, at)});
      }
    }
    const settles = UPSTREAMS[0] === at && this.isSettled(state);
    if (task.type === 'unknown' && settles) {
      actions.push({label: 'settle', next: () => ({...state, task: READY})});
    }
    return actions;
  }

  private isSettled({beliefs, now, leadsSince}: OwnershipState): boolean {
    if (this.options.fault === 'start-before-settled') return true;
    const allFenced = beliefs.every(({fenced}) => fenced);
    return allFenced || now > leadsSince + LEASE_TICKS;
  }

  private commits(state: OwnershipState): ModelAction<OwnershipState>[] {
    if (state.task.type !== 'done' || state.committed) return [];
    return [{label: 'commit', next: () => ({...state, committed: true})}];
  }

  /** The old owner gives no orders any more; those on their way remain. */
  private takeOver(state: OwnershipState): OwnershipState {
    const type = state.committed ? 'done' : 'unknown';
    return {
      ...state,
      term: 2,
      leadsSince: state.now,
      beliefs: state.upstreams.map(() => ({...NEW_BELIEF, fenced: false})),
      task: {type},
      lastRun: 16,
    };
  }

  private deliver(state: OwnershipState, index: number): OwnershipState {
    const order = state.orders[index];
    const orders = state.orders.filter((_, at) => at !== index);
    const upstream = order && state.upstreams[order.to];
    if (!order || !upstream) return state;
    const left = {...state, orders};
    const fenced =
      order.token < upstream.token && this.options.fault !== 'no-token-check';
    const refused = order.run <= upstream.forbidden || upstream.run > 0;
    if (fenced || refused || order.leaseUntil < state.now) return left;
    const {token, run, leaseUntil} = order;
    const begun = change(left, order.to, {token, run, leaseUntil});
    if (!state.acknowledged) return begun;
    return {...begun, violation: 'a start after an acknowledged end'};
  }

  /** A hold and its answer; one that is lost has no effect. */
  private hold(state: OwnershipState, at: number): OwnershipState {
    const upstream = state.upstreams[at] ?? NEW_UPSTREAM;
    const belief = state.beliefs[at] ?? NEW_BELIEF;
    const {term: token, now, committed} = state;
    const acks =
      upstream.done &&
      (committed || this.options.fault === 'acknowledge-before-commit');
    const leaseUntil = now + LEASE_TICKS;
    const held = change(state, at, {
      token,
      done: upstream.done && !acks,
      leaseUntil,
    });
    const grantedUntil = leaseUntil;
    const {life} = upstream;
    const beliefs = state.beliefs.map((old, index) =>
      index === at ? {life, fenced: true, grantedUntil} : old,
    );
    const known = {
      ...held,
      beliefs,
      acknowledged: state.acknowledged || (acks && !upstream.lapsed),
    };
    return this.learn(known, at, upstream, life !== belief.life);
  }

  private learn(
    state: OwnershipState,
    at: number,
    {run, done}: Upstream,
    newLife: boolean,
  ): OwnershipState {
    const {task} = state;
    if (done) return {...state, task: {type: 'done'}};
    const isHere = task.type === 'active' && task.on === at;
    if (run > 0 && (task.type === 'unknown' || task.type === 'ready')) {
      const lastRun = Math.max(state.lastRun, run);
      const adopted = {type: 'active', on: at, run, confirmed: true} as const;
      return {...state, lastRun, task: adopted};
    }
    if (run > 0 && !(isHere && task.run === run)) {
      return change(state, at, {run: 0, forbidden: run});
    }
    if (!isHere) return state;
    if (run > 0) return {...state, task: {...task, confirmed: true}};
    if (newLife && this.options.fault === 'lose-runs-of-old-life') {
      return {...state, task: READY};
    }
    if (task.confirmed && !newLife) return {...state, task: READY};
    return this.forbid(state, at, task.run);
  }

  /** A stop and its answer: the run has not begun, and never does. */
  private forbid(
    state: OwnershipState,
    at: number,
    run: number,
  ): OwnershipState {
    const ready = {...state, task: READY};
    if (this.options.fault === 'requeue-unanswered-start') return ready;
    const {forbidden} = state.upstreams[at] ?? NEW_UPSTREAM;
    return change(ready, at, {forbidden: Math.max(forbidden, run)});
  }
}

function change(
  state: OwnershipState,
  at: number,
  fields: Partial<Upstream>,
): OwnershipState {
  const upstreams = state.upstreams.map((upstream, index) =>
    index === at ? {...upstream, ...fields} : upstream,
  );
  return {...state, upstreams};
}

function tick(state: OwnershipState): OwnershipState {
  const now = state.now + 1;
  const upstreams = state.upstreams.map(upstream =>
    upstream.leaseUntil < now ? lapse(upstream) : upstream,
  );
  return {...state, now, upstreams};
}

function lapse(upstream: Upstream): Upstream {
  const forbidden = Math.max(upstream.forbidden, upstream.run);
  return {...upstream, run: 0, forbidden, lapsed: true};
}

/** The upstream gets no starts before it has answered again. */
function giveUp(state: OwnershipState, at: number): OwnershipState {
  const beliefs = state.beliefs.map((belief, index) =>
    index === at ? {...belief, fenced: false} : belief,
  );
  return {...state, beliefs, task: READY};
}

/** Orders on connections of the old life are lost with it. */
function reborn(state: OwnershipState, at: number): OwnershipState {
  const life = (state.upstreams[at]?.life ?? 0) + 1;
  const orders = state.orders.filter(({to}) => to !== at);
  const rebirths = state.rebirths + 1;
  return change({...state, orders, rebirths}, at, {...NEW_UPSTREAM, life});
}

function start(state: OwnershipState, at: number): OwnershipState {
  const run = state.lastRun + 1;
  const leaseUntil = state.now + LEASE_TICKS;
  const order = {to: at, token: state.term, run, leaseUntil};
  const beliefs = state.beliefs.map((belief, index) =>
    index === at ? {...belief, grantedUntil: leaseUntil} : belief,
  );
  return {
    ...state,
    beliefs,
    lastRun: run,
    orders: [...state.orders, order],
    task: {type: 'active', on: at, run, confirmed: false},
  };
}
