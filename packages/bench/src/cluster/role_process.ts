/** Child processes of the bench that are driven by calls over their channel. */
import {type ChildProcess, fork} from 'node:child_process';
import {fileURLToPath} from 'node:url';

/** Calls that a role process answers. */
export type RoleCalls = Record<string, (argument: never) => unknown>;

interface CallMessage {
  readonly id: number;
  readonly name: string;
  readonly argument: unknown;
}

interface ReplyMessage {
  readonly id: number;
  readonly value?: unknown;
  readonly error?: string;
}

/** Time that a role process gets to end by itself. */
const CLOSE_TIMEOUT_MS = 2_000;

/** Answers the parent's calls; ends this process when the parent is gone. */
export function serveParent(calls: RoleCalls): void {
  process.on('message', message => {
    const {id, name, argument} = message as CallMessage;
    void (async () => {
      try {
        const value = await calls[name]?.(argument as never);
        process.send?.({id, value} satisfies ReplyMessage);
      } catch (err) {
        process.send?.({id, error: String(err)} satisfies ReplyMessage);
      }
    })();
  });
  process.on('disconnect', () => process.exit(0));
  // The parent decides when to end; an interrupt reaches the whole group.
  process.on('SIGINT', () => undefined);
}

/** One role process, as its parent sees it. */
export class RoleProcess {
  private readonly waiting = new Map<
    number,
    {resolve: (value: unknown) => void; reject: (err: Error) => void}
  >();
  private nextId = 1;
  private readonly child: ChildProcess;

  /** `file` is relative to the bench's source folder. */
  constructor(readonly file: string) {
    const path = fileURLToPath(new URL(`../${file}`, import.meta.url));
    this.child = fork(path, [], {
      execArgv: ['--conditions=source', '--import=tsx'],
      serialization: 'advanced',
    });
    this.child.on('message', message => {
      const {id, value, error} = message as ReplyMessage;
      const call = this.waiting.get(id);
      this.waiting.delete(id);
      if (error === undefined) call?.resolve(value);
      else call?.reject(new Error(`${file}: ${error}`));
    });
    this.child.on('exit', code => {
      for (const call of this.waiting.values()) {
        call.reject(new Error(`${file} ended with code ${code}`));
      }
      this.waiting.clear();
    });
  }

  /** Calls a function of the child; rejects when the child ends. */
  call<T>(name: string, argument?: unknown): Promise<T> {
    const id = this.nextId++;
    return new Promise<T>((resolve, reject) => {
      this.waiting.set(id, {resolve: v => resolve(v as T), reject});
      this.child.send({id, name, argument} satisfies CallMessage, err => {
        if (err === null) return;
        this.waiting.delete(id);
        reject(err);
      });
    });
  }

  /** Ends the child, by force when it doesn't end by itself. */
  async close(): Promise<void> {
    if (this.child.exitCode !== null || this.child.signalCode !== null) return;
    const ended = new Promise(resolve => this.child.once('exit', resolve));
    if (this.child.connected) this.child.disconnect();
    const timer = setTimeout(
      () => this.child.kill('SIGKILL'),
      CLOSE_TIMEOUT_MS,
    );
    await ended;
    clearTimeout(timer);
  }
}
