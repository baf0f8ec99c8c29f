import {once} from 'node:events';

import {expect} from 'chai';

import {MessageTask} from '../src/message_task.js';

/** Fails on "bad", also when it reports that. */
class FailingTask extends MessageTask<string> {
  readonly handled: string[] = [];

  protected override handle(message: string): void {
    if (message === 'bad') throw new Error('not handled');
    this.handled.push(message);
  }

  protected override onError(): void {
    throw new Error('not reported');
  }
}

describe('MessageTask', () => {
  // Guards against a task that handles nothing after one unexpected error.
  it('handles later messages when the report of an error fails', async () => {
    const task = new FailingTask('failing');
    const warned = once(process, 'warning');
    task.post('bad');
    task.post('good');
    const [warning] = (await warned) as [Error];
    task.post('last');
    expect(task.handled).to.deep.equal(['good', 'last']);
    expect(warning.message).to.equal('failing: not reported');
  });
});
