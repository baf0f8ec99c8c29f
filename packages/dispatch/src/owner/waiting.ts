/** Helpers that wait for a time or a signal. */

/** Resolves after a time in milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Signal for a single waiter; kept for the next one if nobody waits. */
export class Wakeup {
  private resolve: (() => void) | null = null;
  private woken = false;

  /** Resumes the waiter, or the next one. */
  wake(): void {
    if (this.resolve) this.resolve();
    else this.woken = true;
  }

  wait(): Promise<void> {
    if (this.woken) {
      this.woken = false;
      return Promise.resolve();
    }
    return new Promise(resolve => {
      this.resolve = () => {
        this.resolve = null;
        resolve();
      };
    });
  }
}
