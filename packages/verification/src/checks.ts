/** The checks: scenarios with their bounds, and the faults that each finds. */
import {configurationScenario} from './configuration_scenario.js';
import {electionScenario} from './election_scenario.js';
import {type Exploration, type ExplorationBounds, explore} from './explorer.js';
import type {Fault} from './faults.js';
import {takeoverScenario} from './takeover_scenario.js';

/** One exploration of one scenario. */
export interface Check {
  readonly name: string;
  /** Faults that this check finds. */
  readonly finds: readonly Fault[];
  readonly bounds: ExplorationBounds;
  readonly run: (fault: Fault | null) => Exploration;
}

const MAX_STATES = 1_000_000;

/** Scenario (a); explored from several states that a prefix reaches. */
function electionCheck(
  name: string,
  syncEverything: boolean,
  maxDepth: number,
  prefix: readonly string[] = [],
): Check {
  const bounds = {maxDepth, maxStates: MAX_STATES};
  const finds: Fault[] = syncEverything
    ? ['acknowledge-before-sync']
    : ['vote-after-lost-memory'];
  return {
    name,
    bounds,
    finds: prefix.length === 0 ? finds : [],
    run: fault =>
      explore(
        electionScenario({
          syncEverything,
          maxTerm: 2,
          maxProposals: 1,
          maxCrashes: 1,
          fault,
        }),
        bounds,
        prefix,
      ),
  };
}

const ELECTED = [
  'a: start election',
  'b: receive vote of term 1 from a#1',
  'a: receive vote-reply of term 1 from b#1',
];

const COMMITTED_ON_TWO = [
  ...ELECTED,
  'a: propose',
  'b: receive append of term 1 from a#1',
  'b: receive append of term 1 from a#1 (2)',
  'a: receive append-reply of term 1 from b#1 (2)',
];

const JOINING = [
  ...COMMITTED_ON_TWO,
  'b: crash and restart',
  'b: ask to join',
  'a: receive join of term 0 from b#2',
];

/** All checks, in the order in which they run. */
export const CHECKS: readonly Check[] = [
  electionCheck('election, in memory', false, 8),
  electionCheck(
    'election, in memory, after a commit',
    false,
    7,
    COMMITTED_ON_TWO,
  ),
  electionCheck('election, in memory, during a repair', false, 6, JOINING),
  electionCheck('election, synced', true, 10),
  {
    name: 'admission and takeover',
    finds: ['no-epoch-check', 'forward-to-non-home', 'start-before-sync'],
    bounds: {maxDepth: 6, maxStates: MAX_STATES},
    run(fault) {
      const limits = {maxTerm: 3, maxIsolations: 1, maxCrashes: 1};
      return explore(takeoverScenario({...limits, fault}), this.bounds);
    },
  },
  {
    name: 'configuration with restarts',
    finds: ['serve-before-recovery'],
    bounds: {maxDepth: 6, maxStates: MAX_STATES},
    run(fault) {
      const limits = {maxTerm: 3, maxRevisions: 2};
      const model = configurationScenario({
        ...limits,
        maxRestarts: 2,
        maxIsolations: 1,
        fault,
      });
      return explore(model, this.bounds);
    },
  },
];
