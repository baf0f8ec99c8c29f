/** Location of the owner of a submission. */

/** Data centre and record group that own a submission. */
export interface Home {
  readonly dataCentre: string;
  readonly group: number;
  /** `<dataCentre>.<group>.<hash>`; identifies the owning group on its own. */
  readonly jobId: string;
}
