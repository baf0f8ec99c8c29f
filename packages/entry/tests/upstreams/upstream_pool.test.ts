import {upstreamKey} from '@mustardferry/model';
import {expect} from 'chai';

import {UpstreamPool} from '../../src/upstreams/upstream_pool.js';
import {upstream} from '../fixtures.js';

const UPSTREAM = upstream();
const KEY = upstreamKey(UPSTREAM);
const USED = {slots: 1, processors: 0, memoryMb: 0, accelerators: 0};

describe('UpstreamPool', () => {
  let pool: UpstreamPool;
  beforeEach(() => {
    pool = new UpstreamPool({
      token: undefined,
      dataCentre: 'dc1',
      instancesInDataCentre: 3,
    });
    pool.add(UPSTREAM);
    pool.candidates.setCredits(KEY, 4);
  });
  afterEach(() => pool.close());

  it('gives a leaving upstream no new work, regardless of its health', () => {
    expect(pool.candidates.hasFreeCredit('posting')).to.equal(true);
    pool.stopNewWork(UPSTREAM);
    pool.setAllowance(KEY, 8);
    pool.candidates.setCredits(KEY, 4);
    expect(pool.candidates.hasFreeCredit('posting')).to.equal(false);
    expect(pool.getCapacities('posting')).to.have.length(0);
    expect(pool.isLeaving(KEY)).to.equal(true);
  });

  it('keeps the link of a leaving upstream until its tasks end', () => {
    pool.candidates.started(KEY, 't', USED);
    const link = pool.getLink(UPSTREAM);
    pool.stopNewWork(UPSTREAM);
    pool.removeIfIdle(KEY);
    expect(pool.getLink(UPSTREAM)).to.equal(link);
    expect(pool.announcement(KEY)).to.equal(UPSTREAM);
    pool.candidates.ended(KEY, 't');
    pool.removeIfIdle(KEY);
    expect(pool.announcement(KEY)).to.equal(undefined);
    expect([...pool.listAnnouncements()]).to.have.length(0);
    expect(pool.getLink(UPSTREAM)).not.to.equal(link);
  });

  it('keeps an idle upstream that is not leaving', () => {
    pool.removeIfIdle(KEY);
    expect(pool.announcement(KEY)).to.equal(UPSTREAM);
  });

  it('makes an upstream available that returns while a task runs', () => {
    pool.candidates.started(KEY, 't', USED);
    pool.setAllowance(KEY, 0);
    pool.stopNewWork(UPSTREAM);
    pool.removeIfIdle(KEY);
    pool.add(UPSTREAM);
    pool.candidates.setCredits(KEY, 4);
    expect(pool.candidates.hasFreeCredit('posting')).to.equal(true);
    expect(pool.candidates.get(KEY)?.running).to.equal(1);
  });

  it('keeps the limit of an upstream over an evacuation, and its link', () => {
    const link = pool.getLink(UPSTREAM);
    pool.setAllowance(KEY, 2);
    pool.setEvacuated(['dc1']);
    expect(pool.candidates.hasFreeCredit('posting')).to.equal(false);
    expect(pool.getCapacities('posting')).to.have.length(0);
    expect(pool.findEvacuated('posting', USED)).to.equal('dc1');
    pool.setEvacuated(['dc2']);
    expect(pool.candidates.freeCredits).to.equal(2);
    expect(pool.findEvacuated('posting', USED)).to.equal(undefined);
    expect(pool.getLink(UPSTREAM)).to.equal(link);
  });

  it('separates two incarnations of an upstream', () => {
    const next = upstream({incarnation: 2});
    pool.add(next);
    expect(pool.getLink(next)).not.to.equal(pool.getLink(UPSTREAM));
    pool.stopNewWork(UPSTREAM);
    pool.removeIfIdle(KEY);
    expect(pool.announcement(upstreamKey(next))).to.equal(next);
  });
});
