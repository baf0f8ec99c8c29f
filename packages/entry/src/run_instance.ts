/** Runs an entry instance until a signal stops it. */
import type {InstanceSettings} from '@mustardferry/model';
import {createLogger} from '@mustardferry/runtime';

import {EntryInstance} from './instance.js';

/** Exit code of a second signal during a graceful shutdown. */
const EXIT_FORCED = 130;

/**
 * Starts an instance and resolves with the exit code once it has stopped. The
 * first SIGTERM or SIGINT drains it, a second one ends the process at once.
 */
export async function runInstance(settings: InstanceSettings): Promise<number> {
  const {name, dataCentre, logLevel} = settings;
  const logger = createLogger(logLevel, {instance: name, dataCentre});
  let instance: EntryInstance;
  try {
    instance = await EntryInstance.start({settings, logger});
  } catch (err) {
    logger.error('start-failed', {err});
    process.stderr.write(`mustardferry: ${describe(err)}\n`);
    return 1;
  }
  return new Promise(resolve => {
    let signals = 0;
    const onSignal = (signal: NodeJS.Signals): void => {
      signals += 1;
      logger.info('signal-received', {signal, count: signals});
      if (signals > 1) process.exit(EXIT_FORCED);
      instance
        .drain()
        .then(() => resolve(0))
        .catch((err: unknown) => {
          logger.error('drain-failed', {err});
          resolve(1);
        });
    };
    process.on('SIGTERM', onSignal);
    process.on('SIGINT', onSignal);
  });
}

function describe(err: unknown): string {
  if (!(err instanceof Error)) return String(err);
  return err.cause instanceof Error
    ? `${err.message}: ${err.cause.message}`
    : err.message;
}
