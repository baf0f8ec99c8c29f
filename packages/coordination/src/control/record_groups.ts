/** Record groups of the deployment and their generations. */
import {invalid} from './answers_check.js';
import type {
  AbandonGroupCommand,
  FirstControlResult,
  RecordGroupDefinition,
  RecordGroupView,
} from './control_messages.js';
import {
  grantNextGeneration,
  type IncarnationLookup,
  recordAbandonment,
  withdrawAbandonment,
} from './group_formation.js';

function areSameNames(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((name, i) => name === b[i]);
}

/** Record groups by id, in order of definition. */
export class RecordGroups {
  private readonly views: Map<string, RecordGroupView>;

  constructor(from: readonly RecordGroupView[] = []) {
    this.views = new Map(from.map(view => [view.group, view]));
  }

  get(group: string): RecordGroupView | undefined {
    return this.views.get(group);
  }

  list(): readonly RecordGroupView[] {
    return [...this.views.values()];
  }

  /** Whether a group belongs to the data centre; see `RecordGroupDefinition`. */
  hasDataCentre(dataCentre: string): boolean {
    return this.list().some(
      ({group}) => group.slice(0, group.lastIndexOf('.')) === dataCentre,
    );
  }

  /** Adds all groups or none; returns why they are refused, or undefined. */
  defineGroups(
    groups: readonly RecordGroupDefinition[],
  ): FirstControlResult | undefined {
    for (const {group, names} of groups) {
      if (names.length === 0 || new Set(names).size !== names.length) {
        return invalid('bad-group-definition', group);
      }
      const known = this.views.get(group);
      if (known?.current === undefined) continue;
      // The quorums of a granted generation depend on its names.
      if (!areSameNames(known.names, names)) {
        return invalid('group-has-generation', group);
      }
    }
    for (const {group, names} of groups) {
      if (this.views.get(group)?.current !== undefined) continue;
      this.views.set(group, {group, names, abandonedBy: []});
    }
    return undefined;
  }

  /** Removes the abandonments by earlier incarnations of an instance. */
  withdrawAbandonments(name: string): void {
    for (const view of this.list()) {
      this.views.set(view.group, withdrawAbandonment(view, name));
    }
  }

  /** Records an abandonment; returns why it is refused, or undefined. */
  abandon(command: AbandonGroupCommand): FirstControlResult | undefined {
    const {group, generation, instance, incarnation, atMs} = command;
    const view = this.views.get(group);
    if (view?.current === undefined) return invalid('unknown-group', group);
    const current = view.current.generation;
    if (current !== generation) {
      return invalid('old-generation', `${group} is at generation ${current}`);
    }
    if (!view.names.includes(instance)) {
      return invalid('not-a-voter-name', `${instance} in ${group}`);
    }
    const abandonment = {name: instance, incarnation, atMs};
    this.views.set(group, recordAbandonment(view, abandonment));
    return undefined;
  }

  /** Grants a generation to each group that meets the conditions for it. */
  grantGenerations(getIncarnation: IncarnationLookup, atMs: number): void {
    for (const view of this.list()) {
      this.views.set(
        view.group,
        grantNextGeneration(view, getIncarnation, atMs),
      );
    }
  }
}
