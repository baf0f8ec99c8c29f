/** Restarted upstreams, resubmitted jobs and lost starts. */
import {expect} from 'chai';

import {findOverlappingRuns} from '../fake_upstreams.js';
import {OwnerHarness, step} from '../owner_harness.js';

describe('Owner with restarts and resubmissions', () => {
  let harness: OwnerHarness;

  async function setUp(upstreams: number): Promise<void> {
    harness = new OwnerHarness(upstreams);
    await harness.setUp();
  }

  afterEach(async () => {
    expect(findOverlappingRuns(harness.spans)).to.deep.equal([]);
    await harness.close();
  });

  it('sees the end of a run on a restarted upstream that is not announced yet', async () => {
    await setUp(1);
    await harness.waitFor(harness.submitDurable('a', [step(2)]));
    await harness.advanceClock(2_000);
    expect(await harness.getJobState('a')).to.equal('completed');
    const upstream = harness.upstream(0);
    upstream.restart();
    upstream.delivery = kind => (kind === 'start' ? 'answer-lost' : 'lost');
    const accepted = harness.submitDurable('b');
    await harness.advanceClock(150);
    upstream.delivery = () => 'delivered';
    await harness.waitFor(accepted);
    await harness.advanceClock(3_000);
    expect(await harness.getJobState('b')).to.equal('completed');
    expect(harness.spans.filter(({task}) => task === 'b/0/0')).to.have.length(
      1,
    );
  });

  // Guards against a start on an upstream that has joined another pool, after a
  // hold has found its restart before its announcement came.
  it('uses a restarted upstream for the pool that it announces', async () => {
    await setUp(1);
    const upstream = harness.upstream(0);
    void harness.submit('finds the restart');
    await harness.advanceClock(20);
    upstream.restart();
    await harness.advanceClock(300);
    const before = harness.spans.length;
    const announcement = {...upstream.announcement(1), pool: 'other'};
    await harness.waitFor(
      harness.call({type: 'announce', upstream: announcement}),
    );
    await harness.waitFor(harness.submit('next'));
    expect(harness.spans).to.have.length(before);
  });

  it('does not refuse the resubmission of an open job under overload', async () => {
    await setUp(0);
    const first = harness.submit('a');
    const others = Array.from({length: 5_000}, (_, i) =>
      harness.submit(`other${i}`),
    );
    const again = harness.submit('a');
    expect(await others.at(-1)).to.deep.equal({
      type: 'refused',
      reason: 'overloaded',
      retryAfterS: 1,
    });
    await harness.call({type: 'abandon', job: 'a'});
    expect(await again).to.deep.equal(await first);
  });

  it('ends a job in time although the first start of its task was lost', async () => {
    await setUp(2);
    let lost = 0;
    for (const each of harness.upstreams) {
      each.delivery = kind => {
        if (kind !== 'start' || lost > 0) return 'delivered';
        lost++;
        return 'lost';
      };
    }
    const from = performance.now();
    await harness.waitFor(harness.submit('a'));
    // The objective: twice the declared 60 ms, plus the queue's 60 ms.
    expect(performance.now() - from).to.be.at.most(180);
    expect(lost).to.equal(1);
  });

  // Guards against a count of waiting jobs that drops to 0 with each change of
  // the owner.
  it('counts recovered jobs of which no task has started as pending', async () => {
    await setUp(1);
    harness.upstream(0).runMs = 20_000;
    const submitted = ['a', 'b', 'c', 'd', 'e'].map(id =>
      harness.submitDurable(id),
    );
    await harness.waitFor(Promise.all(submitted));
    const readPending = () =>
      harness.call({type: 'state', host: 'host', path: '/q/'});
    const before = await readPending();
    expect(before).to.deep.equal({type: 'pending', count: 3});
    harness.kill();
    await harness.startOwner();
    await harness.advanceClock(1_000);
    expect(await readPending()).to.deep.equal(before);
    expect(await harness.getJobState('a')).to.equal('running');
    expect(await harness.getJobState('e')).to.equal('queued');
  });
});
