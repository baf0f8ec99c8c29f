import {expect} from 'chai';

import {
  type EvacuationChange,
  EvacuationTable,
} from '../../src/jobs/evacuations.js';

function change(fields: Partial<EvacuationChange> = {}): EvacuationChange {
  return {
    dataCentre: 'north',
    evacuated: true,
    basedOn: 0,
    at: 1_000,
    operator: 'ops',
    ...fields,
  };
}

describe('EvacuationTable', () => {
  it('does not let an order that arrives late undo a newer one', () => {
    const table = new EvacuationTable();
    table.apply(change());
    table.apply(change({evacuated: false, basedOn: 1}));
    expect(table.apply(change())).to.equal(false);
    expect(table.isEvacuated('north')).to.equal(false);
  });

  it('does not count an order twice that is sent twice', () => {
    const table = new EvacuationTable();
    expect(table.apply(change())).to.equal(true);
    expect(table.apply(change())).to.equal(false);
    expect(table.apply(change({basedOn: 1, at: 2_000}))).to.equal(false);
    expect(table.get('north')).to.include({revision: 2, changedAt: 1_000});
    expect(table.history).to.have.length(1);
  });

  // Guards against a readmission that is under way when the evacuation in force
  // is ordered and acknowledged again.
  it('does not let an older order undo one for the state that holds', () => {
    const table = new EvacuationTable();
    table.apply(change());
    table.apply(change({basedOn: 1}));
    table.apply(change({evacuated: false, basedOn: 1}));
    expect(table.isEvacuated('north')).to.equal(true);
  });

  it('keeps who changed what, and when, in its snapshot', () => {
    const table = new EvacuationTable();
    table.apply(change());
    table.apply(change({evacuated: false, basedOn: 1, at: 2_000}));
    const restored = new EvacuationTable();
    restored.restore(table.snapshot());
    expect(restored.history).to.deep.equal([
      {
        dataCentre: 'north',
        startedAt: 1_000,
        startedBy: 'ops',
        endedAt: 2_000,
        endedBy: 'ops',
      },
    ]);
    expect(restored.get('north').revision).to.equal(2);
  });

  it('bounds its audit trail', () => {
    const table = new EvacuationTable();
    for (let basedOn = 0; basedOn < 1_200; basedOn++) {
      table.apply(change({evacuated: basedOn % 2 === 0, basedOn}));
    }
    expect(table.history).to.have.length(256);
  });

  it('is empty after the snapshot of an earlier program', () => {
    const table = new EvacuationTable();
    table.apply(change());
    table.restore(undefined);
    expect(table.records).to.deep.equal([]);
  });
});
