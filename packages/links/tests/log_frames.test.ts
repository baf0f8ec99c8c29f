import {expect} from 'chai';

import {PeerProtocolError} from '../src/errors.js';
import {LogFrameReader, LogFrameWriter} from '../src/log_frames.js';
import type {LogEnvelope} from '../src/peer_messages.js';

const A = {name: 'a', incarnation: 'life-a'};
const B = {name: 'b', incarnation: 'life-b'};

function envelope(message: object, to = B.incarnation): LogEnvelope {
  return {log: 'dc1.0@1', from: A, to: B, message: {to, term: 3, ...message}};
}

const ENTRY = {index: 5, term: 3, commands: ['x'], durable: true};
const APPEND = {prevIndex: 4, prevTerm: 2, commit: 4, round: 9};
const SNAPSHOT = {index: 1, term: 1, voters: [A, B], data: Buffer.from('s')};
const REPLY = {ok: true, match: 5, synced: 0, disk: false, round: 9};
const VOTE = {pre: true, transfer: false, lastIndex: 5, lastTerm: 3};

const MESSAGES = [
  envelope({type: 'append', entries: [ENTRY], ...APPEND}),
  envelope({type: 'install', snapshot: SNAPSHOT, round: 9}),
  envelope({type: 'append-reply', ...REPLY}),
  envelope({type: 'vote', ...VOTE}),
  envelope({type: 'vote-reply', pre: true, granted: false}),
  envelope({type: 'timeout-now'}),
  envelope({type: 'join'}, ''),
];

describe('log frames', () => {
  it('lose no field of any message', () => {
    const frame = new LogFrameWriter().write(MESSAGES);
    expect(new LogFrameReader('a', 'b').read(frame)).to.deep.equal(MESSAGES);
  });

  it('send each name once, so that heartbeats stay small', () => {
    const writer = new LogFrameWriter();
    writer.write(MESSAGES);
    const [, newTexts] = writer.write(MESSAGES);
    expect(newTexts).to.deep.equal([]);
  });

  const broken = [
    {what: 'a lost frame', first: 1},
    {what: 'a frame of an earlier stream', first: 2},
  ];
  for (const {what, first} of broken) {
    it(`are refused after ${what}, whose names are unknown`, () => {
      const writer = new LogFrameWriter();
      const frames = [1, 2, 3].map(() => writer.write(MESSAGES));
      const reader = new LogFrameReader('a', 'b');
      expect(() => frames.slice(first).map(f => reader.read(f))).to.throw(
        PeerProtocolError,
      );
    });
  }

  it('refuse a message that names an unknown text', () => {
    const reader = new LogFrameReader('a', 'b');
    const message = [7, 7, 7, 7, 5, 1];
    expect(() => reader.read([0, [], message])).to.throw(PeerProtocolError);
  });
});
