import {expect} from 'chai';

import {FirstInFirstOutSharing} from '../../src/sharing/first_in_first_out_sharing.js';
import {createQueuedTask} from '../fixtures.js';

describe('FirstInFirstOutSharing', () => {
  it('starts tasks in order of arrival and never a cancelled one', () => {
    const queue = new FirstInFirstOutSharing();
    for (const taskId of ['1', '2', '3'])
      queue.enqueue(createQueuedTask({taskId}));
    expect(queue.cancel('2').map(({taskId}) => taskId)).to.deep.equal(['2']);
    const order = [0, 1, 2].map(() => queue.next(0)?.task.taskId);
    expect(order).to.deep.equal(['1', '3', undefined]);
  });
});
