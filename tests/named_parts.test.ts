import {existsSync, readdirSync, readFileSync} from 'node:fs';
import {dirname, join, normalize, relative} from 'node:path';

import {expect} from 'chai';

import {ROOT} from './emitted_names.js';

function read(path: string): string {
  return readFileSync(join(ROOT, path), 'utf8');
}

interface Manifest {
  readonly name: string;
  readonly scripts: Readonly<Record<string, string>>;
  readonly dependencies?: Readonly<Record<string, string>>;
}

function manifestOf(folder: string): Manifest {
  return JSON.parse(read(join(folder, 'package.json'))) as Manifest;
}

const PACKAGE_NAMES = readdirSync(join(ROOT, 'packages'));

const PAGES = [
  'README.md',
  'examples/README.md',
  ...readdirSync(join(ROOT, 'docs'))
    .filter(name => name.endsWith('.md'))
    .map(name => `docs/${name}`),
  ...PACKAGE_NAMES.map(name => `packages/${name}/README.md`),
];

/** Folders whose contents are in the repository; `dist` and `out` are built. */
const NAMED_FILE =
  /`((?:packages|docs|examples|scripts|tests|\.ci)\/[\w./*-]*)`/g;

/** Files of the repository that a page names in backticks or as a link. */
function filesNamedIn(page: string): string[] {
  const text = read(page);
  const quoted = [...text.matchAll(NAMED_FILE)].map(match => match[1] ?? '');
  const links = [...text.matchAll(/\]\(([^)#:]+)(?:#[^)]*)?\)/g)].map(match =>
    relative(ROOT, normalize(join(ROOT, dirname(page), match[1] ?? ''))),
  );
  return [...quoted, ...links];
}

function exists(path: string): boolean {
  if (!path.includes('*')) return existsSync(join(ROOT, path));
  const folder = join(ROOT, dirname(path));
  const suffix = path.slice(path.lastIndexOf('*') + 1);
  return readdirSync(folder).some(name => name.endsWith(suffix));
}

describe('names in the pages', () => {
  for (const page of PAGES) {
    it(`${page} names only files that exist`, () => {
      expect(filesNamedIn(page).filter(path => !exists(path))).to.deep.equal(
        [],
      );
    });
  }

  it('name only npm scripts that exist, and every npm script', () => {
    const text = PAGES.map(read).join('\n');
    const named = [...text.matchAll(/npm run (?:-s )?([a-z][a-z:]*)/g)].map(
      match => match[1] ?? '',
    );
    if (/npm test\b/.test(text)) named.push('test');
    const {scripts} = manifestOf('.');
    expect([...new Set(named)].sort()).to.deep.equal(
      Object.keys(scripts).sort(),
    );
  });
});

describe('pages of public parts', () => {
  const parts = [
    'bench',
    'control-state',
    'decisions',
    'entry-instance',
    'peer-link',
    'replicated-log',
    'runtime',
    'storage',
    'submission-records',
    'upstream-link',
    'upstream-registry',
  ];
  const headings = [
    'What it does',
    'Example',
    'Options',
    'Errors',
    'When not to use it',
  ];
  for (const part of parts) {
    it(`${part}.md has the common headings in their order`, () => {
      const found = [...read(`docs/${part}.md`).matchAll(/^## (.+)$/gm)];
      const common = found
        .map(match => match[1] ?? '')
        .filter(heading => headings.includes(heading));
      expect(common).to.deep.equal(headings);
    });
  }
});

describe('packages of section 4.4 of the design page', () => {
  const section =
    read('docs/design.md').split('### 4.4')[1]?.split('### 4.5')[0] ?? '';
  const listed = [...section.matchAll(/^\| `([a-z]+)` \|/gm)].map(
    match => match[1] ?? '',
  );

  it('exist, and no others do', () => {
    expect([...listed].sort()).to.deep.equal([...PACKAGE_NAMES].sort());
  });

  for (const [position, name] of listed.entries()) {
    it(`${name} depends only on packages above it`, () => {
      const {dependencies = {}} = manifestOf(`packages/${name}`);
      const used = Object.keys(dependencies)
        .filter(dependency => dependency.startsWith('@mustardferry/'))
        .map(dependency => dependency.slice('@mustardferry/'.length));
      expect(listed.slice(0, position)).to.include.members(used);
    });
  }
});
