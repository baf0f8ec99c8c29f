/**
 * Measures the path of log messages on loopback: the round trip of one message
 * and its reply, messages a second, and the replication of one entry to a
 * group of three members. With the argument `calls`, each batch is a call of
 * its own from a `setImmediate`, as before streams carried them.
 */
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';

import {
  type LogMessage,
  LogTransport,
  type MemberId,
  ReplicatedLog,
  StateMachine,
} from '@mustardferry/coordination';
import {must} from '@mustardferry/model';
import {build, type Histogram} from 'hdr-histogram-js';

import {LogOutbox, type StreamConnection} from '../log_outbox.js';
import {PeerLink} from '../peer_link.js';
import {
  type InstanceStatus,
  type LogEnvelope,
  type PeerIdentity,
  PeerService,
} from '../peer_messages.js';
import {PeerServer} from '../peer_server.js';

const ROUND_TRIPS = 3_000;
const PROPOSALS = 2_000;
const WINDOW = 500;
const CALL_TIMEOUT_MS = 2_000;

type Carrier = 'streams' | 'calls';

/** One end, with links to the others. */
class Node extends PeerService {
  readonly id: PeerIdentity;
  onMessage: (envelope: LogEnvelope) => void = () => undefined;
  private readonly server: Server = createServer();
  private readonly peers = new PeerServer({
    server: this.server,
    service: this,
    authorize: () => true,
  });
  private readonly links = new Map<string, PeerLink>();
  private readonly outboxes = new Map<string, LogOutbox>();
  private readonly batches = new Map<string, LogEnvelope[]>();

  constructor(
    name: string,
    private readonly carrier: Carrier,
  ) {
    super();
    this.id = {name, incarnation: `00000000-0000-0000-0000-00000000000${name}`};
  }

  async listen(): Promise<string> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  connect(peer: string, address: string): Promise<void> {
    return new Promise(resolve => {
      const link = new PeerLink({
        peer,
        address,
        token: undefined,
        pingAfterMs: 1_000,
        pongTimeoutMs: 1_000,
        self: this.id,
        onLog: messages => messages.forEach(each => this.onMessage(each)),
        onUp: () => resolve(),
        onDown: () => undefined,
      });
      this.links.set(peer, link);
    });
  }

  send(envelope: LogEnvelope): void {
    const {name} = envelope.to;
    if (this.carrier === 'streams') {
      this.outboxes.get(name)?.push(envelope);
      return;
    }
    const waiting = this.batches.get(name);
    if (waiting !== undefined) {
      waiting.push(envelope);
      return;
    }
    const batch = [envelope];
    this.batches.set(name, batch);
    setImmediate(() => {
      this.batches.delete(name);
      void must(this.links.get(name), 'no link')
        .call(CALL_TIMEOUT_MS, client =>
          client.proposeControl.mutate({command: batch}),
        )
        .catch(() => undefined);
    });
  }

  override logStream(to: PeerIdentity, connection: StreamConnection) {
    const outbox = new LogOutbox(connection);
    this.outboxes.set(to.name, outbox);
    return outbox;
  }

  override async proposeControl(command: unknown) {
    for (const each of command as LogEnvelope[]) this.onMessage(each);
    return {type: 'result', result: undefined} as const;
  }

  override hello(status: InstanceStatus): InstanceStatus {
    return status;
  }

  override submitJob = unused;
  override getJob = unused;
  override cancelJob = unused;
  override explainJob = unused;
  override upstreamMessage = unused;
  override slotReport = unused;
  override fetchControl = unused;

  async close(): Promise<void> {
    for (const link of this.links.values()) await link.close();
    this.peers.close();
    this.server.close();
  }
}

function unused(): never {
  throw new Error('not part of the benchmark');
}

async function createNodes(count: number, carrier: Carrier): Promise<Node[]> {
  const nodes = Array.from(
    {length: count},
    (_, index) => new Node(String(index), carrier),
  );
  const addresses = await Promise.all(nodes.map(node => node.listen()));
  for (const node of nodes) {
    for (const [index, address] of addresses.entries()) {
      const peer = String(index);
      if (peer !== node.id.name) await node.connect(peer, address);
    }
  }
  // The streams open right after the connections.
  await new Promise(resolve => setTimeout(resolve, 200));
  return nodes;
}

function report(label: string, histogram: Histogram, elapsedMs: number): void {
  const us = (part: number) => histogram.getValueAtPercentile(part);
  const perS = Math.round((histogram.totalCount * 1_000) / elapsedMs);
  console.log(`${label}: p50 ${us(50)} us, p99 ${us(99)} us, ${perS}/s`);
}

function message(index: number, to: string): LogMessage {
  const prevTerm = 1;
  const prevIndex = index;
  const rest = {entries: [], commit: index, round: index};
  return {type: 'append', to, term: 1, prevIndex, prevTerm, ...rest};
}

function roundOf(message: unknown): number {
  return (message as {readonly round: number}).round;
}

async function roundTrips(
  carrier: Carrier,
  window: number,
  count: number,
): Promise<void> {
  const nodes = await createNodes(2, carrier);
  const [a, b] = nodes;
  if (a === undefined || b === undefined) throw new Error('no nodes');
  const envelope = (from: Node, to: Node, index: number): LogEnvelope => ({
    log: 'dc1.0@1',
    from: from.id,
    to: to.id,
    message: message(index, to.id.incarnation),
  });
  const histogram = build();
  const sentAt: number[] = [];
  const sendNext = () => {
    const index = sentAt.push(performance.now()) - 1;
    a.send(envelope(a, b, index));
  };
  b.onMessage = ({message}) => b.send(envelope(b, a, roundOf(message)));
  const startedAt = performance.now();
  await new Promise<void>(resolve => {
    a.onMessage = ({message}) => {
      const took = performance.now() - (sentAt[roundOf(message)] ?? 0);
      histogram.recordValue(Math.round(took * 1_000));
      if (histogram.totalCount === count) resolve();
      else if (sentAt.length < count) sendNext();
    };
    for (let n = 0; n < window; n += 1) sendNext();
  });
  const elapsed = performance.now() - startedAt;
  report(`round trip, ${window} at a time`, histogram, elapsed);
  for (const node of nodes) await node.close();
}

class Counter extends StateMachine<string, number> {
  private count = 0;

  override apply(): number {
    return (this.count += 1);
  }

  override snapshot(): Uint8Array {
    return Buffer.from(String(this.count));
  }

  override restore(bytes: Uint8Array): void {
    this.count = Number(Buffer.from(bytes).toString());
  }
}

class NodeTransport extends LogTransport<string> {
  constructor(private readonly node: Node) {
    super();
  }

  override send(to: MemberId, sent: LogMessage<string>): void {
    const {node} = this;
    node.send({log: 'dc1.0@1', from: node.id, to, message: sent});
  }
}

async function openLogs(nodes: readonly Node[]) {
  const voters = nodes.map(node => node.id);
  return Promise.all(
    nodes.map(async node => {
      const log = await ReplicatedLog.open<string, number>({
        self: node.id,
        voters,
        mode: 'in-memory',
        storage: null,
        transport: new NodeTransport(node),
        machine: new Counter(),
      });
      node.onMessage = ({from, message}) =>
        log.receive(from, message as LogMessage<string>);
      return log;
    }),
  );
}

async function replications(carrier: Carrier): Promise<void> {
  const nodes = await createNodes(3, carrier);
  const logs = await openLogs(nodes);
  let leader = logs.find(log => log.status().role === 'leader');
  while (leader === undefined) {
    await new Promise(resolve => setTimeout(resolve, 50));
    leader = logs.find(log => log.status().role === 'leader');
  }
  const histogram = build();
  const startedAt = performance.now();
  for (let n = 0; n < PROPOSALS; n += 1) {
    const proposedAt = performance.now();
    await leader.propose('x'.repeat(100));
    const took = performance.now() - proposedAt;
    histogram.recordValue(Math.round(took * 1_000));
  }
  report('one replication', histogram, performance.now() - startedAt);
  for (const log of logs) await log.close();
  for (const node of nodes) await node.close();
}

const carrier = process.argv[2] === 'calls' ? 'calls' : 'streams';
console.log(`log messages over ${carrier}`);
await roundTrips(carrier, 1, ROUND_TRIPS);
await roundTrips(carrier, WINDOW, ROUND_TRIPS * 20);
await replications(carrier);
process.exit(0);
