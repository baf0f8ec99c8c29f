/** Commits of the run ends of one upstream, in the order of the ends. */

import {sleep} from './waiting.js';

/** Counts ends as committed only once all earlier ends are committed. */
export class EndCommits {
  /** The newest commit; resolves with false if it or an earlier one failed. */
  private lastCommit: Promise<boolean> | null = null;

  /** @param onCommitted Called with the position of the last committed end. */
  constructor(private readonly onCommitted: (upTo: number) => void) {}

  /** Resolves when no commit is open, or after the given time in ms. */
  async waitUntilSettled(withinMs: number): Promise<void> {
    if (this.lastCommit) await Promise.race([this.lastCommit, sleep(withinMs)]);
  }

  /**
   * Adds a commit.
   *
   * @param upTo Position of its last end.
   * @param commit Starts the commit, given the outcome of the one before;
   *     resolves with whether both succeeded.
   */
  add(
    upTo: number,
    commit: (earlier: Promise<boolean>) => Promise<boolean>,
  ): void {
    const earlier = this.lastCommit ?? Promise.resolve(true);
    const added = commit(earlier).then(ok => {
      if (ok) this.onCommitted(upTo);
      if (ok && this.lastCommit === added) this.lastCommit = null;
      return ok;
    });
    this.lastCommit = added;
  }
}
