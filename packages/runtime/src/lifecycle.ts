/** Closes sockets, timers and tasks in reverse order of registration. */
import {MustardferryError} from '@mustardferry/model';

/** A resource that a `LifecycleManager` can close. */
export interface Closable {
  readonly name: string;
  close(): Promise<void> | void;
}

/** Thrown when one or more owned resources failed to close. */
export class CloseError extends MustardferryError {
  readonly code = 'close-failed';
}

/**
 * Owns resources and closes each once, in reverse order of registration, so
 * that a resource is closed before those that it depends on.
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

  /** Registers a clean-up function as a resource named `name`. */
  defer(name: string, close: () => Promise<void> | void): void {
    this.owned.push({name, close});
  }

  /** Calls `run` every `periodMs` milliseconds until the manager is closed. */
  every(name: string, periodMs: number, run: () => void): void {
    const timer = setInterval(run, periodMs);
    this.defer(name, () => clearInterval(timer));
  }

  /**
   * Closes all resources; further calls return the same promise.
   *
   * @throws CloseError when a resource fails to close; the others are closed
   * nevertheless.
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
      throw new CloseError(
        `${this.name}: ${failures.length} resources failed to close`,
        {cause: failures[0]},
      );
    }
  }
}
