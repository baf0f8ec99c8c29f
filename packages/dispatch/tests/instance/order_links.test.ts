/** Links for orders, which are separate from the link of the log. */
import {createServer, type Server, type Socket} from 'node:net';

import {FrameServer} from '@mustardferry/links';
import {createLogger} from '@mustardferry/runtime';
import {expect} from 'chai';

import {OrderLinks} from '../../src/instance/order_links.js';
import type {PeerMessage} from '../../src/messages/peer_messages.js';

const UPSTREAM_COUNT = 64;

/** Time in ms within which an undelayed order is answered. */
const ANSWER_LIMIT_MS = 150;

/** Forwards connections to a port; tests can break single ones. */
class TestProxy {
  readonly sockets: Socket[] = [];
  private readonly server: Server;

  constructor(port: number) {
    this.server = createServer(socket => {
      const target = new (socket.constructor as typeof Socket)();
      target.connect(port, '127.0.0.1');
      socket.pipe(target).pipe(socket);
      for (const each of [socket, target]) each.on('error', () => undefined);
      socket.on('close', () => target.destroy());
      target.on('close', () => socket.destroy());
      this.sockets.push(socket);
    });
  }

  async open(): Promise<string> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    const address = this.server.address();
    if (address === null || typeof address === 'string') throw new Error();
    return `127.0.0.1:${address.port}`;
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }
}

describe('OrderLinks', () => {
  let server: FrameServer<PeerMessage>;
  let proxy: TestProxy;
  let links: OrderLinks;
  let carrier: string;
  let sentOnLogLink: number;
  let answered: Set<number>;
  let disconnected: string[];

  beforeEach(async () => {
    server = await FrameServer.open<PeerMessage>({
      host: '127.0.0.1',
      port: 0,
      onOpen: () => undefined,
      onMessage: (channel, message) => {
        if (message.type !== 'order') return;
        const outcome = {type: 'unanswered', cause: 'test'} as const;
        channel.send({type: 'order-outcome', id: message.id, outcome});
      },
      onClose: () => undefined,
      onMalformed: () => undefined,
    });
    proxy = new TestProxy(server.port);
    carrier = await proxy.open();
    sentOnLogLink = 0;
    answered = new Set();
    disconnected = [];
    links = new OrderLinks({
      sendOnLogLink: () => ++sentOnLogLink > 0,
      onOutcome: (_carrier, {id}) => answered.add(id),
      onDisconnected: member => disconnected.push(member),
      logger: createLogger('silent'),
    });
  });

  afterEach(() => {
    links.close();
    proxy.close();
    server.close();
  });

  /** Sends an order to each upstream; returns how many are answered in time. */
  async function countAnswersInTime(): Promise<number> {
    answered.clear();
    for (let i = 0; i < UPSTREAM_COUNT; i++) {
      links.send(carrier, {
        type: 'order',
        id: i,
        to: {
          id: `upstream-${i}`,
          address: '10.0.0.1:1',
          startedAt: 1,
          dataCentre: 'a',
        },
        content: {
          kind: 'stop',
          order: {
            token: 1,
            timeoutMs: 200,
            task: {job: 'a', step: 0, index: 0},
            run: 1,
          },
        },
      });
    }
    await sleep(ANSWER_LIMIT_MS);
    return answered.size;
  }

  it('sends orders on the log link while the order link opens, so that none waits', async () => {
    await countAnswersInTime();
    expect(sentOnLogLink).to.equal(UPSTREAM_COUNT);
    expect(await countAnswersInTime()).to.equal(UPSTREAM_COUNT);
    expect(sentOnLogLink).to.equal(UPSTREAM_COUNT);
  });

  it('reports a closed connection, whose orders may still arrive', async () => {
    await countAnswersInTime();
    proxy.sockets[0]?.destroy();
    await sleep(ANSWER_LIMIT_MS);
    expect(disconnected).to.deep.equal([carrier]);
  });

  it('sends orders on the log link while a closed order link reopens', async () => {
    await countAnswersInTime();
    links.lost(carrier);
    await countAnswersInTime();
    expect(sentOnLogLink).to.equal(2 * UPSTREAM_COUNT);
    expect(await countAnswersInTime()).to.equal(UPSTREAM_COUNT);
  });
});

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
