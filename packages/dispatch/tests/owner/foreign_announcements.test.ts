/** Announcements that name an upstream which is not their sender. */
import {must} from '@mustardferry/model';
import {expect} from 'chai';

import type {Announcement} from '../../src/upstreams/upstream_types.js';
import {findOverlappingRuns} from '../fake_upstreams.js';
import {OwnerHarness, step} from '../owner_harness.js';

const RUN_MS = 900;

const IDS = ['u0', 'u1', 'u2', 'u3'];

/** Changes to an announcement of the upstream, by what the sender claims. */
const CLAIMS: readonly [claim: string, fields: Partial<Announcement>][] = [
  ['another id and an unknown pool', {id: 'other', pool: 'unknown'}],
  ['another id and the same pool', {id: 'other'}],
  ['another id that leaves', {id: 'other', leaving: true}],
  ['another id with a lower start', {id: 'other', startedAt: 0}],
  ['a later start and an unknown pool', {pool: 'unknown'}],
  ['a later start', {}],
  ['a later start, and that it leaves', {leaving: true}],
  ['the same start and an unknown pool', {startedAt: 1, pool: 'unknown'}],
  [
    'the same start, an unknown pool, and that it leaves',
    {startedAt: 1, pool: 'unknown', leaving: true},
  ],
  ['a later start at another address', {address: '10.0.0.99:1'}],
];

describe('Owner with an announcement of another sender', () => {
  let harness: OwnerHarness;
  let replies: Promise<unknown>[];

  beforeEach(async () => {
    harness = new OwnerHarness(4);
    for (const each of harness.upstreams) each.runMs = RUN_MS;
    await harness.setUp();
    replies = ['a', 'b', 'c', 'd'].map(id =>
      harness.submit(id, [step(1, {declaredMs: RUN_MS})]),
    );
    await harness.advanceClock(200);
    expect(harness.spans).to.have.length(4);
    expect(harness.upstream(0).runs.size).to.be.at.least(1);
  });

  afterEach(() => harness.close());

  async function announce(fields: Partial<Announcement>): Promise<void> {
    const announcement = harness.upstream(0).announcement(1_000);
    const startedAt = announcement.startedAt + 50_000;
    await harness.waitFor(
      harness.call({
        type: 'announce',
        upstream: {...announcement, startedAt, ...fields},
      }),
    );
  }

  for (const [claim, fields] of CLAIMS) {
    // Guards against the runs of an upstream that are taken for lost on the
    // word of another sender, and start elsewhere while they go on.
    it(`keeps the runs of an upstream if the sender claims ${claim}`, async () => {
      await announce(fields);
      await harness.waitFor(Promise.all(replies));
      expect(findOverlappingRuns(harness.spans)).to.deep.equal([]);
      expect(harness.spans).to.have.length(4);
    });

    // Guards against an upstream that is never used again.
    it(`goes on using the upstream if the sender claims ${claim}`, async () => {
      await announce(fields);
      await harness.waitFor(Promise.all(replies));
      for (const each of harness.upstreams.slice(1)) each.unhealthy = true;
      await harness.advanceClock(1_500);
      await harness.announce(harness.upstream(0));
      const reply = await harness.waitFor(
        harness.submit('next', [step(1, {declaredMs: RUN_MS})]),
      );
      expect(reply).to.deep.equal({type: 'ended', state: 'completed'});
    });
  }

  // Guards against an answer that is not used, as another one does not come.
  it('keeps the runs of an upstream beside one that does not answer', async () => {
    harness.upstream(1).delivery = () => 'lost';
    // The timeout of its holds has grown by now.
    await harness.advanceClock(600);
    const record = harness.state.upstreams.get('u0')?.record;
    await announce({address: harness.upstream(1).address});
    expect(harness.state.upstreams.get('u0')?.record).to.deep.equal(record);
  });

  // Guards against an upstream that the next owner takes for another one.
  it('does not keep an announcement that the upstream contradicts', async () => {
    const before = must(harness.state.upstreams.get('u0'), 'not registered');
    await announce({});
    await announce({id: 'other'});
    expect(harness.state.upstreams.get('u0')?.record).to.deep.equal(
      before.record,
    );
    expect([...harness.state.upstreams.keys()]).to.have.members(IDS);
  });

  it('requeues the runs at once when another upstream has taken the address', async () => {
    const upstream = harness.upstream(0);
    const lost = upstream.runs.size;
    const at = performance.now();
    upstream.restart();
    upstream.id = 'next';
    await harness.announce(upstream);
    await harness.advanceClock(30);
    const again = harness.spans.filter(({from}) => from >= at);
    expect(again).to.have.length(lost);
    const ids = [...harness.state.upstreams.keys()];
    expect(ids).to.have.members(['next', ...IDS.slice(1)]);
  });

  it('uses what an incarnation announces of itself after its restart', async () => {
    const upstream = harness.upstream(0);
    upstream.restart();
    upstream.labels = ['new'];
    await harness.announce(upstream);
    const record = harness.state.upstreams.get('u0')?.record;
    expect(record?.startedAt).to.equal(upstream.startedAt);
    expect(record?.labels).to.deep.equal(['new']);
    await harness.waitFor(Promise.all(replies));
    expect(findOverlappingRuns(harness.spans)).to.deep.equal([]);
  });

  it('accepts an announcement of an upstream that does not answer', async () => {
    const upstream = harness.upstream(0);
    upstream.restart();
    upstream.delivery = () => 'lost';
    await harness.announce(upstream);
    expect(harness.state.upstreams.get('u0')?.record.startedAt).to.equal(
      upstream.startedAt,
    );
    upstream.delivery = () => 'delivered';
    await harness.waitFor(Promise.all(replies));
    expect(findOverlappingRuns(harness.spans)).to.deep.equal([]);
  });
});
