import {computeAuditHash} from '@mustardferry/coordination';
import type {AuditEntry} from '@mustardferry/model';
import {expect} from 'chai';

import {type Reaction, type Received, runAgainst} from './stand_in.js';

function trail(length: number): AuditEntry[] {
  const entries: AuditEntry[] = [];
  for (let index = 1; index <= length; index++) {
    const content = {
      index,
      atMs: 5,
      operator: 'op',
      requestId: `r${index}`,
      action: 'answers-accepted' as const,
      team: 'a',
      fromRevision: index - 1,
      toRevision: index,
      before: '',
      after: 'ä"\n',
      detail: '',
    };
    entries.push({
      ...content,
      hash: computeAuditHash(entries.at(-1)?.hash ?? '', content),
    });
  }
  return entries;
}

/** Serves a trail in pages of two, as a server with a smaller page limit does. */
function servePages(entries: readonly AuditEntry[]) {
  return ({url}: Received): Reaction => {
    const after = Number(new URL(url, 'http://x').searchParams.get('after'));
    const from = entries.findIndex(entry => entry.index > after);
    const rest = from < 0 ? [] : entries.slice(from, from + 2);
    const previousHash =
      entries[(from < 0 ? entries.length : from) - 1]?.hash ?? '';
    return {
      status: 200,
      body: {
        entries: rest,
        previousHash,
        lastIndex: entries.at(-1)?.index ?? 0,
      },
    };
  };
}

describe('audit verify', () => {
  const whole = trail(5);
  const cases: readonly {
    title: string;
    entries: readonly AuditEntry[];
    code: number;
  }[] = [
    {
      title: 'accepts a whole trail over several pages',
      entries: whole,
      code: 0,
    },
    {title: 'accepts an empty trail', entries: [], code: 0},
    {
      title: 'finds a changed entry',
      entries: whole.map(entry =>
        entry.index === 3 ? {...entry, after: 'x'} : entry,
      ),
      code: 5,
    },
    {
      title: 'finds a removed entry',
      entries: whole.filter(entry => entry.index !== 4),
      code: 5,
    },
    {title: 'finds a removed start', entries: whole.slice(1), code: 5},
    {
      title: 'finds reordered entries',
      entries: [2, 1, 3].map(index => whole[index - 1] as AuditEntry),
      code: 5,
    },
    {
      title: 'finds an entry with a recomputed hash',
      entries: whole.map((entry, at) =>
        at === 1
          ? {
              ...entry,
              team: 'b',
              hash: computeAuditHash(whole[0]?.hash ?? '', {
                ...entry,
                team: 'b',
              }),
            }
          : entry,
      ),
      code: 5,
    },
  ];
  for (const {title, entries, code} of cases) {
    it(title, async () => {
      const result = await runAgainst(
        ['audit', 'verify', '--json'],
        servePages(entries),
      );
      expect(result.code, result.out).to.equal(code);
    });
  }

  it('follows the published rule, so that other programs can check it', () => {
    const [first] = whole;
    expect(first?.hash).to.equal(
      '4b75e3d4c337277a92c1d595de7821c381ced58de92efdbe1fd93df767ab02a9',
    );
  });

  it('accepts the hashes that instances compute, so that a sound trail is not reported as forged', () => {
    for (const [at, entry] of whole.entries()) {
      const previousHash = whole[at - 1]?.hash ?? '';
      expect(computeAuditHash(previousHash, entry)).to.equal(entry.hash);
    }
  });
});
