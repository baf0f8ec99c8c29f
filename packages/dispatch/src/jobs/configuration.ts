/** Configuration that operators set as a whole. */

/** A queue that callers submit to. */
export interface QueueConfig {
  readonly name: string;
  readonly host: string;
  readonly prefix: string;
  /** Pool of upstreams that runs the tasks. */
  readonly pool: string;
  /** 0 comes first. */
  readonly priority: number;
  readonly maxAttempts: number;
  /** Response time objective: this multiple of the work plus `targetMs`. */
  readonly stretch: number;
  readonly targetMs: number;
}

/** A complete configuration. */
export interface Configuration {
  /** The highest revision is in force. */
  readonly revision: number;
  readonly queues: readonly QueueConfig[];
  /** Text as the operator sent it, to be read back unchanged. */
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
