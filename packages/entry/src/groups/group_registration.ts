/** Writes this life of the instance and the groups into the control log. */
import type {InstanceSettings} from '@mustardferry/model';

import type {ControlService} from '../control/control_service.js';
import type {GroupDefinition} from './group_members.js';

/** Options of a registration. */
export interface GroupRegistrationOptions {
  readonly settings: InstanceSettings;
  readonly incarnation: string;
  readonly control: ControlService;
}

/** Registers once; each call continues what an earlier one did not finish. */
export class GroupRegistration {
  private done = false;
  private defined = false;

  constructor(
    private readonly definitions: readonly GroupDefinition[],
    private readonly options: GroupRegistrationOptions,
  ) {}

  /** Whether the control log holds this incarnation. */
  get registered(): boolean {
    return this.done;
  }

  /**
   * The leader of the control log writes the groups of its settings.
   *
   * @throws ControlUnavailableError, ControlOutcomeUnknownError.
   */
  async defineGroups(): Promise<void> {
    const {control} = this.options;
    if (this.defined || control.role !== 'leader') return;
    const missing = this.definitions.filter(
      ({name}) => control.state.group(name) === undefined,
    );
    if (missing.length > 0) {
      await control.propose({
        type: 'define-groups',
        groups: missing.map(({name, members}) => ({
          group: name,
          names: members.map(member => member.name),
        })),
        atMs: Date.now(),
      });
    }
    this.defined = true;
  }

  /**
   * Registers the incarnation.
   *
   * @throws ControlUnavailableError, ControlOutcomeUnknownError.
   */
  async register(): Promise<void> {
    const {control, settings, incarnation} = this.options;
    if (this.done) return;
    const address = settings.instances.find(
      instance => instance.name === settings.name,
    );
    const result = await control.propose({
      type: 'register-instance',
      name: settings.name,
      dataCentre: settings.dataCentre,
      address: address?.address ?? settings.listen,
      disk: settings.dataFolder !== '',
      incarnation,
      atMs: Date.now(),
    });
    this.done = result.outcome !== 'invalid';
  }
}
