export {PROBLEM_CATALOG, type ProblemCode} from './http/problems.js';
export {EntryInstance, type EntryInstanceOptions} from './instance.js';
export {runInstance} from './run_instance.js';
