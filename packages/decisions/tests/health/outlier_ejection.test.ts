import {expect} from 'chai';
import fc from 'fast-check';

import {OutlierEjection} from '../../src/health/outlier_ejection.js';

function createEjection(count: number): OutlierEjection {
  const result = new OutlierEjection();
  for (let n = 0; n < count; n++) result.add(`u${n}`);
  return result;
}

let nextTask = 0;

function recordResult(
  source: OutlierEjection,
  upstream: string,
  ok: boolean,
  now: number,
  taskId = `t${nextTask++}`,
) {
  return source.record(
    {upstream, taskId, ok, runMs: 100, expectedMs: 100},
    now,
  );
}

function ejectUpstream(
  source: OutlierEjection,
  upstream: string,
  now = 0,
): void {
  for (let n = 0; n < 5; n++) recordResult(source, upstream, false, now);
}

describe('OutlierEjection', () => {
  it('ejects an upstream that fails every task, among healthy peers', () => {
    const source = createEjection(10);
    for (let n = 1; n < 10; n++) recordResult(source, `u${n}`, true, 0);
    ejectUpstream(source, 'u0');
    expect(source.getStatus('u0', 0)).to.include({
      state: 'ejected',
      allowance: 0,
    });
  });

  it('ejects an upstream with a high failure ratio despite some successes', () => {
    const source = createEjection(10);
    for (let n = 0; n < 90; n++)
      recordResult(source, `u${1 + (n % 9)}`, true, 0);
    for (let n = 0; n < 20; n++) recordResult(source, 'u0', n % 2 === 0, 0);
    expect(source.getStatus('u0', 0).state).to.equal('ejected');
  });

  // Guards against past failures of a peer that hide those of an upstream.
  it('ejects an upstream that fails after a peer has recovered', () => {
    const source = createEjection(10);
    ejectUpstream(source, 'u0');
    const probeAtMs = 500;
    source.recordProbeStart('u0');
    recordResult(source, 'u0', true, probeAtMs);
    expect(source.getStatus('u0', probeAtMs).state).to.equal('returning');
    ejectUpstream(source, 'u1', probeAtMs);
    expect(source.getStatus('u1', probeAtMs).state).to.equal('ejected');
  });

  it('ejects no upstream when all fail alike, because the cause is elsewhere', () => {
    const source = createEjection(10);
    for (let n = 0; n < 500; n++)
      recordResult(source, `u${n % 10}`, n % 20 >= 10, n);
    expect(source.ejectedCount).to.equal(0);
  });

  it('never ejects more than its cap, in any order of results', () => {
    const result = fc.record({
      upstream: fc.nat(9),
      ok: fc.boolean(),
      task: fc.nat(40),
      probe: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(result, {maxLength: 400}), results => {
        const source = createEjection(10);
        for (const [now, each] of results.entries()) {
          if (each.probe) source.recordProbeStart(`u${each.upstream}`);
          recordResult(
            source,
            `u${each.upstream}`,
            each.ok && each.upstream > 5,
            now * 100,
            `p${each.task}`,
          );
          expect(source.ejectedCount).to.be.within(0, 3);
          const states = Array.from(
            {length: 10},
            (_, n) => source.getStatus(`u${n}`, now * 100).state,
          );
          expect(states.filter(state => state === 'ejected').length).to.equal(
            source.ejectedCount,
          );
        }
      }),
      {seed: 10},
    );
  });

  // Guards against an upstream that comes back cold and gets all load at once.
  it('limits an upstream that is put back into use, until it succeeds', () => {
    const source = createEjection(10);
    source.returnGradually('u0', 1_000);
    const allowances = [0, 1, 2, 3].map(n => {
      if (n > 0) recordResult(source, 'u0', true, 1_100);
      return source.getStatus('u0', 1_100).allowance;
    });
    expect(allowances).to.deep.equal([1, 2, 4, Infinity]);
  });

  // Guards against results from before the return that end it early.
  it('does not count tasks that started before the return', () => {
    const source = createEjection(10);
    source.returnGradually('u0', 1_000);
    const result = {upstream: 'u0', taskId: 't', runMs: 100, expectedMs: 100};
    source.record({...result, ok: true, startedAtMs: 999}, 1_050);
    expect(source.getStatus('u0', 1_050).allowance).to.equal(1);
    source.record({...result, ok: true, startedAtMs: 1_000}, 1_100);
    expect(source.getStatus('u0', 1_100).allowance).to.equal(2);
  });

  // Guards against a probe that was stopped, after which no other would follow.
  it('keeps an ejected upstream ejected, but lets another probe follow', () => {
    const source = createEjection(10);
    ejectUpstream(source, 'u0');
    source.recordProbeStart('u0');
    source.returnGradually('u0', 600);
    expect(source.getStatus('u0', 600)).to.include({
      state: 'ejected',
      allowance: 1,
    });
    expect(source.ejectedCount).to.equal(1);
  });

  it('probes one task at a time, at growing intervals', () => {
    const source = createEjection(10);
    ejectUpstream(source, 'u0');
    let now = source.getStatus('u0', 0).probeAtMs;
    const intervals = [now];
    for (let n = 0; n < 3; n++) {
      expect(source.getStatus('u0', now)).to.include({
        allowance: 1,
        reason: 'probe-due',
      });
      source.recordProbeStart('u0');
      expect(source.getStatus('u0', now).allowance).to.equal(0);
      recordResult(source, 'u0', false, now);
      const next = source.getStatus('u0', now).probeAtMs;
      intervals.push(next - now);
      now = next;
    }
    expect(intervals).to.deep.equal([500, 1_000, 2_000, 4_000]);
  });

  it('returns an upstream gradually and ejects it at its first failure', () => {
    const source = createEjection(10);
    ejectUpstream(source, 'u0');
    source.recordProbeStart('u0');
    recordResult(source, 'u0', true, 600);
    expect(source.getStatus('u0', 600)).to.include({
      state: 'returning',
      allowance: 1,
    });
    recordResult(source, 'u0', true, 700);
    expect(source.getStatus('u0', 700).allowance).to.equal(2);
    recordResult(source, 'u0', false, 800);
    expect(source.getStatus('u0', 800).state).to.equal('ejected');
  });

  for (const runMs of [100, 1]) {
    it(`ejects no upstream for a task that fails everywhere after ${runMs} ms`, () => {
      const source = createEjection(10);
      for (let round = 0; round < 40; round++) {
        const taskId = `poison${round}`;
        for (const upstream of ['u0', 'u1', 'u2', 'u3']) {
          source.record(
            {upstream, taskId, ok: false, runMs, expectedMs: 100},
            round,
          );
        }
        for (let n = 4; n < 10; n++) recordResult(source, `u${n}`, true, round);
      }
      expect(source.ejectedCount).to.equal(0);
      expect(source.isFaultyTask('poison0')).to.be.true;
    });
  }
});
