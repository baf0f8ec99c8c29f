import net from 'node:net';

import {expect} from 'chai';

import {Relay} from '../../src/relay/relay.js';

/** A client that collects what it receives. */
class Client {
  private text = '';
  private changed: () => void = () => undefined;
  closed = false;
  readonly socket: net.Socket;

  constructor(port: number) {
    this.socket = net.connect(port, '127.0.0.1');
    this.socket.on('data', piece => {
      this.text += piece.toString();
      this.changed();
    });
    this.socket.on('close', () => {
      this.closed = true;
      this.changed();
    });
    this.socket.on('error', () => undefined);
  }

  get received(): string {
    return this.text;
  }

  async until(done: () => boolean): Promise<void> {
    while (!done()) {
      await new Promise<void>(resolve => (this.changed = resolve));
    }
  }

  async echo(text: string): Promise<void> {
    const wanted = this.text.length + text.length;
    this.socket.write(text);
    await this.until(() => this.text.length >= wanted);
  }
}

describe('Relay', () => {
  let relay: Relay;
  let server: net.Server;
  let port: number;
  const clients: Client[] = [];

  beforeEach(async () => {
    relay = new Relay();
    server = net.createServer(socket => {
      socket.on('error', () => undefined);
      socket.on('data', piece => socket.write(piece));
    });
    await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
    const target = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    const link = {from: 'a', to: 'b', target, delayMs: 1};
    [port = 0] = await relay.open([link]);
  });

  afterEach(async () => {
    for (const client of clients.splice(0)) client.socket.destroy();
    await relay.close();
    server.close();
  });

  const connect = () => {
    const client = new Client(port);
    clients.push(client);
    return client;
  };

  it('carries bytes both ways and counts them', async () => {
    const client = connect();
    await client.echo('hello');
    expect(client.received).to.equal('hello');
    expect(relay.counts()[0]).to.include({bytes: 10, connections: 1});
  });

  for (const [from, to] of [
    ['a', 'b'],
    ['b', 'a'],
  ] as const) {
    it(`holds bytes of a cut ${from}>${to} and delivers them after the repair`, async () => {
      const client = connect();
      await client.echo('1');
      relay.inject({fault: 'cut', from, to});
      client.socket.write('23');
      // The other link shows that the relay went on in the meantime.
      await new Promise(resolve => setImmediate(resolve));
      expect(client.received).to.equal('1');
      expect(client.closed).to.equal(false);
      relay.inject({fault: 'heal'});
      await client.until(() => client.received.length === 3);
      expect(client.received).to.equal('123');
    });
  }

  it('keeps silenced connections silent after a repair while new ones work', async () => {
    const old = connect();
    await old.echo('1');
    relay.inject({fault: 'silence', from: 'a', to: 'b'});
    old.socket.write('2');
    relay.inject({fault: 'heal'});
    const fresh = connect();
    await fresh.echo('3');
    expect(old.received).to.equal('1');
    expect(old.closed).to.equal(false);
  });

  it('passes on the end of a target, so that a crash is seen', async () => {
    const client = connect();
    await client.echo('1');
    const closed = client.until(() => client.closed);
    server.close();
    for (const each of [client.socket]) each.end();
    await closed;
    expect(client.closed).to.equal(true);
  });
});
