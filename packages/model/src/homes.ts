/** Where a submission is owned. */

/** Data centre and record group that own a submission. */
export interface Home {
  readonly dataCentre: string;
  readonly group: number;
  /** `<dataCentre>.<group>.<hash>`; names the owner group by itself. */
  readonly jobId: string;
}
