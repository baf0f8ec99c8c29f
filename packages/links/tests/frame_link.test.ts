/** Framed connections: batches, breaks, silence and malformed data. */
import {once} from 'node:events';
import {connect, createServer, type Server, type Socket} from 'node:net';

import {expect} from 'chai';
import {WebSocket} from 'ws';

import type {FrameChannel} from '../src/frame_channel.js';
import {FrameLink} from '../src/frame_link.js';
import {FRAME_PATH} from '../src/frame_options.js';
import {FrameServer} from '../src/frame_server.js';
import {PEER_ENCODER} from '../src/peer_encoder.js';

/** Relays one port to another, and can stop to without closing anything. */
class Relay {
  readonly sockets: Socket[] = [];
  silent = false;

  private constructor(private readonly server: Server) {}

  static async open(target: number): Promise<Relay> {
    const server = createServer();
    const relay = new Relay(server);
    server.on('connection', near => {
      const far = connect(target, '127.0.0.1');
      relay.join(near, far);
      relay.join(far, near);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    return relay;
  }

  get address(): string {
    const address = this.server.address();
    return `127.0.0.1:${typeof address === 'object' ? address?.port : 0}`;
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  private join(from: Socket, to: Socket): void {
    this.sockets.push(from);
    const wasSilent = () => this.silent;
    let mute = false;
    from.on('data', data => {
      mute ||= wasSilent();
      if (!mute) to.write(data);
    });
    from.on('error', () => to.destroy());
    from.on('close', () => to.destroy());
  }
}

describe('framed links', () => {
  let server: FrameServer<unknown>;
  let channels: FrameChannel<unknown>[];
  let received: unknown[];
  let malformed: unknown[];
  const cleanUp: (() => void)[] = [];

  beforeEach(async () => {
    channels = [];
    received = [];
    malformed = [];
    server = await FrameServer.open({
      host: '127.0.0.1',
      port: 0,
      onOpen: channel => channels.push(channel),
      onMessage: (_channel, message) => received.push(message),
      onClose: channel => channels.splice(channels.indexOf(channel), 1),
      onMalformed: err => malformed.push(err),
    });
    cleanUp.push(() => server.close());
  });

  afterEach(() => {
    for (const each of cleanUp.splice(0).reverse()) each();
  });

  interface Seen {
    readonly link: FrameLink<unknown>;
    readonly messages: unknown[];
    ups: number;
    downs: number;
  }

  function open(address = `127.0.0.1:${server.port}`): Seen {
    const messages: unknown[] = [];
    const seen: Seen = {
      messages,
      ups: 0,
      downs: 0,
      link: new FrameLink<unknown>({
        address,
        onMessage: message => messages.push(message),
        onUp: () => seen.ups++,
        onDown: () => seen.downs++,
        onMalformed: err => malformed.push(err),
      }),
    };
    cleanUp.push(() => seen.link.close());
    return seen;
  }

  async function until(condition: () => boolean): Promise<void> {
    while (!condition()) await new Promise(resolve => setTimeout(resolve, 5));
  }

  it('carry messages both ways in order', async () => {
    const seen = open();
    await until(() => seen.ups === 1 && channels.length === 1);
    for (let i = 0; i < 100; i++) seen.link.send({i, bytes: Buffer.from('x')});
    channels[0]?.send('back');
    await until(() => received.length === 100 && seen.messages.length === 1);
    const order = received.map(each => (each as {i: number}).i);
    expect(order).to.deep.equal([...Array(100).keys()]);
  });

  it('tell that a message can not be sent before the connection is up', () => {
    const seen = open();
    expect(seen.link.send('early')).to.equal(false);
  });

  it('come back after the other end closed the connection', async () => {
    const seen = open();
    await until(() => channels.length === 1);
    channels[0]?.close();
    await until(() => seen.ups === 2);
    expect(seen.downs).to.equal(1);
    seen.link.send('again');
    await until(() => received.length === 1);
  });

  // Guards against one message that takes a process down.
  it('report a frame that is not a list of messages, and end', async () => {
    const socket = new WebSocket(`ws://127.0.0.1:${server.port}${FRAME_PATH}`);
    cleanUp.push(() => socket.terminate());
    await once(socket, 'open');
    socket.send(PEER_ENCODER.encode(5));
    await once(socket, 'close');
    expect(malformed).to.have.length(1);
  });

  it('handle the messages after one whose handler fails', async () => {
    const seen = open();
    const link = new FrameLink<unknown>({
      address: `127.0.0.1:${server.port}`,
      onMessage: message => {
        if (message === 'bad') throw new Error('not handled');
        seen.messages.push(message);
      },
      onUp: () => undefined,
      onDown: () => undefined,
      onMalformed: err => malformed.push(err),
    });
    cleanUp.push(() => link.close());
    await until(() => link.isUp && channels.length === 2);
    for (const message of ['bad', 'good'])
      for (const channel of channels) channel.send(message);
    await until(() => seen.messages.filter(m => m === 'good').length === 2);
    expect(malformed).to.have.length(1);
  });

  it('replace a connection that went silent without a reset', async () => {
    const relay = await Relay.open(server.port);
    cleanUp.push(() => relay.close());
    const seen = open(relay.address);
    await until(() => seen.ups === 1);
    relay.silent = true;
    await until(() => seen.downs === 1);
    relay.silent = false;
    await until(() => seen.ups === 2);
    seen.link.send('new');
    await until(() => received.includes('new'));
  });

  it('end a connection that carries malformed data, and no other', async () => {
    const seen = open();
    await until(() => seen.ups === 1);
    const address = `ws://127.0.0.1:${server.port}${FRAME_PATH}`;
    const foreign = new WebSocket(address);
    await once(foreign, 'open');
    foreign.send(Buffer.from([0xc1, 0xff]));
    await once(foreign, 'close');
    expect(malformed).to.have.length(1);
    seen.link.send('fine');
    await until(() => received.includes('fine'));
    expect(seen.downs).to.equal(0);
  });
});
