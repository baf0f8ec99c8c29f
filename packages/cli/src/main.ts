/** Entry point of the program. */
import {loadSettings} from '@mustardferry/config';
import {runInstance} from '@mustardferry/entry';

async function main(): Promise<number> {
  const [command, flag, file] = process.argv.slice(2);
  if (command !== 'run' || flag !== '--settings' || file === undefined) {
    process.stderr.write('usage: mustardferry run --settings FILE\n');
    return 2;
  }
  return runInstance(await loadSettings(file));
}

void main().then(code => process.exit(code));
