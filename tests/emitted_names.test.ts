import {readFileSync} from 'node:fs';
import {join} from 'node:path';

import {expect} from 'chai';

import {type Emission, findEmissions, ROOT} from './emitted_names.js';

const METRIC_TYPES: Readonly<Record<string, string>> = {
  increment: 'counter',
  gauge: 'gauge',
  timing: 'timer',
};

/** Cells of the rows whose first cell is a name in backticks. */
function rowsOf(page: string): readonly (readonly string[])[] {
  const text = readFileSync(join(ROOT, 'docs', page), 'utf8');
  return text
    .split('\n')
    .filter(line => line.startsWith('| `'))
    .map(line => line.split('|').slice(1, -1))
    .map(cells => cells.map(cell => cell.trim()));
}

/** Names in backticks of a cell, sorted. */
function namesIn(cell = ''): string {
  return [...cell.matchAll(/`([^`]+)`/g)]
    .map(match => match[1])
    .sort()
    .join();
}

function unique(names: readonly string[]): string[] {
  return [...new Set(names)].sort();
}

describe('pages of emitted names', () => {
  let events: readonly Emission[] = [];
  let metrics: readonly Emission[] = [];

  before(function () {
    // Type-checks all packages, as names and fields come from types.
    this.timeout(120_000);
    ({events, metrics} = findEmissions());
  });

  it('finds emissions at all, so that an empty comparison can not pass', () => {
    expect(events).to.have.length.above(20);
    expect(metrics).to.have.length.above(5);
  });

  it('logs.md has each event with level and fields, and no others', () => {
    const emitted = events.map(
      ({name, method, members}) => `${name} ${method} ${members.join()}`,
    );
    const documented = rowsOf('logs.md').map(
      ([name, level, fields]) => `${namesIn(name)} ${level} ${namesIn(fields)}`,
    );
    expect(documented.sort()).to.deep.equal(unique(emitted));
  });

  it('metrics.md has each metric with type and tags, and no others', () => {
    const emitted = metrics.map(
      ({name, method, members}) =>
        `${name} ${METRIC_TYPES[method]} ${members.join()}`,
    );
    const documented = rowsOf('metrics.md').map(
      ([name, type, , tags]) => `${namesIn(name)} ${type} ${namesIn(tags)}`,
    );
    expect(documented.sort()).to.deep.equal(unique(emitted));
  });

  it('every row tells its meaning and what to do', () => {
    for (const row of [...rowsOf('logs.md'), ...rowsOf('metrics.md')]) {
      for (const cell of row) expect(cell, row[0]).not.to.equal('');
    }
  });
});
