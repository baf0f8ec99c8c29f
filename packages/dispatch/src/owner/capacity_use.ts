/** Capacity of an upstream that runs use. */
import type {Step} from '../jobs/job_types.js';
import type {UpstreamRecord} from '../upstreams/upstream_types.js';
import type {ResourceVector} from './capacity_tree.js';

/**
 * Sums up the resources that runs use; runs that are being stopped still count.
 */
export class CapacityUse {
  private cpuMillis = 0;
  private memoryMb = 0;
  private accelerators = 0;
  /** Called after each change. */
  onChange: () => void = () => undefined;

  constructor(private record: UpstreamRecord) {}

  /** Applies a changed announcement. */
  update(record: UpstreamRecord): void {
    this.record = record;
    this.onChange();
  }

  /** Resources that no run uses. */
  get free(): ResourceVector {
    const {record} = this;
    return {
      cpuMillis: record.cpuMillis - this.cpuMillis,
      memoryMb: record.memoryMb - this.memoryMb,
      accelerators: record.accelerators - this.accelerators,
    };
  }

  get usedCpuMillis(): number {
    return this.cpuMillis;
  }

  fits(step: Step): boolean {
    const {record} = this;
    return (
      this.cpuMillis + step.cpuMillis <= record.cpuMillis &&
      this.memoryMb + step.memoryMb <= record.memoryMb &&
      this.accelerators + step.accelerators <= record.accelerators
    );
  }

  add(step: Step): void {
    this.cpuMillis += step.cpuMillis;
    this.memoryMb += step.memoryMb;
    this.accelerators += step.accelerators;
    this.onChange();
  }

  remove(step: Step): void {
    this.cpuMillis -= step.cpuMillis;
    this.memoryMb -= step.memoryMb;
    this.accelerators -= step.accelerators;
    this.onChange();
  }
}
