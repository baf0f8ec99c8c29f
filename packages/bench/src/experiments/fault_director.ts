/** Carries out the fault steps of a scenario against a cluster. */
import {setTimeout as sleep} from 'node:timers/promises';

import type {Cluster} from '../cluster/cluster.js';
import type {FaultStep, Scenario} from '../load/scenario.js';
import {dataCentreNames, type TraceWorker} from '../load/trace.js';
import type {RelayFault} from '../relay/relay.js';
import type {WorkerFault} from '../workers/stand_in_worker.js';

/** What a director needs of a cluster. */
export type FaultTarget = Pick<
  Cluster,
  'entry' | 'instances' | 'injectWorker' | 'injectRelay'
>;

/** Waits between the instances of a rolling restart until one is ready. */
const READY_TIMEOUT_MS = 20_000;
/** Spreads picked workers over data centres and speeds; prime to 30 and 40. */
const PICK_STRIDE = 7;

/** Both directions between places; one place means all others. */
export function cutsOf(
  targets: readonly string[],
  places: readonly string[],
  bothWays: boolean,
): RelayFault[] {
  const [from = '', to] = targets;
  const others = to === undefined ? places.filter(p => p !== from) : [to];
  return others.flatMap((other): RelayFault[] => [
    {fault: 'cut', from, to: other},
    ...(bothWays ? [{fault: 'cut' as const, from: other, to: from}] : []),
  ]);
}

/** Runs the steps at their times. */
export class FaultDirector {
  readonly errors: string[] = [];
  private readonly stop = new AbortController();

  constructor(
    private readonly cluster: FaultTarget,
    private readonly scenario: Scenario,
    private readonly workers: readonly TraceWorker[],
  ) {}

  /** Resolves when every step has ended; failed steps are listed. */
  async run(): Promise<void> {
    const steps = Object.entries(this.scenario.faults);
    await Promise.all(
      steps.map(async ([name, step]) => {
        try {
          await this.pause(step.atS);
          await this.perform(step);
        } catch (err) {
          if (!this.stop.signal.aborted) this.errors.push(`${name}: ${err}`);
        }
      }),
    );
  }

  /** Drops the steps that are still to come. */
  cancel(): void {
    this.stop.abort();
  }

  private pause(seconds: number): Promise<void> {
    return sleep(seconds * 1_000, undefined, {signal: this.stop.signal});
  }

  private async perform(step: FaultStep): Promise<void> {
    switch (step.action) {
      case 'straggle':
        return this.onWorkers(step, {fault: 'straggle', factor: step.amount});
      case 'fail':
        return this.onWorkers(step, {fault: 'fail', failing: step.amount > 0});
      case 'freeze':
      case 'vanish':
      case 'leave':
        return this.onWorkers(step, {fault: step.action});
      case 'restart-worker':
        return this.onWorkers(step, {fault: 'restart'});
      case 'kill':
      case 'stop':
        return this.onInstances(step, step.action);
      case 'rolling-restart':
        return this.rollingRestart();
      case 'cut':
      case 'cut-one-way':
        return this.cut(step);
      case 'heal':
        return this.cluster.injectRelay({fault: 'heal'});
      case 'silence': {
        const [from = '', to = from] = step.targets;
        return this.cluster.injectRelay({fault: 'silence', from, to});
      }
    }
  }

  private async cut(step: FaultStep): Promise<void> {
    const places = dataCentreNames(this.scenario);
    const bothWays = step.action === 'cut';
    for (const fault of cutsOf(step.targets, places, bothWays)) {
      await this.cluster.injectRelay(fault);
    }
  }

  private async onWorkers(step: FaultStep, fault: WorkerFault): Promise<void> {
    const picked =
      step.targets.length > 0
        ? step.targets
        : Array.from({length: step.count}, (_, i) => {
            const index = (3 + i * PICK_STRIDE) % this.workers.length;
            return this.workers[index]?.worker ?? '';
          });
    await Promise.all(picked.map(w => this.cluster.injectWorker(w, fault)));
  }

  private async onInstances(
    step: FaultStep,
    how: 'kill' | 'stop',
  ): Promise<void> {
    const all = this.cluster.instances.map(instance => instance.name);
    const picked =
      step.targets.length > 0 ? step.targets : all.slice(0, step.count);
    await Promise.all(
      picked.map(async name => {
        const entry = this.cluster.entry(name);
        await (how === 'kill' ? entry.kill() : entry.stop());
        await this.pause(step.amount);
        entry.start();
      }),
    );
  }

  private async rollingRestart(): Promise<void> {
    for (const {name} of this.cluster.instances) {
      this.stop.signal.throwIfAborted();
      const entry = this.cluster.entry(name);
      await entry.stop();
      entry.start();
      await entry.ready(READY_TIMEOUT_MS);
    }
  }
}
