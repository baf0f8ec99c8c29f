import {expect} from 'chai';

import {DispatchState} from '../../src/jobs/dispatch_state.js';
import {findOverlappingRuns, type RunSpan} from '../fake_upstreams.js';
import {OwnerHarness, step} from '../owner_harness.js';

/**
 * Replays announcements that a cut link has delayed and that arrive after the
 * upstream has told that it leaves, or has left.
 */
describe('Owner after an upstream has left', () => {
  let harness: OwnerHarness;

  beforeEach(async () => {
    harness = new OwnerHarness(2);
    await harness.setUp();
  });

  afterEach(() => harness.close());

  /** Delivers the first announcement of the upstream again. */
  async function deliverDelayed(): Promise<void> {
    const announcement = harness.upstream(0).announcement(1);
    await harness.waitFor(
      harness.call({type: 'announce', upstream: announcement}),
    );
  }

  /** Returns whether any of the next tasks starts on the upstream. */
  async function isUsed(): Promise<boolean> {
    const before = harness.spans.length;
    const replies = Array.from({length: 4}, (_, i) =>
      harness.submit(`job${before}-${i}`, [step(1)]),
    );
    await harness.waitFor(Promise.all(replies));
    return harness.spans
      .slice(before)
      .some(({upstream}) => upstream === harness.upstream(0).id);
  }

  async function changeOwner(): Promise<void> {
    harness.kill();
    await harness.startOwner();
    await harness.advanceClock(1_000);
  }

  // Guards against a server that is in use again after a restart.
  it('does not use one that is leaving, after a change of the owner', async () => {
    await harness.announce(harness.upstream(0), true);
    await changeOwner();
    await deliverDelayed();
    expect(await isUsed()).to.equal(false);
  });

  for (const isRestarted of [false, true]) {
    it(`does not use one that has left (change of the owner: ${isRestarted})`, async () => {
      await harness.announce(harness.upstream(0), true);
      await harness.waitFor(harness.call({type: 'leave', id: 'u0'}));
      await harness.advanceClock(2_000);
      if (isRestarted) await changeOwner();
      await deliverDelayed();
      await harness.advanceClock(100);
      expect(await isUsed()).to.equal(false);
    });
  }

  // Guards against an upstream that is barred for good by a deregistration of
  // its earlier incarnation, which arrives after it has started again.
  for (const isRestarted of [false, true]) {
    it(`uses one again that announces itself after a late deregistration (change of the owner: ${isRestarted})`, async () => {
      harness.upstream(0).restart();
      await harness.announce(harness.upstream(0));
      await harness.waitFor(harness.call({type: 'leave', id: 'u0'}));
      if (isRestarted) await changeOwner();
      else await harness.advanceClock(1_500);
      await harness.announce(harness.upstream(0));
      await harness.advanceClock(100);
      expect(await isUsed()).to.equal(true);
    });
  }

  // Guards against an announcement that is committed while the upstream leaves,
  // and would take back that its session is deregistered.
  it('does not use one whose last change is committed while it leaves', async () => {
    const upstream = harness.upstream(0);
    upstream.labels = ['changed'];
    const announced = harness.call({
      type: 'announce',
      upstream: upstream.announcement(2),
    });
    await harness.advanceClock(1);
    const left = harness.call({type: 'leave', id: 'u0'});
    await harness.waitFor(Promise.all([announced, left]));
    expect(await isUsed()).to.equal(false);
  });

  it('does not use one that announces after its deregistration that it leaves', async () => {
    await harness.announce(harness.upstream(0), true);
    await harness.waitFor(harness.call({type: 'leave', id: 'u0'}));
    await harness.advanceClock(1_500);
    await harness.announce(harness.upstream(0), true);
    await harness.advanceClock(100);
    expect(await isUsed()).to.equal(false);
  });

  // Guards against a start that follows the announcement that an upstream
  // leaves: its numbers begin anew after a restart.
  it('does not use one that leaves soon after a restart and a change of the owner', async () => {
    const upstream = harness.upstream(0);
    for (let i = 0; i < 5; i++) await harness.announce(upstream);
    upstream.labels = ['changed'];
    await harness.announce(upstream);
    void harness.submit('finds the restart', [step(2)]);
    await harness.advanceClock(20);
    upstream.restart();
    await harness.advanceClock(300);
    await changeOwner();
    await harness.waitFor(
      harness.call({
        type: 'announce',
        upstream: upstream.announcement(2, true),
      }),
    );
    expect(await isUsed()).to.equal(false);
  });

  // Guards against a second run of a task beside one that an earlier owner has
  // started, and that goes on under its lease.
  it('waits for the runs of an earlier owner on one that is deregistered', async () => {
    const steps = [step(1, {declaredMs: 2_000})];
    for (const each of harness.upstreams) each.runMs = 2_000;
    void harness.submit('job', steps);
    await harness.advanceClock(5);
    const [{upstream: id}] = harness.spans as [RunSpan];
    harness.kill();
    await harness.startOwner();
    await harness.advanceClock(900);
    await harness.waitFor(harness.call({type: 'leave', id}));
    // The next sweep of upstreams that have left, 1 s after the owner's start.
    await harness.advanceClock(150);
    await harness.waitFor(harness.submit('job', steps));
    expect(findOverlappingRuns(harness.spans)).to.deep.equal([]);
  });

  it('uses the next incarnation of one that has left', async () => {
    await harness.waitFor(harness.call({type: 'leave', id: 'u0'}));
    await harness.advanceClock(2_000);
    harness.upstream(0).restart();
    await harness.announce(harness.upstream(0));
    await harness.advanceClock(100);
    expect(await isUsed()).to.equal(true);
  });
});

describe('DispatchState with upstreams that have left', () => {
  it('keeps them in its snapshot', () => {
    const state = new DispatchState();
    const life = {id: 'u0', startedAt: 5};
    state.apply({type: 'forget-upstream', life, left: true});
    const restored = new DispatchState();
    restored.restore(state.snapshot());
    expect(restored.hasLeft(life)).to.equal(true);
    expect(restored.hasLeft({id: 'u0', startedAt: 6})).to.equal(false);
  });
});
