/** Outcomes of calls through a client while the leader changes. */
import {type FrameChannel, FrameServer} from '@mustardferry/links';
import {createLogger} from '@mustardferry/runtime';
import {expect} from 'chai';

import {LeaderClient} from '../../src/instance/leader_client.js';
import {MAX_ELECTION_MS} from '../../src/instance/log_timing.js';
import type {Call, GroupView, Reply} from '../../src/messages/calls.js';
import type {PeerMessage} from '../../src/messages/peer_messages.js';
import {MIN_RUN_TIME_FRACTION} from '../../src/owner/ready_queue.js';
import {sleep} from '../../src/owner/waiting.js';
import {step} from '../owner_harness.js';

/** Time in ms within which a call counts as failed at once. */
const AT_ONCE_MS = 100;

type CallHandler = (call: Call) => Reply | 'silence' | 'break';

const CALL: Call = {type: 'abandon', job: 'a'};
const REFUSED: Reply = {type: 'refused', reason: 'not-in-time'};
const NO_JOB: Reply = {type: 'no-job'};

function createSubmitCall(declaredMs: number): Call {
  const steps = [step(1, {declaredMs: declaredMs / MIN_RUN_TIME_FRACTION})];
  const job = {id: 'a', payload: '', steps, durable: false};
  return {type: 'submit', host: 'h', path: '/a', patienceMs: 10_000, job};
}

class TestMember {
  answer: CallHandler = () => NO_JOB;
  calls = 0;
  private server!: FrameServer<PeerMessage>;
  private view: GroupView | null = null;

  async open(): Promise<void> {
    this.server = await FrameServer.open<PeerMessage>({
      host: '127.0.0.1',
      port: 0,
      onOpen: channel => {
        if (this.view) channel.send({type: 'view', view: this.view});
      },
      onMessage: (channel, message) => this.receive(channel, message),
      onClose: () => undefined,
      onMalformed: () => undefined,
    });
  }

  get address(): string {
    return `127.0.0.1:${this.server.port}`;
  }

  broadcastView(view: GroupView): void {
    this.view = view;
    this.server.broadcast({type: 'view', view});
  }

  close(): void {
    this.server.close();
  }

  private receive(
    channel: FrameChannel<PeerMessage>,
    message: PeerMessage,
  ): void {
    if (message.type !== 'call') return;
    this.calls++;
    const reply = this.answer(message.call);
    if (reply === 'break') channel.close();
    else if (reply !== 'silence') {
      channel.send({type: 'reply', id: message.id, reply});
    }
  }
}

describe('LeaderClient', () => {
  let members: TestMember[];
  let client: LeaderClient;

  beforeEach(async () => {
    members = [new TestMember(), new TestMember(), new TestMember()];
    for (const each of members) await each.open();
    client = new LeaderClient({
      self: {
        type: 'hello',
        role: 'gateway',
        address: 'g',
        dataCentre: 'a',
        incarnation: '',
      },
      seeds: [getMember(0).address],
      logger: createLogger('silent'),
    });
  });

  afterEach(() => {
    client.close();
    for (const each of members) each.close();
  });

  function getMember(index: number): TestMember {
    const testMember = members[index];
    if (!testMember) throw new Error(`no member ${index}`);
    return testMember;
  }

  function createView(term: number, leader: number | null): GroupView {
    const addresses = members.map(({address}) => address);
    return {
      term,
      leader: leader === null ? null : (addresses[leader] ?? null),
      voters: addresses,
      firstVoters: addresses,
      members: addresses,
    };
  }

  it('finds the leader through a member that does not lead', async () => {
    getMember(0).broadcastView(createView(1, 2));
    const outcome = await client.call(CALL, 10_000);
    expect(outcome).to.deep.equal({type: 'replied', reply: NO_JOB});
    expect(getMember(2).calls).to.equal(1);
  });

  // Guards against a change that is sent again after its caller has moved on.
  it('starts no attempt once the call is not wanted', async () => {
    getMember(0).broadcastView(createView(1, 2));
    let isWanted = true;
    getMember(2).answer = () => {
      isWanted = false;
      return {type: 'not-leader'};
    };
    const outcome = await client.call(CALL, 10_000, () => isWanted);
    expect(outcome).to.include({type: 'unanswered', obstacle: 'not-leader'});
    expect(getMember(2).calls).to.equal(1);
  });

  it('retries a call at the next leader when the connection breaks', async () => {
    getMember(0).broadcastView(createView(1, 1));
    getMember(1).answer = () => {
      getMember(0).broadcastView(createView(2, 2));
      return 'break';
    };
    const outcome = await client.call(CALL, 10_000);
    expect(outcome).to.deep.equal({type: 'replied', reply: NO_JOB});
    expect(getMember(2).calls).to.equal(1);
  });

  // Guards against calls stuck on a paused leader whose connections stay open.
  it('retries a call at the next leader when the first one does not answer', async () => {
    getMember(0).broadcastView(createView(1, 1));
    getMember(1).answer = () => {
      getMember(0).broadcastView(createView(2, 2));
      return 'silence';
    };
    const outcome = await client.call(CALL, 10_000);
    expect(outcome).to.deep.equal({type: 'replied', reply: NO_JOB});
    expect(getMember(2).calls).to.equal(1);
  });

  // Guards against reporting a job as refused that a killed leader had run.
  it('does not report a refusal after an earlier leader may have run the job', async () => {
    getMember(0).broadcastView(createView(1, 1));
    getMember(1).answer = () => {
      getMember(0).broadcastView(createView(2, 2));
      return 'break';
    };
    getMember(2).answer = () => REFUSED;
    const outcome = await client.call(CALL, 10_000);
    expect(outcome).to.deep.equal({
      type: 'unanswered',
      mayHaveRun: true,
      obstacle: 'refused',
    });
  });

  it('reports a refusal when the members called before were not the leader', async () => {
    getMember(0).broadcastView(createView(1, 1));
    getMember(1).answer = () => {
      getMember(0).broadcastView(createView(2, 2));
      return {type: 'not-leader'};
    };
    getMember(2).answer = () => REFUSED;
    const outcome = await client.call(CALL, 10_000);
    expect(outcome).to.deep.equal({type: 'replied', reply: REFUSED});
  });

  it('reports that a call has not run when no leader was found', async () => {
    getMember(0).broadcastView(createView(1, null));
    const outcome = await client.call(CALL, 50);
    expect(outcome).to.deep.equal({
      type: 'unanswered',
      mayHaveRun: false,
      obstacle: 'no-leader',
    });
  });

  // Replays callers at full rate while a group is without a leader: each was
  // held for its whole deadline.
  it('fails a job at once that would end too late after an election', async () => {
    getMember(0).broadcastView(createView(1, null));
    const outcome = await client.call(createSubmitCall(9_800), 10_000);
    expect(outcome).to.deep.equal({
      type: 'unanswered',
      mayHaveRun: false,
      obstacle: 'no-leader',
    });
  });

  it('keeps a short job for the next leader', async () => {
    getMember(0).broadcastView(createView(1, null));
    const call = client.call(createSubmitCall(100), 10_000);
    getMember(0).broadcastView(createView(2, 1));
    expect(await call).to.deep.equal({type: 'replied', reply: NO_JOB});
  });

  it('reports that a call may have run when its leader does not answer', async () => {
    getMember(0).broadcastView(createView(1, 1));
    getMember(1).answer = () => 'silence';
    const outcome = await client.call(CALL, 300);
    expect(outcome).to.deep.equal({
      type: 'unanswered',
      mayHaveRun: true,
      obstacle: 'timeout',
    });
  });

  it('does not return to the leader of an earlier term', async () => {
    getMember(0).broadcastView(createView(5, 1));
    await client.call(CALL, 10_000);
    getMember(1).broadcastView(createView(4, 2));
    await client.call(CALL, 10_000);
    expect(getMember(2).calls).to.equal(0);
  });

  it('fails a call without waiting while too few voters are connected', async () => {
    getMember(0).broadcastView(createView(1, 0));
    await client.call(CALL, 10_000);
    for (const each of members) each.close();
    const outcome = await client.call(CALL, 600_000);
    expect(outcome.type).to.equal('unanswered');
    expect(client.isIsolated).to.equal(true);
  });

  // Guards against callers that are held for their whole deadline while the
  // leader is in a data centre that cannot be reached from here; the others
  // follow it, so no next leader is to be expected.
  it('fails a job at once while the others follow a leader that is unreachable', async () => {
    getMember(1).close();
    for (const index of [0, 2]) {
      getMember(index).answer = () => ({type: 'not-leader'});
      getMember(index).broadcastView(createView(1, 1));
    }
    await sleep(2 * MAX_ELECTION_MS + AT_ONCE_MS);
    expect(client.view?.leader).to.equal(getMember(1).address);
    expect(client.isIsolated).to.equal(false);
    const startedAt = performance.now();
    const outcome = await client.call(createSubmitCall(60), 1_500);
    expect(outcome).to.deep.equal({
      type: 'unanswered',
      mayHaveRun: false,
      obstacle: 'no-leader',
    });
    expect(performance.now() - startedAt).to.be.below(AT_ONCE_MS);
  });
});
