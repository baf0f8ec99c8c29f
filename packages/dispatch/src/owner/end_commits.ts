/** Commits of the ends of one upstream, in the order of the ends. */

import {sleep} from './waiting.js';

/** Keeps a failed commit from being passed by a later one. */
export class EndCommits {
  /** The last commit; false where one before it has failed. */
  private last: Promise<boolean> | null = null;

  /** @param onCommitted Told the position up to which ends are committed. */
  constructor(private readonly onCommitted: (upTo: number) => void) {}

  /** Resolves when no commit is open, or after a time in ms. */
  async settled(withinMs: number): Promise<void> {
    if (this.last) await Promise.race([this.last, sleep(withinMs)]);
  }

  /**
   * Adds a commit.
   *
   * @param upTo Position of its last end.
   * @param commit Is given the commit before; resolves with its success.
   */
  add(
    upTo: number,
    commit: (earlier: Promise<boolean>) => Promise<boolean>,
  ): void {
    const earlier = this.last ?? Promise.resolve(true);
    const added = commit(earlier).then(ok => {
      if (ok) this.onCommitted(upTo);
      if (ok && this.last === added) this.last = null;
      return ok;
    });
    this.last = added;
  }
}
