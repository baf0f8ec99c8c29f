/** Builds and applies commands for the tests of the control state. */
import type {TeamPolicy} from '@mustardferry/model';
import {NO_RESOURCES} from '@mustardferry/model';
import {expect} from 'chai';

import type {
  AcceptAnswersCommand,
  ControlCommand,
  ControlResult,
  DefineGroupsCommand,
} from '../../src/control/control_messages.js';
import {ControlState} from '../../src/control/control_state.js';

/** Creates a policy without kinds. */
export function createPolicy(team: string, sharePercent: number): TeamPolicy {
  return {
    team,
    sharePercent,
    quota: NO_RESOURCES,
    wastedMessageCostMs: 1,
    retryBudgetPercent: 1,
    kinds: [],
  };
}

/** Builds an `accept-answers` command. */
export function accept(
  requestId: string,
  change: Partial<AcceptAnswersCommand> & {share?: number} = {},
): AcceptAnswersCommand {
  const {share = 40, ...rest} = change;
  const team = rest.team ?? 'coop';
  return {
    type: 'accept-answers',
    team,
    text: `share = ${share}`,
    policy: createPolicy(team, share),
    baseRevision: 0,
    operator: 'ada',
    requestId,
    atMs: 1,
    ...rest,
  };
}

/** Builds a `register-instance` command. */
export function register(name: string, incarnation: string): ControlCommand {
  const where = {dataCentre: 'a', address: '127.0.0.1:1', disk: false};
  return {type: 'register-instance', name, incarnation, atMs: 10, ...where};
}

/** Builds an `abandon-group` command; the clock of `i1` is ahead of others. */
export function abandon(
  instance: string,
  incarnation: string,
  generation = 1,
): ControlCommand {
  const group = 'a.0';
  const atMs = instance === 'i1' ? 90 : 50;
  return {
    type: 'abandon-group',
    group,
    generation,
    instance,
    incarnation,
    atMs,
  };
}

/** Defines one group of three voter names. */
export const DEFINE_GROUP: DefineGroupsCommand = {
  type: 'define-groups',
  groups: [{group: 'a.0', names: ['i1', 'i2', 'i3']}],
  atMs: 0,
};

/** Builds a `set-draining` command. */
export function drain(instance: string): ControlCommand {
  return {
    type: 'set-draining',
    instance,
    draining: true,
    operator: 'ada',
    requestId: 'd',
    atMs: 1,
  };
}

/**
 * Applies commands at the indexes from 1 on. Restores the state from its
 * snapshot after each one and checks that the copy is equal.
 */
export function applyCommands(commands: readonly ControlCommand[]): {
  state: ControlState;
  last: ControlResult | undefined;
} {
  let state = new ControlState();
  let last: ControlResult | undefined;
  for (const [i, command] of commands.entries()) {
    last = state.apply(command, i + 1);
    const copy = new ControlState();
    copy.restore(state.snapshot());
    expect(copy.snapshot()).to.deep.equal(state.snapshot());
    expect(copy.policy).to.deep.equal(state.policy);
    state = copy;
  }
  return {state, last};
}

/** Defines a group of three names and registers two of them. */
export const FORMED_GROUP = [
  DEFINE_GROUP,
  register('i1', 'x'),
  register('i2', 'x'),
] as const;
