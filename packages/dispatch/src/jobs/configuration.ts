/** Configuration of the queues, which operators replace as a whole. */

/** A queue to which callers submit jobs. */
export interface QueueConfig {
  readonly name: string;
  readonly host: string;
  readonly prefix: string;
  /** Pool of upstreams that runs the tasks. */
  readonly pool: string;
  /** Lower values are served first, from 0. */
  readonly priority: number;
  readonly maxAttempts: number;
  /** Response-time target: this multiple of the work, plus `targetMs`. */
  readonly stretch: number;
  readonly targetMs: number;
}

/** A complete configuration. */
export interface Configuration {
  /** The configuration with the highest revision applies. */
  readonly revision: number;
  readonly queues: readonly QueueConfig[];
  /** Original text from the operator, returned unchanged on request. */
  readonly source: string;
}

/** Finds queues by host and longest path prefix. */
export class QueueTable {
  private readonly byHost = new Map<string, readonly QueueConfig[]>();
  private readonly byKey = new Map<string, QueueConfig>();

  constructor(readonly configuration: Configuration) {
    const hosts = new Map<string, QueueConfig[]>();
    for (const queue of configuration.queues) {
      const list = hosts.get(queue.host) ?? [];
      list.push(queue);
      hosts.set(queue.host, list);
      this.byKey.set(`${queue.host}${queue.prefix}`, queue);
    }
    for (const [host, queues] of hosts) {
      queues.sort((a, b) => b.prefix.length - a.prefix.length);
      this.byHost.set(host, queues);
    }
  }

  findQueue(host: string, path: string): QueueConfig | undefined {
    return this.byHost.get(host)?.find(q => path.startsWith(q.prefix));
  }

  getQueue(key: string): QueueConfig | undefined {
    return this.byKey.get(key);
  }
}
