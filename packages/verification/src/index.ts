export {type Check, CHECKS} from './checks.js';
export {
  type Exploration,
  type ExplorationBounds,
  explore,
  type Model,
  type ModelAction,
} from './explorer.js';
export {type Fault, FAULTS} from './faults.js';
