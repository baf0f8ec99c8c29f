import {expect} from 'chai';

import {runReplicatedCounter} from '../examples/embed/replicated_counter.js';
import {routeTask} from '../examples/embed/route_task.js';

describe('example for embedders', () => {
  it('keeps acknowledged commands when the leader is lost', async () => {
    const {before, after, leaders} = await runReplicatedCounter();
    expect([before, after]).to.deep.equal([15, 25]);
    expect(leaders[1]).not.to.equal(leaders[0]);
  });

  it('routes an urgent task to the faster upstream', () => {
    expect(routeTask()).to.include({
      type: 'start',
      upstream: '10.0.0.2:8000',
      reason: 'fastest-end',
    });
  });
});
