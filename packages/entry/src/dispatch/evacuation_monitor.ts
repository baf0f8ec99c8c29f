/** Applies changes of the evacuated data centres to the dispatch. */
import {upstreamKey} from '@mustardferry/model';
import type {Logger} from '@mustardferry/runtime';

import type {UpstreamPool} from '../upstreams/upstream_pool.js';

/** Options of {@link EvacuationMonitor}. */
export interface EvacuationMonitorOptions {
  readonly pool: UpstreamPool;
  readonly logger: Logger;
  /** Called for each upstream of a readmitted data centre. */
  readonly onReadmitted: (upstream: string) => void;
  /** Called after the evacuated data centres have changed. */
  readonly onChange: () => void;
}

/** Compares each state of the control log with the one in effect. */
export class EvacuationMonitor {
  private current: readonly string[] = [];

  constructor(private readonly options: EvacuationMonitorOptions) {}

  /** Replaces the evacuated data centres; does nothing when they are the same. */
  setEvacuated(dataCentres: readonly string[]): void {
    const started = dataCentres.filter(name => !this.current.includes(name));
    const ended = this.current.filter(name => !dataCentres.includes(name));
    if (started.length === 0 && ended.length === 0) return;
    const {pool, logger, onChange} = this.options;
    this.current = [...dataCentres];
    pool.setEvacuated(dataCentres);
    for (const name of started) {
      logger.info('evacuation-started', this.describe(name));
    }
    for (const name of ended) {
      this.readmitUpstreams(name);
      logger.info('evacuation-ended', this.describe(name));
    }
    onChange();
  }

  private readmitUpstreams(dataCentre: string): void {
    const {pool, onReadmitted} = this.options;
    for (const announcement of pool.listAnnouncements()) {
      if (announcement.dataCentre !== dataCentre) continue;
      onReadmitted(upstreamKey(announcement));
    }
  }

  /**
   * Upstreams known here and runs of this instance in a data centre. Every log
   * line has a field `dataCentre`, that of the instance, so this one is named
   * differently.
   */
  private describe(evacuatedDataCentre: string) {
    const {pool} = this.options;
    let upstreams = 0;
    let runs = 0;
    for (const announcement of pool.listAnnouncements()) {
      if (announcement.dataCentre !== evacuatedDataCentre) continue;
      upstreams += 1;
      runs += pool.candidates.get(upstreamKey(announcement))?.running ?? 0;
    }
    return {evacuatedDataCentre, upstreams, runs};
  }
}
