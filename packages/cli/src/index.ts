export {type ChainCheck, checkChain} from './audit_chain.js';
export {runCli} from './cli.js';
export type {CliContext} from './command.js';
export {EXIT, type ExitCode} from './exit_codes.js';
