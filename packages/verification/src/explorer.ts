/**
 * Breadth-first exploration of a model, so that the first trace to a violation
 * is a shortest one. xstate's `getAdjacencyMap` keeps every transition and has
 * neither a depth bound nor a stop at the first violation that leaves a
 * shortest trace, which the larger models here need.
 */

import {must} from '@mustardferry/model';

/** A possible step of a model. */
export interface ModelAction<S> {
  readonly label: string;
  readonly next: () => S;
}

/** A transition system with invariants. */
export interface Model<S> {
  readonly initial: S;
  /** Equal for states that behave the same. */
  readonly keyOf: (state: S) => string;
  readonly actionsOf: (state: S) => readonly ModelAction<S>[];
  /** Describes the violated invariant, or null. */
  readonly violationOf: (state: S) => string | null;
}

/** Bounds of an exploration. */
export interface ExplorationBounds {
  /** Longest explored trace. */
  readonly maxDepth: number;
  /** Exceeding it ends the exploration as incomplete. */
  readonly maxStates: number;
}

/** Result of an exploration. */
export interface Exploration {
  readonly states: number;
  readonly depth: number;
  /**
   * Whether every state within the depth bound was visited. False after a
   * violation or when the state bound was exceeded.
   */
  readonly exhaustive: boolean;
  readonly violation: {
    readonly reason: string;
    readonly trace: readonly string[];
  } | null;
}

interface Visit<S> {
  readonly state: S;
  readonly parent: Visit<S> | null;
  readonly label: string;
}

/**
 * Visits all states up to the depth bound, or up to the first violation.
 *
 * @param prefix Labels of the actions that lead to the state to start from;
 *     they don't count towards the depth.
 */
export function explore<S>(
  model: Model<S>,
  bounds: ExplorationBounds,
  prefix: readonly string[] = [],
): Exploration {
  const first = replayTrace(model, prefix);
  const seen = new Set([model.keyOf(first.state)]);
  let frontier = [first];
  let depth = 0;
  const result = (
    exhaustive: boolean,
    found: Visit<S> | null,
    reason = '',
  ) => ({
    states: seen.size,
    depth,
    exhaustive,
    violation: found && {reason, trace: traceOf(found)},
  });
  while (frontier.length > 0 && depth < bounds.maxDepth) {
    depth++;
    const following: Visit<S>[] = [];
    for (const visit of frontier) {
      for (const {label, next} of model.actionsOf(visit.state)) {
        const state = next();
        const key = model.keyOf(state);
        if (seen.has(key)) continue;
        seen.add(key);
        const reached = {state, parent: visit, label};
        const reason = model.violationOf(state);
        if (reason) return result(false, reached, reason);
        if (seen.size > bounds.maxStates) return result(false, null);
        following.push(reached);
      }
    }
    frontier = following;
  }
  return result(true, null);
}

/**
 * Follows a trace; `LABEL (N)` selects the Nth action with the label.
 *
 * @throws InvariantError when the model has no such action.
 */
function replayTrace<S>(model: Model<S>, trace: readonly string[]): Visit<S> {
  let visit: Visit<S> = {state: model.initial, parent: null, label: ''};
  for (const label of trace) {
    const [, text, position] = /^(.*?)(?: \((\d+)\))?$/.exec(label) ?? [];
    const actions = model.actionsOf(visit.state).filter(a => a.label === text);
    const action = must(
      actions[Number(position ?? 1) - 1],
      `no action ${label}`,
    );
    visit = {state: action.next(), parent: visit, label};
  }
  return visit;
}

function traceOf<S>(last: Visit<S>): readonly string[] {
  const labels: string[] = [];
  for (let visit = last; visit.parent; visit = visit.parent) {
    labels.unshift(visit.label);
  }
  return labels;
}
