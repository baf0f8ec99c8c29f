/** Names of the voters of each record group, from the settings. */
import {deriveRecordGroupDefinitions} from '@mustardferry/coordination';
import type {InstanceAddress, InstanceSettings} from '@mustardferry/model';
import {must} from '@mustardferry/model';

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

/** All record groups of the deployment; the same on every instance. */
export function groupDefinitions(
  settings: InstanceSettings,
): readonly GroupDefinition[] {
  const byName = new Map(settings.instances.map(each => [each.name, each]));
  return deriveRecordGroupDefinitions(settings).map(({group, names}) => {
    const split = group.lastIndexOf('.');
    const dataCentre = group.slice(0, split);
    const index = Number(group.slice(split + 1));
    const members = names.map(name =>
      must(byName.get(name), `${name} is not in the settings`),
    );
    const locals = members.filter(each => each.dataCentre === dataCentre);
    const preferredLeader = locals[index % locals.length]?.name ?? '';
    return {name: group, dataCentre, index, members, preferredLeader};
  });
}
