/** Ownership and orderly clean-up of sockets, timers and tasks. */
import {MustardferryError} from '@mustardferry/model';

/** Something that a life-cycle manager closes. */
export interface Closable {
  readonly name: string;
  close(): Promise<void> | void;
}

/** One or more owned parts failed to close. */
export class CloseError extends MustardferryError {
  readonly code = 'close-failed';
}

/**
 * Owns resources and closes them in reverse order of registration, each once,
 * so that a part never outlives what it depends on.
 */
export class LifecycleManager implements Closable {
  private readonly owned: Closable[] = [];
  private closing: Promise<void> | undefined;

  constructor(readonly name: string) {}

  /** Registers a resource and returns it. */
  own<T extends Closable>(resource: T): T {
    this.owned.push(resource);
    return resource;
  }

  /** Registers a clean-up function under a name. */
  defer(name: string, close: () => Promise<void> | void): void {
    this.owned.push({name, close});
  }

  /** Registers a repeating timer with a period in milliseconds. */
  every(name: string, periodMs: number, run: () => void): void {
    const timer = setInterval(run, periodMs);
    this.defer(name, () => clearInterval(timer));
  }

  /**
   * Closes everything; further calls return the same promise.
   *
   * @throws CloseError when a resource failed; the others are closed anyway.
   */
  close(): Promise<void> {
    this.closing ??= this.closeAll();
    return this.closing;
  }

  private async closeAll(): Promise<void> {
    const failures: unknown[] = [];
    for (const resource of this.owned.reverse()) {
      try {
        await resource.close();
      } catch (err) {
        failures.push(err);
      }
    }
    if (failures.length > 0) {
      throw new CloseError(`${this.name}: ${failures.length} parts failed`, {
        cause: failures[0],
      });
    }
  }
}
