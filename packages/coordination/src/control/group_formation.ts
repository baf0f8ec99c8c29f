/** Grants generations of record groups; the rules are in docs/design.md, 4.1. */
import type {InstanceAddress, InstanceSettings} from '@mustardferry/model';

import {
  type Abandonment,
  ABSENT_INCARNATION,
  type GrantedVoter,
  type RecordGroupDefinition,
  type RecordGroupView,
} from './control_messages.js';

/** Incarnation of a registered name, or undefined. */
export type IncarnationOf = (name: string) => string | undefined;

function majority(count: number): number {
  return Math.floor(count / 2) + 1;
}

function votersOf(
  names: readonly string[],
  incarnationOf: IncarnationOf,
): readonly GrantedVoter[] {
  return names.map(name => ({
    name,
    incarnation: incarnationOf(name) ?? ABSENT_INCARNATION,
  }));
}

/**
 * Grants the next generation where the state allows it: the first once a
 * majority of the names registered, a later one once a majority abandoned the
 * current one. Returns the view unchanged otherwise.
 */
export function formGroup(
  view: RecordGroupView,
  incarnationOf: IncarnationOf,
  atMs: number,
): RecordGroupView {
  const {group, names, current} = view;
  const ready =
    current === undefined
      ? names.filter(name => incarnationOf(name) !== undefined).length
      : view.abandonedBy.length;
  if (ready < majority(names.length)) return view;
  // The latest clock counts, so that no admission before the grant seems later.
  const grantedAtMs = Math.max(
    atMs,
    current?.grantedAtMs ?? 0,
    ...view.abandonedBy.map(promise => promise.atMs),
  );
  return {
    group,
    names,
    current: {
      group,
      generation: (current?.generation ?? 0) + 1,
      voters: votersOf(names, incarnationOf),
      grantedAtMs,
    },
    abandonedBy: [],
  };
}

/**
 * Voids the promise of an earlier incarnation: the new one did not make it and
 * may join the generation, so it must not count towards giving it up.
 */
export function withdrawAbandonment(
  view: RecordGroupView,
  name: string,
): RecordGroupView {
  const abandonedBy = view.abandonedBy.filter(voter => voter.name !== name);
  if (abandonedBy.length === view.abandonedBy.length) return view;
  return {...view, abandonedBy};
}

/** Records the promise of a registered incarnation; a repeat has no effect. */
export function recordAbandonment(
  view: RecordGroupView,
  promise: Abandonment,
): RecordGroupView {
  const others = view.abandonedBy.filter(other => other.name !== promise.name);
  return {...view, abandonedBy: [...others, promise]};
}

/**
 * Voter that a neighbour lends: from the nearest data centre that has an
 * instance with a disk, else from the next one.
 */
function neighbourVoter(
  instances: readonly InstanceAddress[],
  dataCentres: readonly string[],
  dataCentre: string,
  group: number,
): readonly string[] {
  const at = dataCentres.indexOf(dataCentre);
  const ring = [...dataCentres.slice(at + 1), ...dataCentres.slice(0, at)];
  const pools = ring.map(name =>
    instances.filter(other => other.dataCentre === name),
  );
  const withDisk = pools
    .map(there => there.filter(other => other.disk))
    .find(there => there.length > 0);
  const pool = (withDisk ?? pools[0] ?? []).map(other => other.name).sort();
  const chosen = pool[group % pool.length];
  return chosen === undefined ? [] : [chosen];
}

/**
 * Derives the voter names of all record groups: the instances of the data
 * centre, plus one of a neighbour (by name, circular; with a disk where one
 * has) when their count is even or none has a disk.
 */
export function deriveRecordGroupDefinitions(
  settings: Pick<InstanceSettings, 'instances' | 'recordGroups'>,
): readonly RecordGroupDefinition[] {
  const {instances, recordGroups} = settings;
  const dataCentres = [
    ...new Set(instances.map(instance => instance.dataCentre)),
  ].sort();
  return dataCentres.flatMap(dataCentre => {
    const here = instances.filter(each => each.dataCentre === dataCentre);
    const own = here.map(each => each.name).sort();
    const addOne = own.length % 2 === 0 || !here.some(each => each.disk);
    return Array.from({length: recordGroups}, (_, group) => ({
      group: `${dataCentre}.${group}`,
      names: addOne
        ? [...own, ...neighbourVoter(instances, dataCentres, dataCentre, group)]
        : own,
    }));
  });
}
