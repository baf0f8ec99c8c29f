/** Operators' orders to evacuate a data centre or to readmit it. */
import type {ReplicatedLog} from '@mustardferry/coordination';
import type {Logger} from '@mustardferry/runtime';

import type {Command, CommandResult} from '../jobs/commands.js';
import type {DispatchState} from '../jobs/dispatch_state.js';
import type {Call, Reply} from '../messages/calls.js';
import type {Propose} from './proposer.js';

export interface EvacuationOrdersOptions {
  readonly state: DispatchState;
  readonly log: ReplicatedLog<Command, CommandResult>;
  readonly propose: Propose;
  readonly logger: Logger;
}

/** Applies orders to the replicated state, and reads it. */
export class EvacuationOrders {
  constructor(private readonly options: EvacuationOrdersOptions) {}

  async read(): Promise<Reply> {
    const {state, log} = this.options;
    await log.readBarrier();
    const {records, history} = state.evacuations;
    return {type: 'evacuations', records, history};
  }

  /** Replies once the outcome is committed. */
  async apply({
    dataCentre,
    evacuated,
    basedOn,
    operator,
  }: Extract<Call, {type: 'evacuate'}>): Promise<Reply> {
    const {state, log, propose, logger} = this.options;
    let record = state.evacuations.get(dataCentre);
    if (record.revision === basedOn) {
      const at = Date.now();
      const change = {dataCentre, evacuated, basedOn, at, operator};
      const result = await propose({type: 'evacuate', ...change});
      if (result.type === 'evacuation') ({record} = result);
    } else {
      // Even a replaced leader may acknowledge committed records only.
      await log.readBarrier();
    }
    const isInForce = record.evacuated === evacuated;
    logger.info('evacuation-ordered', {
      dataCentre,
      evacuated,
      basedOn,
      revision: record.revision,
      operator,
      isInForce,
    });
    const type = isInForce ? 'evacuation' : 'evacuation-conflict';
    return {type, record};
  }
}
