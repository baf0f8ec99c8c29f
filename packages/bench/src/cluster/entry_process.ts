/** An entry instance as a real process of the bundled program. */
import {type ChildProcess, spawn} from 'node:child_process';
import {closeSync, openSync} from 'node:fs';
import {resolve} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

import {MustardferryError} from '@mustardferry/model';
import {request} from 'undici';

/** An entry instance did not become ready in time or ended by itself. */
export class EntryProcessError extends MustardferryError {
  readonly code = 'entry-process';
}

const BUNDLE = fileURLToPath(
  new URL('../../../../dist/mustardferry.cjs', import.meta.url),
);
const POLL_MS = 50;
/** A planned stop drains for 15 s at most; after that it counts as hung. */
const STOP_TIMEOUT_MS = 20_000;

/** Where an instance finds its settings and leaves its log. */
export interface EntryProcessOptions {
  readonly name: string;
  readonly listen: string;
  readonly settingsFile: string;
  readonly logFile: string;
}

/** Starts, stops and kills one instance, by the id of its process only. */
export class EntryProcess {
  private child: ChildProcess | undefined;
  private expectedEnd = true;
  private retired = false;
  /** Ends that nobody asked for. */
  unexpectedEnds = 0;
  /** Planned stops that did not end in time or not with code 0. */
  failedStops = 0;

  constructor(readonly options: EntryProcessOptions) {}

  get pid(): number | undefined {
    return this.running ? this.child?.pid : undefined;
  }

  get running(): boolean {
    const child = this.child;
    return (
      child !== undefined &&
      child.exitCode === null &&
      child.signalCode === null
    );
  }

  /** Starts the process without waiting for it to become ready. */
  start(): void {
    // A fault step that outlasts the run must not leave a process behind.
    if (this.retired) return;
    const log = openSync(this.options.logFile, 'a');
    const settings = resolve(this.options.settingsFile);
    const child = spawn(
      process.execPath,
      [BUNDLE, 'run', '--settings', settings],
      // A process group of its own, so that an interrupt reaches the bench first.
      {stdio: ['ignore', log, log], detached: true},
    );
    closeSync(log);
    this.child = child;
    this.expectedEnd = false;
    child.on('error', () => undefined);
    child.on('exit', () => {
      if (!this.expectedEnd && this.child === child) this.unexpectedEnds += 1;
    });
  }

  /** Ends the process at once, as a crash does. */
  async kill(): Promise<void> {
    await this.end('SIGKILL');
  }

  /** Kills the process for good; later starts have no effect. */
  async retire(): Promise<void> {
    this.retired = true;
    await this.kill();
  }

  /** Asks for a planned stop and waits for it. */
  async stop(): Promise<void> {
    const child = this.child;
    if (child === undefined || !this.running) return;
    const timer = setTimeout(() => child.kill('SIGKILL'), STOP_TIMEOUT_MS);
    await this.end('SIGTERM');
    clearTimeout(timer);
    if (child.exitCode !== 0) this.failedStops += 1;
  }

  /**
   * Waits until the instance reports that it is ready.
   *
   * @throws EntryProcessError when it ends or the time is up.
   */
  async ready(timeoutMs: number): Promise<void> {
    const deadline = performance.now() + timeoutMs;
    const {name, listen, logFile} = this.options;
    while (performance.now() < deadline) {
      if (!this.running) {
        throw new EntryProcessError(`${name} ended; see ${logFile}`);
      }
      if (await answersWithOk(`http://${listen}/readyz`)) return;
      await sleep(POLL_MS);
    }
    throw new EntryProcessError(
      `${name} not ready in ${timeoutMs} ms; see ${logFile}`,
    );
  }

  private async end(signal: NodeJS.Signals): Promise<void> {
    const child = this.child;
    if (child === undefined || !this.running) return;
    this.expectedEnd = true;
    const ended = new Promise(done => child.once('exit', done));
    child.kill(signal);
    await ended;
  }
}

async function answersWithOk(url: string): Promise<boolean> {
  try {
    const res = await request(url, {signal: AbortSignal.timeout(1_000)});
    await res.body.dump();
    return res.statusCode === 200;
  } catch {
    return false;
  }
}
