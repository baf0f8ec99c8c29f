/** Starts the owner's warm-up of a member once the member has a vote. */
import type {Closable} from '@mustardferry/runtime';

import {OwnerWarmUp, type OwnerWarmUpOptions} from './owner_warm_up.js';

/** Options of the warm-up of a member. */
export interface VoterWarmUpOptions extends OwnerWarmUpOptions {
  /** Whether to warm up at all; false by default. */
  readonly warmUp?: boolean;
}

/**
 * Only voters can lead. Most members of a large deployment have no vote, and
 * their warm-ups would take more processor time than their service.
 */
export class VoterWarmUp implements Closable {
  readonly name = 'voter-warm-up';
  private warmUp: OwnerWarmUp | null = null;

  constructor(private readonly options: VoterWarmUpOptions) {}

  get hasStarted(): boolean {
    return this.warmUp !== null;
  }

  /** Starts the warm-up at the first call with a vote. */
  update(isVoter: boolean): void {
    if (!isVoter || !this.options.warmUp) return;
    this.warmUp ??= new OwnerWarmUp(this.options);
  }

  async close(): Promise<void> {
    await this.warmUp?.close();
  }
}
