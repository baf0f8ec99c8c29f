export {judge, type Violation} from './measures/invariants.js';
export {type RunSummary, summarizeRun} from './measures/summary.js';
export {Relay, type RelayFault, type RelayLink} from './relay/relay.js';
