/** Proposes commands for as long as an owner lives. */
import {NotProposedError, type ReplicatedLog} from '@mustardferry/coordination';
import type {Logger} from '@mustardferry/runtime';

import type {Command, CommandResult} from '../jobs/commands.js';
import type {OwnerActivity} from './owner_activity.js';
import {sleep} from './waiting.js';

/** Pause in ms between tries while the log takes no proposals. */
const RETRY_MS = 50;

/** Time in ms beyond which a commit is reported: operators wait a second. */
const SLOW_COMMIT_MS = 500;

/**
 * Tries again while the log takes no proposals but keeps its leader, for
 * example when a transfer of leadership did not come about.
 */
export class Proposer {
  private closed = false;

  constructor(
    private readonly log: ReplicatedLog<Command, CommandResult>,
    private readonly logger: Logger,
    private readonly activity: OwnerActivity,
  ) {}

  close(): void {
    this.closed = true;
  }

  /** @throws the log's errors, but for a refusal that ends by itself. */
  async propose(command: Command): Promise<CommandResult> {
    const proposedAt = performance.now();
    for (;;) {
      try {
        const result = await this.log.propose(command);
        this.committed(command, performance.now() - proposedAt);
        return result;
      } catch (err) {
        const {type} = command;
        this.logger.warn('command-not-committed', {command: type, err});
        if (this.closed || !(err instanceof NotProposedError)) throw err;
        await sleep(RETRY_MS);
      }
    }
  }

  private committed({type}: Command, tookMs: number): void {
    this.activity.recordDuration('commit', tookMs);
    if (tookMs < SLOW_COMMIT_MS) return;
    this.logger.warn('commit-slow', {
      command: type,
      tookMs: Math.round(tookMs),
    });
  }
}
