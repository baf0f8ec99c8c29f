import {expect} from 'chai';
import {parse} from 'ini';

import {scaleShare, withQueueLimit} from '../../src/cluster/answers_files.js';
import {
  addressesFrom,
  type LayoutOptions,
  planInstances,
  planLinks,
  settingsText,
} from '../../src/cluster/layout.js';
import {policyNamed, UnknownPolicyError} from '../../src/cluster/policies.js';
import {parseUsage} from '../../src/cluster/process_usage.js';
import {generatedAnswers} from '../../src/experiments/capacity_axes.js';
import {cutsOf} from '../../src/experiments/fault_director.js';
import {linearFit} from '../../src/measures/linear_fit.js';

const OPTIONS: LayoutOptions = {
  dataCentres: ['dc1', 'dc2'],
  instances: 4,
  betweenMs: 0.5,
  clientMs: 3,
  relayInside: false,
};
const INSTANCES = planInstances(OPTIONS, [101, 102, 103, 104]);

describe('layout', () => {
  it('gives each data centre one disk, or control has no voter there', () => {
    expect(INSTANCES.map(i => [i.dataCentre, i.disk])).to.deep.equal([
      ['dc1', true],
      ['dc1', false],
      ['dc2', true],
      ['dc2', false],
    ]);
  });

  it('delays links between places and to clients, and none inside', () => {
    const links = planLinks(OPTIONS, INSTANCES);
    const delays = (from: string) =>
      links.filter(each => each.from === from).map(each => each.delayMs);
    expect(delays('dc1')).to.deep.equal([0.5, 0.5]);
    expect(delays('clients')).to.deep.equal([3, 3, 3, 3]);
    const inside = planLinks({...OPTIONS, relayInside: true}, INSTANCES);
    const dc1 = inside.filter(each => each.from === 'dc1');
    expect(dc1.map(each => each.delayMs)).to.deep.equal([0, 0, 0.5, 0.5]);
  });

  it('writes settings with relay addresses for other places only', () => {
    const [self] = INSTANCES;
    if (self === undefined) throw new Error('no instance');
    const links = planLinks(OPTIONS, INSTANCES);
    const ports = links.map((_, index) => 900 + index);
    const text = settingsText({
      self,
      instances: INSTANCES,
      addresses: addressesFrom('dc1', INSTANCES, links, ports),
      dataFolder: '/data',
      policies: policyNamed('fifo-random'),
      logLevel: 'warn',
    });
    expect(parse(text)).to.deep.include({
      instances: {
        e1: '127.0.0.1:101, dc1, disk',
        e2: '127.0.0.1:102, dc1, no-disk',
        e3: '127.0.0.1:900, dc2, disk',
        e4: '127.0.0.1:901, dc2, no-disk',
      },
      control: {voters: 'e1, e3'},
      policies: {
        routing: 'random',
        sharing: 'first-in-first-out',
        hedging: 'off',
      },
    });
  });

  it('names the known policies when one is misspelled', () => {
    expect(() => policyNamed('fifo')).to.throw(
      UnknownPolicyError,
      /fifo-random/,
    );
  });

  it('scales shares and changes limits without touching other answers', () => {
    const text = generatedAnswers('t1');
    expect(scaleShare(text, 0.5)).to.deep.equal({
      team: 't1',
      text: text.replace('share_percent = 0.1', 'share_percent = 0.05'),
    });
    expect(withQueueLimit('a = 1\nqueue_limit = 5\n', 7)).to.equal(
      'a = 1\nqueue_limit = 7\n',
    );
  });
});

describe('cutsOf', () => {
  const cases = [
    ['one place from all others', ['dc1'], true, 4],
    ['two places from each other', ['dc1', 'dc2'], true, 2],
    ['one direction', ['dc1', 'dc2'], false, 1],
  ] as const;
  for (const [what, targets, bothWays, count] of cases) {
    it(`cuts ${what}`, () => {
      const places = ['dc1', 'dc2', 'dc3'];
      expect(cutsOf(targets, places, bothWays)).to.have.length(count);
    });
  }
});

describe('linearFit', () => {
  it('finds slope and intercept of an exact line', () => {
    const points = [0, 1, 2, 3].map(x => ({x, y: 2 * x + 1}));
    const exact = {slope: 2, intercept: 1, slopeError: 0, r2: 1};
    expect(linearFit(points)).to.deep.equal(exact);
  });

  it('reports the standard error of a scattered slope', () => {
    const points = [0, 2, 1, 3].map((y, x) => ({x, y}));
    const fit = linearFit(points);
    expect(fit.slope).to.be.closeTo(0.8, 1e-12);
    // Residuals -0.3, 0.9, -0.9, 0.3: sqrt(1.8 / 2 / 5).
    expect(fit.slopeError).to.be.closeTo(Math.sqrt(0.18), 1e-12);
  });
});

describe('parseUsage', () => {
  it('reads past a command name with spaces and parentheses', () => {
    const stat = '7 (a (b) c) S 1 2 3 4 5 6 7 8 9 10 50 25 0 0 20';
    const status = 'Name:\tx\nVmRSS:\t  2048 kB\n';
    expect(parseUsage(stat, status)).to.deep.equal({
      cpuMs: 750,
      residentMb: 2,
    });
  });
});
