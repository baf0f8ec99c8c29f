import {expect} from 'chai';

import {MIX_KINDS} from '../../src/load/mixes.js';
import {
  listScenarios,
  loadScenario,
  parseScenario,
  ScenarioError,
} from '../../src/load/scenario.js';
import {buildTrace, capacityOf, traceWorkers} from '../../src/load/trace.js';

const TEXT = `[run]
title = t
seed = 3
duration_s = 120
[load]
fraction = 0.8
resubmit_part = 0.1
`;

describe('scenarios', () => {
  for (const name of listScenarios()) {
    it(`loads ${name}, with targets of its own deployment only`, () => {
      const scenario = loadScenario(name);
      const workers = traceWorkers(scenario).map(each => each.worker);
      const places = ['dc1', 'dc2', 'dc3'];
      const instances = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'];
      const known = [...workers, ...places, ...instances];
      for (const step of Object.values(scenario.faults)) {
        expect(known).to.include.members([...step.targets]);
        expect(step.atS).to.be.lessThan(scenario.run.duration_s);
      }
    });
  }

  const invalid = [
    ['an unknown key', `${TEXT}speed = 3\n`, /load.*speed/],
    ['an unknown action', `${TEXT}[faults]\na = 3, melt\n`, /faults\.a/],
    ['a missing time', `${TEXT}[faults]\na = kill\n`, /faults\.a/],
    ['a missing seed', TEXT.replace('seed = 3', ''), /run\.seed/],
  ] as const;
  for (const [what, text, message] of invalid) {
    it(`refuses ${what}, which would run something else`, () => {
      expect(() => parseScenario('x', text)).to.throw(ScenarioError, message);
    });
  }
});

describe('buildTrace', () => {
  const scenario = parseScenario('x', TEXT);
  const trace = buildTrace(scenario);

  it('depends on the seed only, so that policies see the same load', () => {
    expect(buildTrace(scenario)).to.deep.equal(trace);
    const other = parseScenario('x', TEXT.replace('seed = 3', 'seed = 4'));
    expect(buildTrace(other)).not.to.deep.equal(trace);
  });

  it('offers the stated fraction of the capacity within 5 percent', () => {
    const tasks = trace.flatMap(job => job.tasks);
    const workMs = tasks.reduce((sum, task) => sum + task.runMs, 0);
    const capacity = capacityOf(traceWorkers(scenario));
    const fraction = workMs / (capacity * 120_000);
    expect(fraction, 'seed 3').to.be.within(0.76, 0.84);
  });

  it('has workers whose speeds differ fourfold in each data centre', () => {
    for (const place of ['dc1', 'dc2', 'dc3']) {
      const speeds = traceWorkers(scenario)
        .filter(each => each.dataCentre === place)
        .map(each => each.speed);
      const ratio = Math.max(...speeds) / Math.min(...speeds);
      expect(ratio).to.be.closeTo(4, 1e-9);
    }
  });

  it('holds run times and declarations within their bounds', () => {
    for (const task of trace.flatMap(job => job.tasks)) {
      expect(task.runMs).to.be.within(50, 6_000);
      const wrongBy = task.expectedRunMs / task.runMs;
      expect(wrongBy).to.be.within(0.09, 10.1);
    }
  });

  it('submits every kind of both users, and some jobs again', () => {
    const kinds = new Set(trace.map(job => job.kind.kind));
    expect(kinds.size).to.equal(MIX_KINDS.length);
    const again = trace.filter(job => job.resubmissions.length > 0);
    expect(again.length / trace.length).to.be.within(0.08, 0.12);
  });

  it('uses each value and key once, or callers could not be told apart', () => {
    const values = trace.flatMap(job => job.tasks.map(task => task.value));
    expect(new Set(values).size).to.equal(values.length);
    expect(new Set(trace.map(job => job.key)).size).to.equal(trace.length);
  });
});
