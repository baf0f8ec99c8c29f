export {judge, type Violation} from './measures/invariants.js';
export {type RunSummary, summarizeRun} from './measures/summary.js';
