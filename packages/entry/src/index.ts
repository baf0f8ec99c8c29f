import type {InstanceSettings} from '@mustardferry/model';

/** Starts an entry instance; resolves to the exit code of the process. */
export async function runInstance(
  _settings: InstanceSettings,
): Promise<number> {
  process.stderr.write('this build does not contain the entry instance\n');
  return 1;
}
