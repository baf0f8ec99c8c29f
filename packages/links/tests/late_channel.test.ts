/** A channel of a process that is late itself. */
import {EventEmitter} from 'node:events';

import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {WebSocket} from 'ws';

import {FrameChannel} from '../src/frame_channel.js';
import {CLOSE_WATCH} from '../src/frame_options.js';

class FakeSocket extends EventEmitter {
  readonly readyState = WebSocket.OPEN;
  pings = 0;
  isTerminated = false;

  ping(): void {
    this.pings++;
  }

  terminate(): void {
    this.isTerminated = true;
  }
}

describe('a framed channel of a late process', () => {
  let clock: Clock;
  let socket: FakeSocket;
  let channel: FrameChannel<unknown>;

  beforeEach(async () => {
    clock = fakeTimers.install({
      toFake: ['setTimeout', 'setInterval', 'clearInterval', 'performance'],
    });
    socket = new FakeSocket();
    channel = new FrameChannel(socket as unknown as WebSocket, {
      watch: CLOSE_WATCH,
      maxUnsentBytes: 1,
      onMessage: () => undefined,
      onClose: () => undefined,
      onMalformed: () => undefined,
    });
    await clock.tickAsync(CLOSE_WATCH.pingAfterMs);
    expect(socket.pings).to.equal(1);
  });

  afterEach(() => {
    channel.close();
    clock.uninstall();
  });

  // A busy process dropped connections whose answers it had not read yet, and
  // with them all calls that were open on them.
  it('stays open when the answer is read in the same turn', async () => {
    // Timers of the turn run before its input, here the answer.
    setTimeout(() => socket.emit('pong'), CLOSE_WATCH.pingAfterMs);
    clock.jump(2 * CLOSE_WATCH.silenceMs);
    await clock.tickAsync(1);
    expect(channel.isOpen).to.equal(true);
  });

  it('ends when there is no answer', async () => {
    clock.jump(2 * CLOSE_WATCH.silenceMs);
    await clock.tickAsync(1);
    expect(channel.isOpen).to.equal(false);
    expect(socket.isTerminated).to.equal(true);
  });
});
