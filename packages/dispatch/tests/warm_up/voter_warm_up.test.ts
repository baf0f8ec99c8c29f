import {createLogger, type Logger} from '@mustardferry/runtime';
import {expect} from 'chai';

import {VoterWarmUp} from '../../src/warm_up/voter_warm_up.js';

/** A member without a vote must not spend processor time on leading. */
describe('warm-up of a voter', () => {
  let events: string[];
  let logger: Logger;

  beforeEach(() => {
    events = [];
    logger = createLogger('silent');
    logger.info = event => void events.push(event);
  });

  it('runs nothing before the member has a vote', async () => {
    let checks = 0;
    const getLoad = () => {
      checks++;
      return 'idle' as const;
    };
    const warmUp = new VoterWarmUp({logger, getLoad, warmUp: true});
    warmUp.update(false);
    await new Promise(resolve => setTimeout(resolve, 50));
    await warmUp.close();
    expect(warmUp.hasStarted).to.equal(false);
    expect(checks).to.equal(0);
    expect(events).to.deep.equal([]);
  });

  it('runs once, however often the member is found to be a voter', async () => {
    const warmUp = new VoterWarmUp({
      logger,
      getLoad: () => 'idle',
      warmUp: true,
    });
    warmUp.update(true);
    warmUp.update(true);
    while (events.length === 0) {
      await new Promise(resolve => setTimeout(resolve, 20));
    }
    warmUp.update(true);
    await warmUp.close();
    expect(events).to.deep.equal(['warm-up-ended']);
  });
});
