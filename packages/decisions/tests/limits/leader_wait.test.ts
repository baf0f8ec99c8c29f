import {expect} from 'chai';

import {mayWaitForLeader} from '../../src/limits/leader_wait.js';

const ELECTION_MS = 600;

/** The leader is lost at 0. */
const LOST = {
  leaderlessSince: 0,
  minElectionMs: ELECTION_MS,
  maxElectionMs: 2 * ELECTION_MS,
};

describe('mayWaitForLeader', () => {
  const cases = [
    {
      title: 'waits for an election that ends in time',
      wait: {now: 100, deadlineAt: 1_500, minServiceMs: 200},
      expected: true,
    },
    {
      title: 'refuses a long job that an election would make too late',
      wait: {now: 0, deadlineAt: 1_500, minServiceMs: 1_000},
      expected: false,
    },
    {
      title: 'refuses at once when the time left is too short',
      wait: {now: 1_000, deadlineAt: 1_150, minServiceMs: 200},
      expected: false,
    },
    {
      title: 'still waits while a second round may end',
      wait: {now: 1_800, deadlineAt: 3_300, minServiceMs: 200},
      expected: true,
    },
    {
      title: 'refuses what comes when no leader can be foreseen',
      wait: {now: 2_500, deadlineAt: 4_000, minServiceMs: 200},
      expected: false,
    },
  ];
  for (const {title, wait, expected} of cases) {
    it(title, () => {
      expect(mayWaitForLeader({...LOST, ...wait})).to.equal(expected);
    });
  }

  /**
   * Replays callers at full rate, of whom each waits 1.5 s, while the leader
   * is lost for a time; returns the seconds that callers waited in vain.
   */
  function replay(leaderlessMs: number, serviceMs: number) {
    let waitedInVainMs = 0;
    let served = 0;
    for (let arrival = 0; arrival < leaderlessMs; arrival += 10) {
      const deadlineAt = arrival + 1_500;
      let now = arrival;
      while (now < leaderlessMs) {
        const wait = {...LOST, now, deadlineAt, minServiceMs: serviceMs};
        if (!mayWaitForLeader(wait)) break;
        now += 10;
      }
      const isServed = now >= leaderlessMs && now + serviceMs <= deadlineAt;
      if (isServed) served++;
      else waitedInVainMs += now - arrival;
    }
    return {served, waitedInVainMs};
  }

  it('serves all short requests of an election of one round', () => {
    expect(replay(1_000, 200)).to.deep.equal({served: 100, waitedInVainMs: 0});
  });

  it('holds few requests while a group is without a leader for long', () => {
    const arrivals = 8_000 / 10;
    const heldToTheEndMs = arrivals * 1_300;
    const {waitedInVainMs} = replay(8_000, 200);
    expect(waitedInVainMs).to.be.below(heldToTheEndMs / 4);
  });
});
