/** Small ways to wait. */

/** Resolves after a time in milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Lets one waiter sleep until it is woken. */
export class Wakeup {
  private resolve: (() => void) | null = null;
  private woken = false;

  /** Wakes the waiter, or the next one. */
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
