/**
 * TCP relay between places with one-way delays, byte counters and faults.
 * Bytes of a cut direction are held and delivered after the repair, as TCP
 * retransmission does, so that a stream is never corrupted.
 */
import net from 'node:net';

/** One relayed endpoint: connections from a place to a target. */
export interface RelayLink {
  readonly from: string;
  readonly to: string;
  /** `IP:PORT` of the target. */
  readonly target: string;
  readonly delayMs: number;
}

/** Faults of the network between places. */
export type RelayFault =
  /** Nothing passes from one place to the other until `heal`. */
  | {readonly fault: 'cut'; readonly from: string; readonly to: string}
  | {readonly fault: 'heal'}
  /** Open connections go silent for good; new ones work. */
  | {readonly fault: 'silence'; readonly from: string; readonly to: string}
  /** Open connections are reset; what is on its way is lost. */
  | {readonly fault: 'reset'; readonly from: string; readonly to: string};

/** Bytes that passed a link in both directions. */
export interface LinkCount {
  readonly from: string;
  readonly to: string;
  readonly target: string;
  readonly bytes: number;
  readonly connections: number;
}

/** Reading stops when a direction holds this much, as a TCP window does. */
const HELD_LIMIT_BYTES = 1 << 20;
/** Timers are coarser than this; the rest of a delay is polled. */
const TIMER_GRAIN_MS = 1.2;

interface Direction {
  readonly from: string;
  readonly to: string;
  readonly source: net.Socket;
  readonly sink: net.Socket;
  /** Pieces in order; null is the end of the stream. */
  readonly held: {readonly dueAt: number; readonly piece: Buffer | null}[];
  heldBytes: number;
  silent: boolean;
}

interface OpenLink {
  readonly link: RelayLink;
  readonly server: net.Server;
  bytes: number;
  connections: number;
}

/** Relays connections; each link listens on a port of its own. */
export class Relay {
  private readonly links: OpenLink[] = [];
  private readonly directions = new Set<Direction>();
  private readonly cuts = new Set<string>();
  private polling = false;

  /** Opens links; returns their ports in the same order. */
  async open(links: readonly RelayLink[]): Promise<number[]> {
    return Promise.all(links.map(link => this.openOne(link)));
  }

  /** Applies or repairs a fault. */
  inject(fault: RelayFault): void {
    switch (fault.fault) {
      case 'cut':
        this.cuts.add(`${fault.from}>${fault.to}`);
        return;
      case 'heal':
        this.cuts.clear();
        this.poll();
        return;
      case 'silence':
        for (const each of this.between(fault)) each.silent = true;
        return;
      case 'reset':
        for (const each of this.between(fault)) {
          this.directions.delete(each);
          each.source.resetAndDestroy();
        }
    }
  }

  /** Both directions of the connections between two places. */
  private between({
    from,
    to,
  }: {
    readonly from: string;
    readonly to: string;
  }): readonly Direction[] {
    return [...this.directions].filter(
      each =>
        (each.from === from && each.to === to) ||
        (each.from === to && each.to === from),
    );
  }

  counts(): LinkCount[] {
    return this.links.map(({link, bytes, connections}) => ({
      from: link.from,
      to: link.to,
      target: link.target,
      bytes,
      connections,
    }));
  }

  async close(): Promise<void> {
    for (const each of this.directions) each.source.destroy();
    await Promise.all(
      this.links.map(
        ({server}) => new Promise(resolve => server.close(resolve)),
      ),
    );
  }

  private openOne(link: RelayLink): Promise<number> {
    const server = net.createServer({allowHalfOpen: true, noDelay: true});
    const open: OpenLink = {link, server, bytes: 0, connections: 0};
    this.links.push(open);
    server.on('connection', client => this.connect(open, client));
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(0, '127.0.0.1', () => {
        resolve((server.address() as net.AddressInfo).port);
      });
    });
  }

  private connect(open: OpenLink, client: net.Socket): void {
    const {link} = open;
    const [host, port] = link.target.split(':');
    open.connections += 1;
    const target = net.connect({
      host: host ?? '',
      port: Number(port),
      allowHalfOpen: true,
      noDelay: true,
    });
    const {from, to} = link;
    this.carry(open, {from, to, source: client, sink: target});
    this.carry(open, {from: to, to: from, source: target, sink: client});
  }

  private carry(
    open: OpenLink,
    ends: Pick<Direction, 'from' | 'to' | 'source' | 'sink'>,
  ): void {
    const direction = {...ends, held: [], heldBytes: 0, silent: false};
    this.directions.add(direction);
    const hold = (piece: Buffer | null) => {
      const dueAt = performance.now() + open.link.delayMs;
      this.hold(direction, dueAt, piece);
    };
    ends.source.on('data', piece => {
      open.bytes += piece.length;
      hold(piece);
    });
    ends.source.on('end', () => hold(null));
    ends.source.on('error', () => undefined);
    ends.source.on('close', () => {
      // A reset reaches the other end as a close behind the data in flight.
      hold(null);
    });
  }

  private hold(each: Direction, dueAt: number, piece: Buffer | null): void {
    if (!this.directions.has(each)) return;
    each.held.push({dueAt, piece});
    each.heldBytes += piece?.length ?? 0;
    if (each.heldBytes > HELD_LIMIT_BYTES) each.source.pause();
    this.poll();
  }

  private poll(): void {
    if (this.polling) return;
    this.polling = true;
    const run = () => {
      const waitMs = this.deliver(performance.now());
      this.polling = waitMs !== Infinity;
      if (waitMs === Infinity) return;
      if (waitMs > TIMER_GRAIN_MS) setTimeout(run, waitMs - TIMER_GRAIN_MS);
      else setImmediate(run);
    };
    run();
  }

  /** Delivers what is due; returns the time until the next piece is due. */
  private deliver(now: number): number {
    let nextAt = Infinity;
    for (const each of this.directions) {
      if (each.silent || this.cuts.has(`${each.from}>${each.to}`)) continue;
      for (;;) {
        const head = each.held[0];
        if (head === undefined) break;
        if (head.dueAt > now) {
          nextAt = Math.min(nextAt, head.dueAt);
          break;
        }
        each.held.shift();
        this.pass(each, head.piece);
      }
    }
    return nextAt === Infinity ? Infinity : Math.max(0, nextAt - now);
  }

  private pass(each: Direction, piece: Buffer | null): void {
    if (piece !== null) {
      each.heldBytes -= piece.length;
      if (each.source.isPaused()) each.source.resume();
      if (!each.sink.destroyed) each.sink.write(piece);
      return;
    }
    if (each.source.destroyed) {
      this.directions.delete(each);
      each.sink.destroySoon();
    } else {
      each.sink.end();
    }
  }
}
