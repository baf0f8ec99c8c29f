import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import net, {type AddressInfo, type Socket} from 'node:net';

import {must} from '@mustardferry/model';
import {expect} from 'chai';

import {LogOutbox, type StreamConnection} from '../src/log_outbox.js';
import {PeerLink} from '../src/peer_link.js';
import type {
  LogEnvelope,
  PeerIdentity,
  PeerService,
} from '../src/peer_messages.js';
import {PeerServer} from '../src/peer_server.js';

const A = {name: 'a', incarnation: 'life-a'};
const B = {name: 'b', incarnation: 'life-b'};
/** Short, so that the test need not wait long; no time is asserted. */
const PING_MS = 30;

const MESSAGE: LogEnvelope = {
  log: 'dc1.0@1',
  from: B,
  to: A,
  message: {type: 'join', to: '', term: 1},
};

/** Lets a test wait for the next of a kind of event. */
class Signals<T> {
  private readonly seen: T[] = [];
  private wake: () => void = () => undefined;

  add(value: T): void {
    this.seen.push(value);
    this.wake();
  }

  async next(): Promise<T> {
    while (this.seen.length === 0) {
      await new Promise<void>(resolve => (this.wake = resolve));
    }
    return this.seen.shift() as T;
  }
}

/** Peer B behind a proxy whose connections can go silent or break. */
class Fixture {
  readonly streams = new Signals<LogOutbox>();
  readonly signals = new Map<LogOutbox, AbortSignal>();
  readonly received = new Signals<LogEnvelope>();
  readonly ups = new Signals<string>();
  readonly downs = new Signals<string>();
  readonly refused = new Signals<string>();
  private readonly server: Server = createServer();
  private readonly proxy = net.createServer(near => this.relay(near));
  private readonly pairs = new Set<readonly [Socket, Socket]>();
  private readonly peers: PeerServer;
  link: PeerLink | undefined;

  constructor(private readonly token: string) {
    const service = {
      logStream: (_to: PeerIdentity, connection: StreamConnection) => {
        const outbox = new LogOutbox(connection);
        this.streams.add(outbox);
        this.signals.set(outbox, connection.signal);
        return outbox;
      },
      slotReport: () => undefined,
    } as unknown as PeerService;
    this.peers = new PeerServer({
      server: this.server,
      service,
      authorize: req => {
        const allowed = req.headers.authorization === 'Bearer right';
        if (!allowed) this.refused.add(String(req.headers.authorization));
        return allowed;
      },
    });
  }

  async open(): Promise<void> {
    for (const each of [this.server, this.proxy]) {
      each.listen(0, '127.0.0.1');
      await once(each, 'listening');
    }
    this.link = new PeerLink({
      peer: 'b',
      address: `127.0.0.1:${(this.proxy.address() as AddressInfo).port}`,
      token: this.token,
      pingAfterMs: PING_MS,
      pongTimeoutMs: PING_MS,
      self: A,
      onLog: messages => messages.forEach(each => this.received.add(each)),
      onUp: peer => this.ups.add(peer),
      onDown: peer => this.downs.add(peer),
    });
  }

  /** Open connections carry nothing any more; new ones work. */
  silence(): void {
    for (const [near, far] of this.pairs) {
      near.unpipe(far);
      far.unpipe(near);
      near.resume();
      far.resume();
    }
  }

  breakAll(): void {
    for (const [near, far] of this.pairs) {
      near.destroy();
      far.destroy();
    }
  }

  async close(): Promise<void> {
    await this.link?.close();
    this.peers.close();
    this.breakAll();
    this.proxy.close();
    this.server.close();
  }

  private relay(near: Socket): void {
    const {port} = this.server.address() as AddressInfo;
    const far = net.connect(port, '127.0.0.1');
    this.pairs.add([near, far]);
    near.pipe(far);
    far.pipe(near);
    for (const socket of [near, far]) socket.on('error', () => undefined);
  }
}

describe('PeerLink', () => {
  let fixture: Fixture;

  afterEach(() => fixture.close());

  async function opened(): Promise<LogOutbox> {
    fixture = new Fixture('right');
    await fixture.open();
    await fixture.ups.next();
    return fixture.streams.next();
  }

  it('delivers the messages of the log stream', async () => {
    const outbox = await opened();
    outbox.push(MESSAGE);
    expect(await fixture.received.next()).to.deep.equal(MESSAGE);
  });

  const faults = [
    {fault: 'a broken connection', apply: () => fixture.breakAll()},
    {fault: 'a silent connection', apply: () => fixture.silence()},
  ];
  for (const {fault, apply} of faults) {
    it(`opens the stream again after ${fault}`, async () => {
      const lost = await opened();
      apply();
      // Messages in between may be lost; later ones must arrive.
      lost.push({...MESSAGE, log: 'lost'});
      await fixture.downs.next();
      const outbox = await fixture.streams.next();
      outbox.push(MESSAGE);
      expect(await fixture.received.next()).to.deep.equal(MESSAGE);
    });
  }

  it('ends the earlier stream at the sender, which would keep it', async () => {
    const lost = await opened();
    const signal = must(fixture.signals.get(lost), 'no signal');
    fixture.silence();
    await fixture.streams.next();
    // Only the sender can end its side: the proxy passes no end.
    if (!signal.aborted) await once(signal, 'abort');
    expect(lost.push(MESSAGE)).to.equal(false);
  });

  it('opens a new stream when the sender ends one', async () => {
    const ended = await opened();
    ended.end();
    const outbox = await fixture.streams.next();
    outbox.push(MESSAGE);
    expect(await fixture.received.next()).to.deep.equal(MESSAGE);
  });

  it('does not come up with a wrong token', async () => {
    fixture = new Fixture('wrong');
    await fixture.open();
    expect(await fixture.refused.next()).to.equal('Bearer wrong');
    expect(await fixture.refused.next()).to.equal('Bearer wrong');
    expect(fixture.link?.isUp).to.equal(false);
  });
});
