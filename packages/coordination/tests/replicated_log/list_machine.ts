/** State machine for tests of the log: a list of all commands. */
import {StateMachine} from '../../src/replicated_log/state_machine.js';

/** Called for each applied command. */
export type ApplyListener = (position: number, command: string) => void;

/** Appends commands; the result is the position of the command in the list. */
export class ListMachine extends StateMachine<string, number> {
  private readonly onApply: ApplyListener;
  items: string[] = [];

  constructor(onApply: ApplyListener = () => {}) {
    super();
    this.onApply = onApply;
  }

  override apply(command: string): number {
    this.items.push(command);
    this.onApply(this.items.length - 1, command);
    return this.items.length - 1;
  }

  override snapshot(): Uint8Array {
    return Buffer.from(JSON.stringify(this.items));
  }

  override restore(bytes: Uint8Array): void {
    this.items = JSON.parse(Buffer.from(bytes).toString()) as string[];
    this.items.forEach((command, position) => this.onApply(position, command));
  }
}
