/** Transport between members of one process. */
import {
  type LogMessage,
  LogTransport,
  type MemberId,
  type ReplicatedLog,
} from '@mustardferry/coordination';

type CounterLog = ReplicatedLog<number, number>;

/** Delivers messages between the logs that were added. */
export class MemoryNetwork {
  private readonly logs = new Map<string, CounterLog>();

  add(name: string, log: CounterLog): void {
    this.logs.set(name, log);
  }

  /** Drops a member and tells the others, as a closed connection would. */
  remove(name: string): void {
    this.logs.delete(name);
    for (const log of this.logs.values()) log.reportPeerLost(name);
  }

  deliver(from: MemberId, to: MemberId, message: LogMessage<number>): void {
    // A later turn, as a log must not be entered while it sends.
    setImmediate(() => this.logs.get(to.name)?.receive(from, message));
  }
}

/** The sending side of one member. */
export class MemoryTransport extends LogTransport<number> {
  constructor(
    private readonly network: MemoryNetwork,
    private readonly self: MemberId,
  ) {
    super();
  }

  override send(to: MemberId, message: LogMessage<number>): void {
    this.network.deliver(this.self, to, message);
  }
}
