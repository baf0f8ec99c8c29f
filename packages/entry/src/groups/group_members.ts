/** Names of the voters of each record group, from the settings. */
import type {InstanceAddress, InstanceSettings} from '@mustardferry/model';
import {dataCentresOf} from '@mustardferry/model';

/** A record group as the settings define it. */
export interface GroupDefinition {
  /** `<dataCentre>.<group>`. */
  readonly name: string;
  readonly dataCentre: string;
  readonly index: number;
  /** Instances of the data centre, then the voter of a neighbour if any. */
  readonly members: readonly InstanceAddress[];
  /** Instance that should lead, so that groups spread over instances. */
  readonly preferredLeader: string;
}

function byName(a: InstanceAddress, b: InstanceAddress): number {
  return a.name < b.name ? -1 : 1;
}

/**
 * The voter that a neighbour data centre lends: needed when the number of
 * local instances is even, or when none of them has a disk.
 */
function lentVoter(
  settings: InstanceSettings,
  dataCentre: string,
  locals: readonly InstanceAddress[],
): InstanceAddress | undefined {
  const hasDisk = locals.some(instance => instance.disk);
  if (locals.length % 2 === 1 && hasDisk) return undefined;
  const dataCentres = dataCentresOf(settings);
  const position = dataCentres.indexOf(dataCentre);
  const ring = [
    ...dataCentres.slice(position + 1),
    ...dataCentres.slice(0, position),
  ];
  const neighbours = ring.flatMap(name =>
    settings.instances
      .filter(instance => instance.dataCentre === name)
      .sort(byName),
  );
  return neighbours.find(instance => instance.disk) ?? neighbours[0];
}

/** All record groups of the deployment; the same on every instance. */
export function groupDefinitions(
  settings: InstanceSettings,
): readonly GroupDefinition[] {
  return dataCentresOf(settings).flatMap(dataCentre => {
    const locals = settings.instances
      .filter(instance => instance.dataCentre === dataCentre)
      .sort(byName);
    const lent = lentVoter(settings, dataCentre, locals);
    const members = lent === undefined ? locals : [...locals, lent];
    return Array.from({length: settings.recordGroups}, (_, index) => ({
      name: `${dataCentre}.${index}`,
      dataCentre,
      index,
      members,
      preferredLeader: locals[index % locals.length]?.name ?? '',
    }));
  });
}
