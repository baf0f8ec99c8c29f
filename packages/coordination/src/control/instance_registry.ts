/** Registered instances and their incarnations. */
import type {
  RegisteredInstance,
  RegisterInstanceCommand,
} from './control_messages.js';

/**
 * Number of earlier incarnations remembered for each instance, so that a
 * delayed registration of a dead process can't replace a newer one.
 */
export const MAX_EARLIER_INCARNATIONS = 64;

/** An instance and its earlier incarnations, also stored in snapshots. */
export interface InstanceEntry {
  readonly instance: RegisteredInstance;
  readonly earlier: readonly string[];
}

/** Registered instances by name. */
export class InstanceRegistry {
  private readonly entries: Map<string, InstanceEntry>;

  constructor(from: readonly InstanceEntry[] = []) {
    this.entries = new Map(from.map(each => [each.instance.name, each]));
  }

  get(name: string): RegisteredInstance | undefined {
    return this.entries.get(name)?.instance;
  }

  list(): readonly RegisteredInstance[] {
    return [...this.entries.values()].map(entry => entry.instance);
  }

  /**
   * Registers an incarnation. A new one keeps the draining state, which only an
   * operator changes.
   */
  register(command: RegisterInstanceCommand): 'new' | 'same' | 'old' {
    const {name, dataCentre, address, disk, incarnation} = command;
    const entry = this.entries.get(name);
    if (entry?.earlier.includes(incarnation)) return 'old';
    const draining = entry?.instance.draining ?? false;
    const instance = {name, dataCentre, address, disk, incarnation, draining};
    const same = entry?.instance.incarnation === incarnation;
    const earlier = entry?.earlier ?? [];
    const replaced = entry === undefined ? [] : [entry.instance.incarnation];
    this.entries.set(name, {
      instance,
      earlier: same
        ? earlier
        : [...earlier, ...replaced].slice(-MAX_EARLIER_INCARNATIONS),
    });
    return same ? 'same' : 'new';
  }

  setDraining(instance: RegisteredInstance, draining: boolean): void {
    const entry = this.entries.get(instance.name);
    const earlier = entry?.earlier ?? [];
    this.entries.set(instance.name, {
      instance: {...instance, draining},
      earlier,
    });
  }

  snapshot(): readonly InstanceEntry[] {
    return [...this.entries.values()];
  }
}
