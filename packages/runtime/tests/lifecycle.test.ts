import {expect} from 'chai';

import {CloseError, LifecycleManager} from '../src/lifecycle.js';

describe('LifecycleManager', () => {
  it('closes parts in reverse order, so none outlives its dependency', async () => {
    const order: string[] = [];
    const manager = new LifecycleManager('test');
    manager.defer('first', () => void order.push('first'));
    manager.defer('second', () => void order.push('second'));
    await manager.close();
    await manager.close();
    expect(order).to.deep.equal(['second', 'first']);
  });

  it('closes the other parts when one fails, and reports the failure', async () => {
    const order: string[] = [];
    const manager = new LifecycleManager('test');
    manager.defer('first', () => void order.push('first'));
    manager.defer('broken', () => {
      throw new Error('port stuck');
    });
    const failure = await manager.close().catch((err: unknown) => err);
    expect(failure).to.be.instanceOf(CloseError);
    expect(order).to.deep.equal(['first']);
  });
});
