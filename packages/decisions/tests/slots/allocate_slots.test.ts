import {expect} from 'chai';
import fc from 'fast-check';

import {SlotAllocator} from '../../src/slots/allocate_slots.js';
import {CreditLedger} from '../../src/slots/credit_ledger.js';
import {createResources, UNLIMITED} from '../fixtures.js';

const INSTANCES = ['i0', 'i1', 'i2'];

function createAllocator(workers: number, slots = 8): SlotAllocator {
  const result = new SlotAllocator();
  result.setTeams([
    {team: 'a', weight: 0.75, quota: UNLIMITED},
    {team: 'b', weight: 0.25, quota: UNLIMITED},
  ]);
  for (let index = 0; index < workers; index++) {
    result.setWorker({
      worker: `w${index}`,
      rack: `r${index % 4}`,
      speedFactor: 1 + (index % 3),
      capacity: createResources(slots),
    });
  }
  return result;
}

function createDemand(
  instance: string,
  teams: Readonly<Record<string, number>>,
) {
  return {
    instance,
    weight: 1,
    teams: Object.entries(teams).map(([team, slots]) => ({
      team,
      demand: createResources(slots),
    })),
  };
}

/** Applies repeated allocations, so that returned credits are granted again. */
function applyAllocations(
  source: SlotAllocator,
  ledgers: ReadonlyMap<string, CreditLedger>,
): void {
  for (let round = 0; round < 5; round++) {
    const {grants, instances} = source.allocate();
    for (const {worker, instance, credits} of grants)
      ledgers.get(instance)?.granted(worker, credits);
    for (const {instance, keep} of instances) {
      const ledger = ledgers.get(instance);
      const order = [...(ledger?.listCredits() ?? [])].map(
        ([worker]) => worker,
      );
      for (const {worker, credits} of ledger?.applyLimit(
        keep ?? Infinity,
        order,
      ) ?? []) {
        source.releaseCredits(instance, worker, credits);
      }
    }
  }
}

function createLedgers(): ReadonlyMap<string, CreditLedger> {
  return new Map(INSTANCES.map(name => [name, new CreditLedger()]));
}

describe('SlotAllocator', () => {
  it('spreads idle slots in advance, so a first task needs no round trip', () => {
    const source = createAllocator(30);
    const ledgers = createLedgers();
    for (const name of INSTANCES) source.setDemand(createDemand(name, {}));
    applyAllocations(source, ledgers);
    for (const ledger of ledgers.values())
      expect(ledger.totals.held).to.equal(80);
  });

  it('divides by the weights of the teams, not by the demand alone', () => {
    const source = createAllocator(10, 8);
    const ledgers = createLedgers();
    source.setDemand(createDemand('i0', {a: 500}));
    source.setDemand(createDemand('i1', {b: 5_000}));
    applyAllocations(source, ledgers);
    expect(ledgers.get('i0')?.totals.held).to.equal(60);
    expect(ledgers.get('i1')?.totals.held).to.equal(20);
  });

  it('gives every instance a part of the slots of each speed', () => {
    const source = createAllocator(24);
    const ledgers = createLedgers();
    for (const name of INSTANCES)
      source.setDemand(createDemand(name, {a: 100}));
    applyAllocations(source, ledgers);
    for (const ledger of ledgers.values()) {
      const bySpeed = [0, 0, 0];
      for (const [worker, {held}] of ledger.listCredits()) {
        const speed = Number(worker.slice(1)) % 3;
        bySpeed[speed] = (bySpeed[speed] ?? 0) + held;
      }
      for (const held of bySpeed) expect(held).to.be.within(20, 23);
    }
  });

  it('moves idle credits to an instance with demand', () => {
    const source = createAllocator(10);
    const ledgers = createLedgers();
    source.setDemand(createDemand('i0', {a: 500}));
    applyAllocations(source, ledgers);
    expect(ledgers.get('i0')?.totals.held).to.equal(80);
    source.setDemand(createDemand('i0', {}));
    source.setDemand(createDemand('i1', {a: 500}));
    applyAllocations(source, ledgers);
    expect(ledgers.get('i1')?.totals.held).to.equal(80);
  });

  it('gives the credits of a lost instance to the others', () => {
    const source = createAllocator(10);
    const ledgers = createLedgers();
    source.setDemand(createDemand('i0', {a: 500}));
    applyAllocations(source, ledgers);
    source.removeInstance('i0');
    source.setDemand(createDemand('i1', {a: 500}));
    applyAllocations(source, ledgers);
    expect(ledgers.get('i1')?.totals.held).to.equal(80);
  });

  it('never grants more credits than slots, in any order of events', () => {
    const event = fc.record({
      type: fc.constantFrom('demand', 'use', 'free', 'worker', 'allocate'),
      instance: fc.constantFrom(...INSTANCES),
      worker: fc.nat(5),
      amount: fc.nat(40),
    });
    fc.assert(
      fc.property(fc.array(event, {maxLength: 100}), events => {
        const source = createAllocator(5, 4);
        const ledgers = createLedgers();
        for (const {type, instance, worker, amount} of events) {
          const ledger = ledgers.get(instance);
          const name = `w${worker}`;
          if (type === 'demand')
            source.setDemand(
              createDemand(instance, {a: amount, b: 40 - amount}),
            );
          if (type === 'use') ledger?.use(name);
          if (type === 'free') {
            const back = ledger?.free(name);
            if (back)
              source.releaseCredits(instance, back.worker, back.credits);
          }
          if (type === 'worker') {
            source.removeWorker(name);
            for (const each of ledgers.values()) each.removeWorker(name);
            source.setWorker({
              worker: name,
              rack: 'r',
              speedFactor: 1,
              capacity: createResources(4),
            });
          }
          if (type === 'allocate') applyAllocations(source, ledgers);
          source.checkInvariants();
          for (const each of ledgers.values()) each.checkInvariants();
          for (let index = 0; index < 6; index++) {
            const held = [...ledgers.values()].map(
              each => each.getCredits(`w${index}`).held,
            );
            expect(
              held.reduce((sum, credits) => sum + credits, 0),
            ).to.be.at.most(4);
          }
        }
      }),
      {seed: 4, numRuns: 200},
    );
  });
});
