import {readFileSync} from 'node:fs';

import {expect} from 'chai';

import {COMMANDS} from '../src/commands.js';
import {VERSION} from '../src/version.js';
import {run} from './stand_in.js';

describe('command line', () => {
  const rejected: readonly {args: string; message: string}[] = [
    {
      args: 'explian x',
      message: 'unknown command "explian"; did you mean "explain"?',
    },
    {
      args: 'job sumbit x',
      message: 'unknown command "sumbit"; did you mean "submit"?',
    },
    {
      args: 'job submit x --kye=3',
      message: 'unknown flag "--kye"; did you mean "--key"?',
    },
    {args: 'explain', message: 'an argument of "explain <job>" is missing'},
    {
      args: 'version extra',
      message: 'unexpected argument "extra"; usage: version',
    },
    {args: 'run', message: 'Missing required argument: settings'},
    {args: 'job', message: 'a command is missing: submit, watch, cancel'},
    {args: 'shares --url', message: 'Not enough arguments following: url'},
    {args: 'shares --url here', message: '"here" is not a URL'},
    {
      args: 'shares --url http://127.0.0.1:1/api',
      message: 'must have no path',
    },
    {
      args: 'shares --timeout-ms 1s',
      message: '--timeout-ms must be a whole number',
    },
    {args: 'drain', message: 'drain needs exactly one --url'},
    {
      args: 'questionnaire write --team a.b',
      message: '"a.b" is not a valid name',
    },
    {args: 'job submit - --key a --home b', message: '--home has no effect'},
  ];
  for (const {args, message} of rejected) {
    it(`rejects "${args}" as a usage error instead of guessing`, async () => {
      const {code, err} = await run(args.split(' '));
      expect(err).to.include(message);
      expect(code).to.equal(2);
    });
  }

  for (const {path, examples, flags} of COMMANDS) {
    it(`shows help with flags and examples for "${path.join(' ')}"`, async () => {
      const {code, out} = await run([...path, '--help']);
      expect(code).to.equal(0);
      for (const flag of Object.keys(flags))
        expect(out).to.include(`--${flag}`);
      for (const [, text] of examples) expect(out).to.include(text);
      expect(out).to.include('Exit codes:');
    });
  }

  it('prints the version of package.json, so that reports name the right one', async () => {
    const file = new URL('../package.json', import.meta.url);
    const manifest = JSON.parse(readFileSync(file, 'utf8')) as {
      version: string;
    };
    expect(VERSION).to.equal(manifest.version);
    expect((await run(['--version'])).out).to.equal(`${VERSION}\n`);
    expect((await run(['version'])).out).to.include(VERSION);
  });

  it('passes loaded settings and the exit code of the instance through', async () => {
    const file = new URL(
      '../../../examples/deployment/entry-east-1.ini',
      import.meta.url,
    );
    let name = '';
    const {code} = await run(['run', '--settings', file.pathname], {
      runInstance: async settings => {
        name = settings.name;
        return 7;
      },
    });
    expect([code, name]).to.deep.equal([7, 'entry-east-1']);
  });
});
