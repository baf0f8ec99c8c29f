/** What operators are told, and what is in force, under failures. */
import {expect} from 'chai';

import type {Call} from '../../src/messages/calls.js';
import {
  EvacuationGroup,
  type Interception,
  type TestMember,
} from './evacuation_group.js';

/** Holds the calls of one type until they are released. */
class Hold {
  release: (interception: Interception) => void = () => undefined;
  isReached = false;

  constructor(member: TestMember, type: Call['type']) {
    member.intercept = call => {
      if (call.type !== type) return 'pass';
      member.intercept = () => 'pass';
      this.isReached = true;
      return new Promise(resolve => (this.release = resolve));
    };
  }
}

describe('EvacuationRequests', () => {
  let group: EvacuationGroup;

  beforeEach(async () => {
    group = new EvacuationGroup();
    await group.startAll();
  });

  afterEach(() => group.close());

  /** Waits for all members to hold the record, and returns it as a text. */
  async function getRecord(revision: number): Promise<string> {
    const tables = group.members
      .filter(({log}) => log)
      .map(({state}) => state.evacuations);
    await group.runUntil(() =>
      tables.every(table => table.get('north').revision >= revision),
    );
    const texts = tables.map(table => {
      const {evacuated, revision} = table.get('north');
      return `${evacuated ? 'evacuated' : 'open'} ${revision} ${table.history.length}`;
    });
    expect(new Set(texts)).to.have.property('size', 1);
    return texts[0] ?? '';
  }

  /** Moves the wall clock only, as a suspension of the machine does. */
  function suspend(ms: number): void {
    group.clock.setSystemTime(Date.now() + ms);
  }

  /** Lets another operator evacuate and readmit through other members. */
  async function evacuateAndReadmit(): Promise<void> {
    await group.insist(true);
    await group.insist(false);
  }

  it('is in force on all members after both requests', async () => {
    await group.insist(true);
    expect(await getRecord(1)).to.equal('evacuated 1 1');
    await group.insist(false);
    expect(await getRecord(2)).to.equal('open 2 1');
  });

  // Guards against a second evacuation in the audit trail for a request whose
  // reply was lost.
  it('adds one evacuation when the leader is killed before its reply', async () => {
    const {leader, follower} = group;
    if (!leader) throw new Error('no leader');
    const hold = new Hold(follower, 'evacuate');
    const request = group.request(follower, true);
    await group.runUntil(() => hold.isReached);
    hold.release('lose-reply');
    await group.runUntil(() => leader.state.evacuations.isEvacuated('north'));
    group.kill(leader);
    expect(await group.waitFor(request)).to.equal('unanswered');
    await group.insist(true);
    expect(await getRecord(2)).to.equal('evacuated 2 1');
  });

  // Guards against a revision that is read only after newer requests.
  it('sends no change after a suspension before its read', async () => {
    const {follower} = group;
    const hold = new Hold(follower, 'read-evacuations');
    const request = group.request(follower, true);
    await group.runUntil(() => hold.isReached);
    await evacuateAndReadmit();
    suspend(3_000);
    hold.release('pass');
    expect(await group.waitFor(request)).to.equal('too-late');
    expect(await getRecord(2)).to.equal('open 2 1');
  });

  // Guards against an old change that undoes a newer request.
  it('changes nothing after a suspension before its change', async () => {
    const {follower} = group;
    const hold = new Hold(follower, 'evacuate');
    const request = group.request(follower, true);
    await group.runUntil(() => hold.isReached);
    await evacuateAndReadmit();
    hold.release('pass');
    expect(await group.waitFor(request)).to.equal('conflict');
    expect(await getRecord(2)).to.equal('open 2 1');
  });

  // Guards against a late repetition of a change.
  it('does not repeat a lost change after a suspension', async () => {
    const {follower} = group;
    const hold = new Hold(follower, 'evacuate');
    const request = group.request(follower, true);
    await group.runUntil(() => hold.isReached);
    await group.insist(false);
    suspend(3_000);
    hold.release('break');
    expect(await group.waitFor(request)).to.equal('unanswered');
    await group.run(2_000);
    expect(await getRecord(1)).to.equal('open 1 0');
  });

  // Guards against a request that a process reads late, after a pause.
  it('sends no change for a request that arrived before a suspension', async () => {
    suspend(1_500);
    await group.run(50);
    const request = group.request(group.follower, true);
    expect(await group.waitFor(request)).to.not.equal('in-force');
    expect(await getRecord(0)).to.equal('open 0 0');
  });

  for (const ms of [5_000, -5_000]) {
    // Guards against requests that count as late for as long as the time of day
    // is wrong, or after it was set right.
    it(`acknowledges requests at once after a step by ${ms} ms, and back`, async () => {
      for (const [revision, step] of [ms, -ms].entries()) {
        group.clock.setSystemTime(Date.now() + step);
        await group.run(250);
        const request = group.request(group.follower, revision === 0);
        expect(await group.waitFor(request)).to.equal('in-force');
      }
      expect(await getRecord(2)).to.equal('open 2 1');
    });
  }

  for (const type of ['read-evacuations', 'evacuate'] as const) {
    it(`adds one entry after a lost ${type}`, async () => {
      const {follower} = group;
      const hold = new Hold(follower, type);
      const request = group.request(follower, true);
      await group.runUntil(() => hold.isReached);
      hold.release('lose-request');
      expect(await group.waitFor(request)).to.equal('unanswered');
      await group.insist(true);
      expect(await getRecord(1)).to.equal('evacuated 1 1');
    });
  }

  it('adds one entry for two equal requests that race', async () => {
    const requests = group.members.map(member => group.request(member, true));
    const outcomes = await group.waitFor(Promise.all(requests));
    expect(outcomes).to.deep.equal(['in-force', 'in-force', 'in-force']);
    expect(await getRecord(1)).to.equal('evacuated 1 1');
  });

  // Guards against two acknowledged changes of the same revision.
  it('acknowledges one change when opposite requests race', async () => {
    const {follower, leader} = group;
    if (!leader) throw new Error('no leader');
    const hold = new Hold(follower, 'evacuate');
    const first = group.request(follower, true);
    await group.runUntil(() => hold.isReached);
    const [evacuated, readmitted] = [
      group.request(leader, true),
      group.request(leader, false),
    ];
    await group.waitFor(Promise.all([evacuated, readmitted]));
    await group.insist(false);
    hold.release('pass');
    expect(await group.waitFor(first)).to.equal('conflict');
    expect(await getRecord(2)).to.equal('open 2 1');
  });

  // Guards against an older change that is still under way when a newer request
  // for the state that holds is acknowledged.
  it('discards a change that is older than a request for the state that holds', async () => {
    const {follower} = group;
    const hold = new Hold(follower, 'evacuate');
    const request = group.request(follower, true);
    await group.runUntil(() => hold.isReached);
    await group.insist(false);
    hold.release('pass');
    expect(await group.waitFor(request)).to.equal('conflict');
    expect(await getRecord(1)).to.equal('open 1 0');
  });

  // Guards against an acknowledgement by a leader that was replaced.
  it('acknowledges a state that holds behind a read barrier only', async () => {
    await group.insist(true);
    const {leader} = group;
    if (!leader) throw new Error('no leader');
    for (const each of group.members) if (each !== leader) group.kill(each);
    const request = group.request(leader, true);
    expect(await group.waitFor(request)).to.equal('unanswered');
  });

  it('sends no change for an operator that has left', async () => {
    let left = false;
    const {follower} = group;
    const hold = new Hold(follower, 'read-evacuations');
    const request = group.request(follower, true, 'north', () => left);
    await group.runUntil(() => hold.isReached);
    left = true;
    hold.release('pass');
    expect(await group.waitFor(request)).to.equal('too-late');
    expect(await getRecord(0)).to.equal('open 0 0');
  });

  for (const name of [
    '',
    'North',
    'north ',
    'a/b',
    '__proto__',
    'n'.repeat(5_000),
  ]) {
    it(`refuses ${name.slice(0, 9) || 'an empty name'}, and calls nobody`, async () => {
      const {follower} = group;
      follower.intercept = () => {
        throw new Error('unexpected call');
      };
      const request = group.request(follower, true, name);
      expect(await group.waitFor(request)).to.equal('unknown-data-centre');
    });
  }

  it('is kept when all members lose power at once', async () => {
    await group.insist(true);
    for (const member of group.members) group.kill(member);
    for (const member of group.members) await group.start(member);
    expect(await getRecord(1)).to.equal('evacuated 1 1');
  });

  // Guards against a member that joins from a snapshot without the field.
  it('reaches a member that joins with an empty disk', async () => {
    for (let turn = 0; turn < 4; turn++) await evacuateAndReadmit();
    await group.insist(true);
    const {follower} = group;
    await group.replaceDisk(follower);
    const bytes = await follower.storage.load();
    expect(bytes).to.equal(null);
    expect(await getRecord(9)).to.equal('evacuated 9 5');
    expect((await follower.storage.load())?.snapshot).to.not.equal(null);
  });
});
