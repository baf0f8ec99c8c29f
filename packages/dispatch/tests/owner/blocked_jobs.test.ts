import {expect} from 'chai';

import {OwnerHarness, step} from '../owner_harness.js';

const BLOCKED_JOBS = 40;
const FREE_JOBS = 100;

describe('Owner with stored jobs that no upstream can take', () => {
  let harness: OwnerHarness;

  beforeEach(async () => {
    harness = new OwnerHarness(5);
    for (const upstream of harness.upstreams) upstream.labels = ['a'];
    harness.upstream(0).labels = ['b'];
    await harness.setUp();
  });

  afterEach(() => harness.close());

  async function submitMany(
    prefix: string,
    count: number,
    fields: Parameters<typeof step>[1],
  ): Promise<string[]> {
    const ids = Array.from({length: count}, (_, n) => `${prefix}${n}`);
    const replies = ids.map(id => harness.submitDurable(id, [step(1, fields)]));
    await harness.waitFor(Promise.all(replies));
    return ids;
  }

  // Guards against jobs that stay queued for good, with free upstreams, behind
  // others whose only upstream is lost, or that are too large.
  for (const {title, fields} of [
    {title: 'whose only upstream is lost', fields: {label: 'b'}},
    {title: 'that are too large', fields: {cpuMillis: 64_000}},
  ]) {
    it(`runs the jobs behind those ${title}`, async () => {
      harness.upstream(0).delivery = () => 'unreached';
      await submitMany('blocked', BLOCKED_JOBS, fields);
      await harness.advanceClock(5_000);
      const ids = await submitMany('free', FREE_JOBS, {label: 'a'});
      await harness.advanceClock(10_000);
      const states = await Promise.all(ids.map(id => harness.getJobState(id)));
      expect(states.filter(state => state !== 'completed')).to.deep.equal([]);
    });
  }
});
