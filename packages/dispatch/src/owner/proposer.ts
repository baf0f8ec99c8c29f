/** Proposes commands to the log until the owner is closed. */
import {NotProposedError, type ReplicatedLog} from '@mustardferry/coordination';
import type {Logger} from '@mustardferry/runtime';

import type {Command, CommandResult} from '../jobs/commands.js';
import type {OwnerActivity} from './owner_activity.js';
import {sleep} from './waiting.js';

/** Proposes a command to the replicated log of the group. */
export type Propose = (command: Command) => Promise<CommandResult>;

/** Pause between attempts while the log takes no proposals. */
const RETRY_PAUSE_MS = 50;

/** Slower commits are logged; operators wait up to a second for an answer. */
const SLOW_COMMIT_MS = 500;

/**
 * Retries while the log takes no proposals but keeps its leader, for example
 * after a transfer of leadership that failed.
 */
export class CommandProposer {
  private closed = false;

  constructor(
    private readonly log: ReplicatedLog<Command, CommandResult>,
    private readonly logger: Logger,
    private readonly activity: OwnerActivity,
  ) {}

  close(): void {
    this.closed = true;
  }

  /**
   * Proposes a command; resolves once it is committed.
   *
   * @throws the log's errors; a proposal that the log did not take is retried
   *     instead until the owner is closed.
   */
  async propose(command: Command): Promise<CommandResult> {
    const proposedAt = performance.now();
    for (;;) {
      try {
        const result = await this.log.propose(command);
        this.reportCommit(command, performance.now() - proposedAt);
        return result;
      } catch (err) {
        const {type} = command;
        this.logger.warn('command-not-committed', {command: type, err});
        if (this.closed || !(err instanceof NotProposedError)) throw err;
        await sleep(RETRY_PAUSE_MS);
      }
    }
  }

  private reportCommit({type}: Command, tookMs: number): void {
    this.activity.recordDuration('commit', tookMs);
    if (tookMs < SLOW_COMMIT_MS) return;
    this.logger.warn('commit-slow', {
      command: type,
      tookMs: Math.round(tookMs),
    });
  }
}
