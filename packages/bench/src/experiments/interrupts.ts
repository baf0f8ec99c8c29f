/** Closes what a program started when the program is interrupted. */

/** Something that must not outlive the program. */
export interface Stoppable {
  close(): Promise<void>;
}

/** Exit code of a program that was interrupted, as shells expect it. */
const INTERRUPTED = 130;

/** Closes the tracked parts on SIGINT and SIGTERM, then exits. */
export class InterruptGuard {
  private readonly tracked = new Set<Stoppable>();

  constructor() {
    for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
      process.once(signal, () => void this.interrupted());
    }
  }

  track(part: Stoppable): void {
    this.tracked.add(part);
  }

  private async interrupted(): Promise<void> {
    await Promise.allSettled([...this.tracked].map(part => part.close()));
    process.exit(INTERRUPTED);
  }
}
