/** State machine of the example: one counter. */
import {StateMachine} from '@mustardferry/coordination';

/** Adds numbers; the result of a command is the sum after it. */
export class CounterMachine extends StateMachine<number, number> {
  private sum = 0;

  get value(): number {
    return this.sum;
  }

  override apply(command: number): number {
    this.sum += command;
    return this.sum;
  }

  override snapshot(): Uint8Array {
    return new TextEncoder().encode(String(this.sum));
  }

  override restore(bytes: Uint8Array): void {
    this.sum = Number(new TextDecoder().decode(bytes));
  }
}
