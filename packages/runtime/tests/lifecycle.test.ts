import {expect} from 'chai';

import {CloseError, LifecycleManager} from '../src/lifecycle.js';

describe('LifecycleManager', () => {
  // Guards against a resource that is closed twice, or before its dependents.
  it('closes each resource once, in reverse order of registration', async () => {
    const order: string[] = [];
    const manager = new LifecycleManager('test');
    manager.defer('first', () => void order.push('first'));
    manager.defer('second', () => void order.push('second'));
    await manager.close();
    await manager.close();
    expect(order).to.deep.equal(['second', 'first']);
  });

  // Guards against resources that stay open after another one failed to close.
  it('closes the other resources and reports the failure when one fails', async () => {
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
