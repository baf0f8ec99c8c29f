/** Operators' orders to replace the configuration. */
import type {ReplicatedLog} from '@mustardferry/coordination';
import type {Logger} from '@mustardferry/runtime';

import type {Command, CommandResult} from '../jobs/commands.js';
import type {Configuration} from '../jobs/configuration.js';
import type {DispatchState} from '../jobs/dispatch_state.js';
import type {Reply} from '../messages/calls.js';
import type {Dispatcher} from './dispatcher.js';
import type {Propose} from './proposer.js';

export interface ConfigurationOrdersOptions {
  readonly state: DispatchState;
  readonly log: ReplicatedLog<Command, CommandResult>;
  readonly propose: Propose;
  readonly dispatcher: Dispatcher;
  readonly logger: Logger;
}

/** Replaces the configuration in the replicated state, and reads it. */
export class ConfigurationOrders {
  constructor(private readonly options: ConfigurationOrdersOptions) {}

  async apply(configuration: Configuration): Promise<Reply> {
    const {state, log, propose, logger} = this.options;
    const {revision} = configuration;
    const held = state.queues?.configuration.revision ?? -1;
    if (revision <= held) {
      // Even a replaced leader may acknowledge committed revisions only.
      await log.readBarrier();
      logger.info('configuration-known', {revision, held});
      return {type: 'configured', revision: held};
    }
    await propose({type: 'configure', configuration});
    logger.info('configuration-accepted', {
      revision,
      replaced: held,
      queues: configuration.queues.length,
    });
    this.options.dispatcher.schedule();
    return {type: 'configured', revision};
  }

  async read(): Promise<Reply> {
    const {state, log} = this.options;
    await log.readBarrier();
    const {queues} = state;
    if (!queues) return {type: 'no-configuration'};
    return {type: 'configuration', source: queues.configuration.source};
  }
}
