/**
 * Derives the voters of record groups and grants their generations. The rules
 * are in docs/design.md, section 4.1.
 */
import type {InstanceAddress, InstanceSettings} from '@mustardferry/model';

import {
  type Abandonment,
  ABSENT_INCARNATION,
  type GrantedVoter,
  type RecordGroupDefinition,
  type RecordGroupView,
} from './control_messages.js';

/** Returns the incarnation of an instance, or undefined when not registered. */
export type IncarnationLookup = (name: string) => string | undefined;

function computeMajority(count: number): number {
  return Math.floor(count / 2) + 1;
}

function createVoters(
  names: readonly string[],
  getIncarnation: IncarnationLookup,
): readonly GrantedVoter[] {
  return names.map(name => ({
    name,
    incarnation: getIncarnation(name) ?? ABSENT_INCARNATION,
  }));
}

/**
 * Grants the first generation once a majority of the names has registered, and
 * each later one once a majority has abandoned the current one. Otherwise
 * returns the view unchanged.
 */
export function grantNextGeneration(
  view: RecordGroupView,
  getIncarnation: IncarnationLookup,
  atMs: number,
): RecordGroupView {
  const {group, names, current} = view;
  const ready =
    current === undefined
      ? names.filter(name => getIncarnation(name) !== undefined).length
      : view.abandonedBy.length;
  if (ready < computeMajority(names.length)) return view;
  // Uses the latest clock reading, so that a submission admitted in an earlier
  // generation never appears to be newer than the grant.
  const grantedAtMs = Math.max(
    atMs,
    current?.grantedAtMs ?? 0,
    ...view.abandonedBy.map(abandonment => abandonment.atMs),
  );
  return {
    group,
    names,
    current: {
      group,
      generation: (current?.generation ?? 0) + 1,
      voters: createVoters(names, getIncarnation),
      grantedAtMs,
    },
    abandonedBy: [],
  };
}

/**
 * Removes the abandonment of an earlier incarnation. The new incarnation may
 * join the generation, so it must not count towards the majority that abandons
 * the generation.
 */
export function withdrawAbandonment(
  view: RecordGroupView,
  name: string,
): RecordGroupView {
  const abandonedBy = view.abandonedBy.filter(other => other.name !== name);
  if (abandonedBy.length === view.abandonedBy.length) return view;
  return {...view, abandonedBy};
}

/** Records an abandonment; replaces an earlier one of the same name. */
export function recordAbandonment(
  view: RecordGroupView,
  abandonment: Abandonment,
): RecordGroupView {
  const others = view.abandonedBy.filter(
    other => other.name !== abandonment.name,
  );
  return {...view, abandonedBy: [...others, abandonment]};
}

/**
 * Picks one voter from another data centre: the nearest one that has an
 * instance with a disk, else the next one. Returns at most one name.
 */
function pickNeighbourVoter(
  instances: readonly InstanceAddress[],
  dataCentres: readonly string[],
  dataCentre: string,
  group: number,
): readonly string[] {
  const at = dataCentres.indexOf(dataCentre);
  const otherDataCentres = [
    ...dataCentres.slice(at + 1),
    ...dataCentres.slice(0, at),
  ];
  const instanceLists = otherDataCentres.map(name =>
    instances.filter(other => other.dataCentre === name),
  );
  const withDisk = instanceLists
    .map(list => list.filter(other => other.disk))
    .find(list => list.length > 0);
  const pool = (withDisk ?? instanceLists[0] ?? [])
    .map(other => other.name)
    .sort();
  const chosen = pool[group % pool.length];
  return chosen === undefined ? [] : [chosen];
}

/**
 * Derives the voter names of all record groups: the instances of the data
 * centre, plus one of a neighbour when their count is even or none has a disk.
 * Neighbours are the following data centres in circular order of their names;
 * those that have an instance with a disk go first.
 */
export function deriveRecordGroupDefinitions(
  settings: Pick<InstanceSettings, 'instances' | 'recordGroups'>,
): readonly RecordGroupDefinition[] {
  const {instances, recordGroups} = settings;
  const dataCentres = [
    ...new Set(instances.map(instance => instance.dataCentre)),
  ].sort();
  return dataCentres.flatMap(dataCentre => {
    const localInstances = instances.filter(
      each => each.dataCentre === dataCentre,
    );
    const localNames = localInstances.map(each => each.name).sort();
    const needsNeighbourVoter =
      localNames.length % 2 === 0 || !localInstances.some(each => each.disk);
    return Array.from({length: recordGroups}, (_, group) => ({
      group: `${dataCentre}.${group}`,
      names: needsNeighbourVoter
        ? [
            ...localNames,
            ...pickNeighbourVoter(instances, dataCentres, dataCentre, group),
          ]
        : localNames,
    }));
  });
}
