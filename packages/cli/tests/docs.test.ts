import {readFileSync} from 'node:fs';

import {
  KIND_SCHEMA,
  SECTION_NAMES,
  SETTINGS_KEYS,
  TEAM_SCHEMA,
} from '@mustardferry/config';
import {PROBLEM_CATALOG} from '@mustardferry/entry';
import {expect} from 'chai';

import {COMMANDS} from '../src/commands.js';
import {EXIT} from '../src/exit_codes.js';

function readDoc(name: string): string {
  return readFileSync(
    new URL(`../../../docs/${name}`, import.meta.url),
    'utf8',
  );
}

/** Sections of a page by title; each holds its text up to the next title. */
function sectionsOf(page: string): ReadonlyMap<string, string> {
  const parts = readDoc(page).split(/^## /m).slice(1);
  return new Map(
    parts.map(part => {
      const end = part.indexOf('\n');
      return [part.slice(0, end), part.slice(end)];
    }),
  );
}

/** First cells of table rows, without backticks, with the second cells. */
function rowsOf(text: string): readonly (readonly [string, string])[] {
  return [...text.matchAll(/^\| `([^`]+)` \| ([^|]*) \|/gm)].map(
    ([, first = '', second = '']) => [first, second] as const,
  );
}

describe('reference pages', () => {
  it('document every settings key with its default, and no others', () => {
    const documented = [...sectionsOf('settings.md')].flatMap(([title, text]) =>
      rowsOf(text).map(row => [title, ...row].join(' ')),
    );
    const existing = SETTINGS_KEYS.map(({section, key, defaultText}) => {
      const text = defaultText === '' ? '(empty)' : (defaultText ?? 'required');
      return `[${section}] ${key} ${text}`;
    });
    expect(documented).to.have.members(existing);
    const titles = SECTION_NAMES.map(name => `[${name}]`);
    expect([...sectionsOf('settings.md').keys()]).to.have.members(titles);
  });

  const questionnaire = [
    {title: '[team]', schema: TEAM_SCHEMA},
    {title: '[kind NAME]', schema: KIND_SCHEMA},
  ];
  for (const {title, schema} of questionnaire) {
    it(`document every answer of ${title}, and no others`, () => {
      const text = sectionsOf('questionnaire.md').get(title) ?? '';
      const keys = rowsOf(text).map(([key]) => key);
      expect(keys).to.have.members(Object.keys(schema.shape));
    });
  }

  it('document every command with its flags, and no others', () => {
    const sections = sectionsOf('cli.md');
    const names = COMMANDS.map(command => command.path.join(' '));
    expect([...sections.keys()]).to.have.members(names);
    for (const {path, flags} of COMMANDS) {
      const text = sections.get(path.join(' ')) ?? '';
      const existing = Object.keys(flags).map(flag => `--${flag}`);
      const documented = rowsOf(text).map(([flag]) => flag);
      expect(documented, path.join(' ')).to.have.members(existing);
    }
  });

  it('document every exit code, and no others', () => {
    const codes = [...readDoc('cli.md').matchAll(/^\| (\d) \|/gm)];
    const documented = codes.map(match => Number(match[1]));
    expect(documented).to.have.members(Object.values(EXIT));
  });

  it('list the error codes as implemented, in errors.md and in the API description', () => {
    const api = JSON.parse(readDoc('openapi.json')) as {
      components: {
        schemas: {Problem: {properties: {code: {enum: readonly string[]}}}};
      };
    };
    const rows = [
      ...readDoc('errors.md').matchAll(
        /^\| `([a-z-]+)` \| (\d{3}) \| ([a-z-]+)/gm,
      ),
    ];
    const documented = rows.map(match => match[1]);
    const described = rows.map(match => match.slice(1).join(' '));
    const implemented = Object.entries(PROBLEM_CATALOG).map(
      ([name, {status, outcome}]) => `${name} ${status} ${outcome}`,
    );
    expect(described).to.have.members(implemented);
    const {code} = api.components.schemas.Problem.properties;
    expect(documented).to.have.members([...code.enum]);
  });

  it('describe every route of the design page', () => {
    const api = JSON.parse(readDoc('openapi.json')) as {
      paths: Readonly<Record<string, object>>;
    };
    const described = Object.entries(api.paths).flatMap(([path, methods]) =>
      Object.keys(methods).map(method => `${method.toUpperCase()} ${path}`),
    );
    const design = readDoc('design.md');
    const designed = [
      ...design.matchAll(/`(GET|POST|PUT|DELETE) (\/[^`\s]+)`/g),
    ].map(match => `${match[1]} ${match[2]?.replace(/:(\w+)/g, '{$1}')}`);
    expect(designed).to.have.length.above(15);
    for (const route of designed) expect(described).to.include(route);
  });
});
