/** Orders to evacuate and to readmit data centres. */
import type {
  ChangeOrigin,
  FirstControlResult,
  SetEvacuatedCommand,
} from './control_messages.js';

/** Last order for a data centre, also stored in snapshots. */
export interface EvacuationRecord extends ChangeOrigin {
  readonly dataCentre: string;
  readonly evacuated: boolean;
  /** Epoch milliseconds on the clock of the proposer. */
  readonly changedAtMs: number;
}

/** Last orders by data centre. */
export class Evacuations {
  private readonly records: Map<string, EvacuationRecord>;

  constructor(from: readonly EvacuationRecord[] = []) {
    this.records = new Map(from.map(each => [each.dataCentre, each]));
  }

  get(dataCentre: string): EvacuationRecord | undefined {
    return this.records.get(dataCentre);
  }

  isEvacuated(dataCentre: string): boolean {
    return this.records.get(dataCentre)?.evacuated ?? false;
  }

  /**
   * Returns the result of an order. It must be based on the last one, so that a
   * delayed order can't undo a newer one; an order for the state in force is
   * accepted whatever its base.
   */
  check(command: SetEvacuatedCommand, index: number): FirstControlResult {
    const {dataCentre, evacuated, baseRevision} = command;
    const current = this.records.get(dataCentre);
    const revision = current?.revision ?? 0;
    // Commands of one log entry share its index, but a revision must identify
    // a single change.
    if (current && baseRevision === revision && revision !== index) {
      return {outcome: 'accepted', revision: index};
    }
    if (evacuated === this.isEvacuated(dataCentre)) {
      return {outcome: 'accepted', revision};
    }
    if (current === undefined) {
      if (baseRevision === 0) return {outcome: 'accepted', revision: index};
      const detail = `${dataCentre} was never evacuated`;
      return {outcome: 'invalid', code: 'no-such-revision', detail};
    }
    const {operator, requestId} = current;
    return {outcome: 'conflict', winner: {operator, requestId, revision}};
  }

  /**
   * Stores an accepted order. An order for the state in force raises the
   * revision only, so that an older, contrary one that comes late conflicts.
   */
  store(command: SetEvacuatedCommand, revision: number): void {
    const {dataCentre, evacuated, operator, requestId, atMs} = command;
    const current = this.records.get(dataCentre);
    if (evacuated === this.isEvacuated(dataCentre)) {
      if (current) this.records.set(dataCentre, {...current, revision});
      return;
    }
    this.records.set(dataCentre, {
      dataCentre,
      evacuated,
      revision,
      changedAtMs: atMs,
      operator,
      requestId,
    });
  }

  /** Last orders, sorted by data centre. */
  list(): readonly EvacuationRecord[] {
    const byName = [...this.records].sort(([a], [b]) => (a < b ? -1 : 1));
    return byName.map(([, record]) => record);
  }
}
