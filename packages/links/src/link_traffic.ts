/** Counts the bytes of peer connections, framing included. */
import type {Socket} from 'node:net';

/** Bytes in both directions. */
export interface LinkBytes {
  readonly received: number;
  readonly sent: number;
}

/** Adds up what the sockets of all peer connections of an instance carried. */
export class LinkTraffic {
  private readonly open = new Set<Socket>();
  private closed: LinkBytes = {received: 0, sent: 0};
  private taken: LinkBytes = {received: 0, sent: 0};

  /** Counts a socket from now on, its handshake included. */
  add(socket: Socket): void {
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      this.closed = add(this.closed, socket);
    });
  }

  /** Bytes of all connections so far. */
  get total(): LinkBytes {
    let sum = this.closed;
    for (const socket of this.open) sum = add(sum, socket);
    return sum;
  }

  /** Bytes since the last call. */
  takeNew(): LinkBytes {
    const {total, taken} = this;
    this.taken = total;
    return {
      received: total.received - taken.received,
      sent: total.sent - taken.sent,
    };
  }
}

function add(sum: LinkBytes, {bytesRead, bytesWritten}: Socket): LinkBytes {
  return {
    received: sum.received + bytesRead,
    sent: sum.sent + bytesWritten,
  };
}
