/** Data centres that operators have evacuated, as part of the replicated state. */

/** State of one data centre that was evacuated at least once. */
export interface EvacuationRecord {
  readonly dataCentre: string;
  /** Whether no task may start there. */
  readonly evacuated: boolean;
  /** Number of the last order, from 1; 0 before the first one. */
  readonly revision: number;
  /**
   * When `evacuated` last changed, in epoch milliseconds by the clock of the
   * leader that proposed the change.
   */
  readonly changedAt: number;
  /** Who ordered the change. */
  readonly operator: string;
}

/** An order to evacuate a data centre or to readmit it. */
export interface EvacuationChange {
  readonly dataCentre: string;
  readonly evacuated: boolean;
  /** Revision of the record that the order replaces. */
  readonly basedOn: number;
  /** Epoch milliseconds. */
  readonly at: number;
  readonly operator: string;
}

/** Audit entry of one evacuation. */
export interface EvacuationPeriod {
  readonly dataCentre: string;
  readonly startedAt: number;
  readonly startedBy: string;
  /** Null while the evacuation is in force. */
  readonly endedAt: number | null;
  readonly endedBy: string | null;
}

/** Stored form of the table. */
export interface EvacuationSnapshot {
  readonly records: readonly EvacuationRecord[];
  readonly history: readonly EvacuationPeriod[];
}

/** Maximum number of audit entries; the oldest ones are dropped. */
const MAX_HISTORY = 256;

/** Replicated table of evacuations; changes are deterministic. */
export class EvacuationTable {
  private readonly byDataCentre = new Map<string, EvacuationRecord>();
  private periods: EvacuationPeriod[] = [];

  get records(): readonly EvacuationRecord[] {
    return [...this.byDataCentre.values()];
  }

  /** Evacuations in the order of their start. */
  get history(): readonly EvacuationPeriod[] {
    return this.periods;
  }

  isEvacuated(dataCentre: string): boolean {
    return this.byDataCentre.get(dataCentre)?.evacuated ?? false;
  }

  /** Returns the record of a data centre; its revision is 0 if it has none. */
  get(dataCentre: string): EvacuationRecord {
    return (
      this.byDataCentre.get(dataCentre) ?? {
        dataCentre,
        evacuated: false,
        revision: 0,
        changedAt: 0,
        operator: '',
      }
    );
  }

  /**
   * Applies an order unless another one came since it was given: an order that
   * arrives late must not undo a newer one. So an order for the state that
   * holds raises the revision, too.
   *
   * @returns Whether the data centre was evacuated or readmitted.
   */
  apply(change: EvacuationChange): boolean {
    const {dataCentre, evacuated, basedOn, at, operator} = change;
    const present = this.get(dataCentre);
    if (present.revision !== basedOn) return false;
    const revision = basedOn + 1;
    if (present.evacuated === evacuated) {
      this.byDataCentre.set(dataCentre, {...present, revision});
      return false;
    }
    this.byDataCentre.set(dataCentre, {
      dataCentre,
      evacuated,
      revision,
      changedAt: at,
      operator,
    });
    if (evacuated) this.startPeriod(change);
    else this.endPeriod(change);
    return true;
  }

  snapshot(): EvacuationSnapshot {
    return {records: this.records, history: this.periods};
  }

  /** @param content Absent in snapshots of earlier programs. */
  restore(content: EvacuationSnapshot | undefined): void {
    this.byDataCentre.clear();
    for (const record of content?.records ?? []) {
      this.byDataCentre.set(record.dataCentre, record);
    }
    this.periods = [...(content?.history ?? [])];
  }

  private startPeriod({dataCentre, at, operator}: EvacuationChange): void {
    this.periods.push({
      dataCentre,
      startedAt: at,
      startedBy: operator,
      endedAt: null,
      endedBy: null,
    });
    if (this.periods.length > MAX_HISTORY) this.periods.shift();
  }

  private endPeriod({dataCentre, at, operator}: EvacuationChange): void {
    this.periods = this.periods.map(period =>
      period.dataCentre === dataCentre && period.endedAt === null
        ? {...period, endedAt: at, endedBy: operator}
        : period,
    );
  }
}
