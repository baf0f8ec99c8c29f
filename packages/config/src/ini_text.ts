/**
 * Reading of INI text in the dialect of the `ini` package. That package merges
 * repeated sections, lets the last of repeated keys win and skips lines that it
 * can't read, all silently, so these cases are detected in the text.
 */
import {parse} from 'ini';

import type {ConfigProblem} from './problems.js';

/** One section: its keys and values, in file order. */
export interface IniSection {
  readonly name: string;
  readonly values: ReadonlyMap<string, string>;
}

/** Sections of a text and the problems found in its form. */
export interface IniDocument {
  readonly sections: readonly IniSection[];
  readonly problems: readonly ConfigProblem[];
}

interface OpenSection {
  readonly name: string;
  readonly lines: string[];
  readonly keys: Set<string>;
}

const SECTION_LINE = /^\[([^\]]+)\]\s*$/;
const SKIPPED_LINE = /^\s*([;#].*)?$/;

function checkKeyLine(line: string, section: OpenSection): string | undefined {
  const equals = line.indexOf('=');
  const key = (equals < 0 ? line : line.slice(0, equals)).trim();
  if (equals < 0) return 'the line has no "="';
  if (!/^[A-Za-z][A-Za-z0-9_-]*$/.test(key)) {
    return `"${key}" is not a valid key; use letters, digits, "_" and "-"`;
  }
  if (section.keys.has(key)) return `"${key}" is given twice`;
  section.keys.add(key);
  return undefined;
}

function readValues(section: OpenSection): IniSection {
  // Each section is parsed by itself, as `ini` nests names that contain dots.
  const parsed = parse(section.lines.join('\n'));
  const values = new Map<string, string>();
  for (const key of section.keys) values.set(key, String(parsed[key]));
  return {name: section.name, values};
}

/** Parses `text`; `file` is used in problems only. */
export function parseIni(text: string, file: string): IniDocument {
  const problems: ConfigProblem[] = [];
  const sections = new Map<string, OpenSection>();
  let current: OpenSection | undefined;
  const report = (line: number, section: string, reason: string) =>
    problems.push({file, section, key: '', reason: `line ${line}: ${reason}`});

  for (const [index, line] of text.split(/\r\n|\n|\r/).entries()) {
    const number = index + 1;
    if (SKIPPED_LINE.test(line)) continue;
    if (line.trimStart().startsWith('[')) {
      const name = SECTION_LINE.exec(line)?.[1]?.trim();
      if (name === undefined) {
        report(number, '', `"${line.trim()}" is not a valid section line`);
        continue;
      }
      if (sections.has(name)) report(number, name, 'is declared twice');
      current = sections.get(name) ?? {name, lines: [], keys: new Set()};
      sections.set(name, current);
    } else if (current === undefined) {
      report(number, '', `"${line.trim()}" is outside of any section`);
    } else {
      const reason = checkKeyLine(line, current);
      if (reason === undefined) current.lines.push(line);
      else report(number, current.name, reason);
    }
  }
  return {sections: [...sections.values()].map(readValues), problems};
}

/** Writes a value so that `parseIni` reads back exactly the same text. */
export function formatIniValue(value: string): string {
  return /^[A-Za-z0-9_./:, -]*$/.test(value) && value === value.trim()
    ? value
    : JSON.stringify(value);
}
