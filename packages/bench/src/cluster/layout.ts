/** Names, places and addresses of the entry instances of a run. */
import {must, type PolicyNames} from '@mustardferry/model';

import type {RelayLink} from '../relay/relay.js';

/** Place of the load generator in relay links. */
export const CLIENTS = 'clients';

/** One entry instance. */
export interface InstancePlan {
  readonly name: string;
  readonly dataCentre: string;
  readonly listen: string;
  readonly disk: boolean;
}

/** Sizes and delays of a deployment. */
export interface LayoutOptions {
  readonly dataCentres: readonly string[];
  readonly instances: number;
  readonly betweenMs: number;
  readonly clientMs: number;
  /** Whether connections inside a data centre pass the relay as well. */
  readonly relayInside: boolean;
}

/** Spreads instances evenly; the first of each data centre has a disk. */
export function planInstances(
  options: LayoutOptions,
  ports: readonly number[],
): InstancePlan[] {
  const {dataCentres, instances} = options;
  const seen = new Set<string>();
  return Array.from({length: instances}, (_, index) => {
    const place = Math.floor((index * dataCentres.length) / instances);
    const dataCentre = must(dataCentres[place], 'no data centre');
    const disk = !seen.has(dataCentre);
    seen.add(dataCentre);
    const listen = `127.0.0.1:${must(ports[index], 'no port')}`;
    return {name: `e${index + 1}`, dataCentre, listen, disk};
  });
}

/** Links from every place to the instances that it reaches by the relay. */
export function planLinks(
  options: LayoutOptions,
  instances: readonly InstancePlan[],
): RelayLink[] {
  return [...options.dataCentres, CLIENTS].flatMap(from =>
    instances
      .filter(to => options.relayInside || to.dataCentre !== from)
      .map(to => ({
        from,
        to: to.dataCentre,
        target: to.listen,
        delayMs: delayOf(options, from, to.dataCentre),
      })),
  );
}

function delayOf(options: LayoutOptions, from: string, to: string): number {
  if (from === CLIENTS) return options.clientMs;
  return from === to ? 0 : options.betweenMs;
}

/** Addresses of all instances as a place reaches them, in their order. */
export function addressesFrom(
  place: string,
  instances: readonly InstancePlan[],
  links: readonly RelayLink[],
  ports: readonly number[],
): string[] {
  return instances.map(instance => {
    const index = links.findIndex(
      link => link.from === place && link.target === instance.listen,
    );
    return index < 0 ? instance.listen : `127.0.0.1:${ports[index]}`;
  });
}

/** What the settings of one instance depend on. */
export interface SettingsPlan {
  readonly self: InstancePlan;
  readonly instances: readonly InstancePlan[];
  /** Addresses as `self` reaches them, in the order of `instances`. */
  readonly addresses: readonly string[];
  readonly dataFolder: string;
  readonly policies: PolicyNames;
  readonly logLevel: string;
}

/** Text of the settings file of one instance. */
export function settingsText(plan: SettingsPlan): string {
  const {self, instances, policies} = plan;
  const listed = instances.map((instance, index) => {
    const own = instance.name === self.name;
    const address = own ? instance.listen : plan.addresses[index];
    const disk = instance.disk ? 'disk' : 'no-disk';
    return `${instance.name} = "${address}, ${instance.dataCentre}, ${disk}"`;
  });
  const voters = instances.filter(each => each.disk).map(each => each.name);
  return `[instance]
name = ${self.name}
data_centre = ${self.dataCentre}
listen = ${self.listen}
data_folder = ${self.disk ? plan.dataFolder : ''}

[instances]
${listed.join('\n')}

[control]
voters = ${voters.join(', ')}

[timing]
drain_timeout_ms = 15000

[policies]
routing = ${policies.routing}
sharing = ${policies.sharing}
hedging = ${policies.hedging}

[logging]
level = ${plan.logLevel}
`;
}
