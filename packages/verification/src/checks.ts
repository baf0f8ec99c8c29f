/** The checks: scenarios with their bounds, and the faults that each finds. */
import {configurationScenario} from './configuration_scenario.js';
import {electionScenario} from './election_scenario.js';
import {type Exploration, type ExplorationBounds, explore} from './explorer.js';
import type {Fault} from './faults.js';
import {formationScenario, NAMES, registration} from './formation_scenario.js';
import {ownershipScenario} from './ownership_scenario.js';
import {takeoverScenario} from './takeover_scenario.js';

/** One exploration of one scenario. */
export interface Check {
  readonly name: string;
  /** Faults that this check finds. */
  readonly finds: readonly Fault[];
  readonly bounds: ExplorationBounds;
  readonly run: (fault: Fault | null, part?: CheckPart) => Exploration;
}

/** Restricts a run to a part of the check, for quick tests. */
export interface CheckPart {
  readonly maxDepth?: number;
  /** Further actions before the exploration; they don't count as steps. */
  readonly prefix?: readonly string[];
}

const MAX_STATES = 1_000_000;

interface ElectionCheckOptions {
  readonly name: string;
  readonly syncEverything?: boolean;
  /** Members with a vote at the start; all three by default. */
  readonly firstVoters?: number;
  readonly maxDepth: number;
  readonly maxCrashes?: number;
  readonly finds?: readonly Fault[];
  /** Actions that lead to the state to start from. */
  readonly prefix?: readonly string[];
}

/** Scenario (a); explored from several states that a prefix reaches. */
function electionCheck({
  name,
  syncEverything = false,
  firstVoters = 3,
  maxDepth,
  maxCrashes = 1,
  finds = [],
  prefix = [],
}: ElectionCheckOptions): Check {
  const bounds = {maxDepth, maxStates: MAX_STATES};
  const limits = {
    syncEverything,
    firstVoters,
    maxTerm: 2,
    maxProposals: 1,
    maxCrashes,
  };
  return {
    name,
    bounds,
    finds,
    run: (fault, part = {}) =>
      explore(electionScenario({...limits, fault}), {...bounds, ...part}, [
        ...prefix,
        ...(part.prefix ?? []),
      ]),
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

/** Every member holds the replacement; its leader can commit it next. */
const REPLACING = [
  ...JOINING,
  'a: send heartbeat',
  'c: receive append of term 1 from a#1',
  'c: receive append of term 1 from a#1 (2)',
  'b: receive append of term 1 from a#1 (3)',
  'a: receive append-reply of term 1 from b#2',
  'b: receive append of term 1 from a#1 (4)',
  'a: receive append-reply of term 1 from b#2 (2)',
  'c: receive append of term 1 from a#1 (4)',
  'b: receive append of term 1 from a#1 (5)',
  'a: receive append-reply of term 1 from b#2 (3)',
];

const THREE_VOTERS = [
  ...NAMES.map((_, at) => `control log: apply ${registration(at, 1)}`),
  ...NAMES.map(name => `${name}: join generation 1`),
  'c: become voter of generation 1',
];

/** The third member joins a group of two, which lets it grow. */
const GROWING = [
  ...ELECTED,
  'b: receive append of term 1 from a#1',
  'a: receive append-reply of term 1 from b#1',
  'c: ask to join',
  'a: receive join of term 0 from c#1',
];

/** All checks, in the order in which they run. */
export const CHECKS: readonly Check[] = [
  electionCheck({
    name: 'election, in memory',
    maxDepth: 8,
    finds: ['vote-after-lost-memory'],
  }),
  electionCheck({
    name: 'election, in memory, after a commit',
    maxDepth: 7,
    prefix: COMMITTED_ON_TWO,
  }),
  electionCheck({
    name: 'election, in memory, during a repair',
    maxDepth: 6,
    prefix: JOINING,
  }),
  electionCheck({
    name: 'election, in memory, around the end of a repair',
    maxDepth: 8,
    maxCrashes: 2,
    finds: ['repaired-at-commit'],
    prefix: REPLACING,
  }),
  electionCheck({
    name: 'election, in memory, while the group grows',
    firstVoters: 2,
    maxDepth: 9,
    prefix: GROWING,
  }),
  electionCheck({
    name: 'election, synced, of a group that grows',
    syncEverything: true,
    firstVoters: 2,
    maxDepth: 10,
  }),
  electionCheck({
    name: 'election, synced',
    syncEverything: true,
    maxDepth: 10,
    finds: ['acknowledge-before-sync'],
  }),
  {
    name: 'admission and takeover',
    finds: ['no-epoch-check', 'forward-to-non-home', 'start-before-sync'],
    bounds: {maxDepth: 6, maxStates: MAX_STATES},
    run(fault, part = {}) {
      const limits = {maxTerm: 3, maxIsolations: 1, maxCrashes: 1};
      const model = takeoverScenario({...limits, fault});
      return explore(model, {...this.bounds, ...part}, part.prefix);
    },
  },
  {
    name: 'ownership of upstreams with leases',
    finds: [
      'start-before-settled',
      'no-token-check',
      'requeue-before-lease-end',
      'requeue-unanswered-start',
      'lose-runs-of-old-life',
      'acknowledge-before-commit',
    ],
    bounds: {maxDepth: 10, maxStates: MAX_STATES},
    run(fault, part = {}) {
      const limits = {maxTicks: 3, maxRuns: 2, maxRebirths: 1};
      const model = ownershipScenario({...limits, fault});
      return explore(model, {...this.bounds, ...part}, part.prefix);
    },
  },
  {
    name: 'configuration with restarts',
    finds: ['serve-before-recovery'],
    bounds: {maxDepth: 6, maxStates: MAX_STATES},
    run(fault, part = {}) {
      const limits = {maxTerm: 3, maxRevisions: 2};
      const model = configurationScenario({
        ...limits,
        maxRestarts: 2,
        maxIsolations: 1,
        fault,
      });
      return explore(model, {...this.bounds, ...part}, part.prefix);
    },
  },
  {
    name: 'generations of a record group',
    finds: ['join-after-abandonment'],
    bounds: {maxDepth: 10, maxStates: MAX_STATES},
    run(fault, part = {}) {
      const model = formationScenario({maxRestarts: 2, fault});
      return explore(model, {...this.bounds, ...part}, part.prefix);
    },
  },
  {
    name: 'generations of a record group, from three voters',
    finds: ['join-before-registration', 'join-after-abandonment'],
    bounds: {maxDepth: 8, maxStates: MAX_STATES},
    run(fault, part = {}) {
      const model = formationScenario({maxRestarts: 2, fault});
      const prefix = [...THREE_VOTERS, ...(part.prefix ?? [])];
      return explore(model, {...this.bounds, ...part}, prefix);
    },
  },
];
