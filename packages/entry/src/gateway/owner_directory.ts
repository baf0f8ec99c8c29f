/** Which instance owns a record group, as far as this instance knows. */
import type {InstanceAddress} from '@mustardferry/model';

/** Directory of owners by group name `<dataCentre>.<group>`. */
export class OwnerDirectory {
  private readonly owners = new Map<string, string>();

  constructor(private readonly instances: readonly InstanceAddress[]) {}

  /** Replaces what an instance said about the groups that it owns. */
  learn(instance: string, ownedGroups: readonly string[]): void {
    for (const [group, owner] of this.owners) {
      if (owner === instance && !ownedGroups.includes(group)) {
        this.owners.delete(group);
      }
    }
    for (const group of ownedGroups) this.owners.set(group, instance);
  }

  /** Corrects the owner of one group after a reply. */
  correct(group: string, owner: string | undefined): void {
    if (owner === undefined) this.owners.delete(group);
    else this.owners.set(group, owner);
  }

  ownerOf(group: string): string | undefined {
    return this.owners.get(group);
  }

  /** Instances to ask, the known owner first. */
  candidates(dataCentre: string, group: string): readonly string[] {
    const owner = this.owners.get(group);
    const others = this.instances
      .filter(instance => instance.dataCentre === dataCentre)
      .map(instance => instance.name)
      .filter(name => name !== owner);
    return owner === undefined ? others : [owner, ...others];
  }
}
