/** Wakes the calls that wait for a change of the leader or of a link. */
export class ChangeSignal {
  private readonly waiters = new Set<() => void>();

  notify(): void {
    for (const waiter of [...this.waiters]) waiter();
  }

  /** Resolves at the next notification, or on timeout; at least 1 ms later. */
  wait(timeoutMs: number): Promise<void> {
    return new Promise(resolve => {
      const done = () => {
        clearTimeout(timer);
        this.waiters.delete(done);
        resolve();
      };
      const timer = setTimeout(done, Math.max(1, timeoutMs));
      this.waiters.add(done);
    });
  }
}
