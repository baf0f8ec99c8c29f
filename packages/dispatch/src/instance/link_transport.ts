/** Transport of the replicated log between members. */
import {
  type LogMessage,
  LogTransport,
  type MemberId,
} from '@mustardferry/coordination';

import type {Command} from '../jobs/commands.js';
import type {LeaderClient} from './leader_client.js';

/** Sends the log's messages over the links of the leader client. */
export class LinkTransport extends LogTransport<Command> {
  constructor(
    private readonly self: MemberId,
    private readonly client: () => LeaderClient,
  ) {
    super();
  }

  override send(to: MemberId, message: LogMessage<Command>): void {
    this.client().send(to.name, {type: 'log', from: this.self, message});
  }
}
