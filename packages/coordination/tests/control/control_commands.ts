/** Commands and runs for the tests of the control state. */
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

export function policy(team: string, sharePercent: number): TeamPolicy {
  return {
    team,
    sharePercent,
    quota: NO_RESOURCES,
    wastedMessageCostMs: 1,
    retryBudgetPercent: 1,
    kinds: [],
  };
}

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
    policy: policy(team, share),
    baseRevision: 0,
    operator: 'ada',
    requestId,
    atMs: 1,
    ...rest,
  };
}

export function register(name: string, incarnation: string): ControlCommand {
  const where = {dataCentre: 'a', address: '127.0.0.1:1', disk: false};
  return {type: 'register-instance', name, incarnation, atMs: 10, ...where};
}

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

export const DEFINE: DefineGroupsCommand = {
  type: 'define-groups',
  groups: [{group: 'a.0', names: ['i1', 'i2', 'i3']}],
  atMs: 0,
};

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

/** Applies commands at indexes 1, 2, ..., each on a restored copy. */
export function run(commands: readonly ControlCommand[]): {
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

/** A group of three names of which two registered. */
export const GROUP = [
  DEFINE,
  register('i1', 'x'),
  register('i2', 'x'),
] as const;
