/** Durable state of an instance, in its data folder. */
import {
  type ControlCommand,
  type LogStorage,
  MemoryLogStorage,
  type RecordsCommand,
} from '@mustardferry/coordination';
import type {InstanceSettings} from '@mustardferry/model';

/** Opens the storages of the logs that this instance takes part in. */
export class InstanceStorage {
  private constructor(readonly control: LogStorage<ControlCommand> | null) {}

  static async open(settings: InstanceSettings): Promise<InstanceStorage> {
    const votes = settings.controlVoters.includes(settings.name);
    return new InstanceStorage(votes ? new MemoryLogStorage() : null);
  }

  async openGroup(
    _group: string,
    _generation: number,
    _incarnation: string,
  ): Promise<LogStorage<RecordsCommand> | null> {
    return this.control === null ? null : new MemoryLogStorage();
  }

  async close(): Promise<void> {}
}
