/** Connections for orders: a lost packet must not delay all of them. */
import {createServer, type Server, type Socket} from 'node:net';

import {FrameServer} from '@mustardferry/links';
import {createLogger} from '@mustardferry/runtime';
import {expect} from 'chai';

import {OrderLinks} from '../../src/instance/order_links.js';
import type {PeerMessage} from '../../src/messages/peer_messages.js';

/** Orders that one lost packet may delay, as a share of all. */
const MAX_DELAYED_SHARE = 0.5;

const UPSTREAMS = 64;

/** Time in ms in which an order that waits for nothing is answered. */
const PROMPT_MS = 150;

/** Forwards connections to a port, and can hold up single ones. */
class StallingProxy {
  readonly sockets: Socket[] = [];
  private readonly server: Server;

  constructor(port: number) {
    this.server = createServer(socket => {
      const onward = new (socket.constructor as typeof Socket)();
      onward.connect(port, '127.0.0.1');
      socket.pipe(onward).pipe(socket);
      for (const each of [socket, onward]) each.on('error', () => undefined);
      socket.on('close', () => onward.destroy());
      onward.on('close', () => socket.destroy());
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
  let proxy: StallingProxy;
  let links: OrderLinks;
  let carrier: string;
  let beside: number;
  let answered: Set<number>;
  let lost: ((upstream: string) => boolean)[];

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
    proxy = new StallingProxy(server.port);
    carrier = await proxy.open();
    beside = 0;
    answered = new Set();
    lost = [];
    links = new OrderLinks({
      sendBeside: () => ++beside > 0,
      onOutcome: (_carrier, {id}) => answered.add(id),
      onLost: (_carrier, concerns) => lost.push(concerns),
      logger: createLogger('silent'),
    });
  });

  afterEach(() => {
    links.close();
    proxy.close();
    server.close();
  });

  /** Gives an order to each upstream; returns how many are answered soon. */
  async function promptAnswers(): Promise<number> {
    answered.clear();
    for (let i = 0; i < UPSTREAMS; i++) {
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
    await sleep(PROMPT_MS);
    return answered.size;
  }

  it('sends orders beside while its connections open, so that none waits', async () => {
    await promptAnswers();
    expect(beside).to.equal(UPSTREAMS);
    expect(await promptAnswers()).to.equal(UPSTREAMS);
    expect(beside).to.equal(UPSTREAMS);
  });

  it('answers most orders while one connection waits for a packet', async () => {
    await promptAnswers();
    proxy.sockets[0]?.pause();
    const prompt = await promptAnswers();
    expect(prompt).to.be.lessThan(UPSTREAMS);
    expect(prompt).to.be.at.least(UPSTREAMS * (1 - MAX_DELAYED_SHARE));
  });

  it('reports the upstreams of the connection that ended, and of no other', async () => {
    await promptAnswers();
    proxy.sockets[0]?.destroy();
    await sleep(PROMPT_MS);
    expect(lost).to.have.length(1);
    const ids = Array.from({length: UPSTREAMS}, (_, i) => `upstream-${i}`);
    const concerned = ids.filter(id => lost[0]?.(id));
    expect(concerned.length).to.be.within(1, UPSTREAMS * MAX_DELAYED_SHARE);
  });
});

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
