/** Creates the dispatcher and its components from the settings. */
import {
  RetryBudget,
  RunTimeEstimator,
  type SharingPolicy,
} from '@mustardferry/decisions';
import {
  addResources,
  type InstanceSettings,
  NO_RESOURCES,
  type Policy,
  type Resources,
} from '@mustardferry/model';
import type {Logger, Metrics} from '@mustardferry/runtime';
import prand from 'pure-rand';

import type {UpstreamPool} from '../upstreams/upstream_pool.js';
import {Admission} from './admission.js';
import {AttemptLauncher} from './attempt_launcher.js';
import type {CreditUse} from './attempt_ledger.js';
import {Dispatcher} from './dispatcher.js';
import {EvacuationMonitor} from './evacuation_monitor.js';
import {LeaseRenewer} from './lease_renewer.js';
import {OutcomePolicy} from './outcome_policy.js';
import {createHedging, createRouting, createSharing} from './policies.js';
import {ShareMeter} from './share_meter.js';
import {UpstreamMonitor} from './upstream_monitor.js';

/** Options of {@link createDispatch}. */
export interface DispatchOptions {
  readonly settings: InstanceSettings;
  readonly pool: UpstreamPool;
  readonly policy: () => Policy;
  readonly slots: CreditUse;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Dispatch components of one instance. */
export interface DispatchParts {
  readonly scheduler: Dispatcher;
  readonly sharing: SharingPolicy;
  readonly shares: ShareMeter;
  readonly monitor: UpstreamMonitor;
  setPolicy(policy: Policy): void;
  /** Replaces the data centres in which no task may start. */
  setEvacuated(dataCentres: readonly string[]): void;
  close(): void;
}

function sumCapacity(pool: UpstreamPool): Resources {
  let total = NO_RESOURCES;
  for (const {capacity, dataCentre} of pool.listAnnouncements()) {
    if (!pool.isEvacuated(dataCentre)) total = addResources(total, capacity);
  }
  return total;
}

function createShareMeter(
  {settings, policy, pool}: DispatchOptions,
  sharing: SharingPolicy,
): ShareMeter {
  return new ShareMeter({
    dataCentre: settings.dataCentre,
    sharing,
    policy,
    capacity: () => sumCapacity(pool),
  });
}

/** Creates the dispatcher with its policies, monitor and share meter. */
export function createDispatch(options: DispatchOptions): DispatchParts {
  const {settings, pool, logger, metrics} = options;
  const estimator = new RunTimeEstimator();
  const sharing = createSharing(settings.policies.sharing);
  const budget = new RetryBudget();
  const renewer = new LeaseRenewer(settings.taskLeaseMs, logger);
  const requestDispatch = (): void => scheduler.requestDispatch();
  const common = {pool, estimator, sharing, budget, logger, metrics};
  const monitor = new UpstreamMonitor({
    ...common,
    onUpstreamAvailable: requestDispatch,
  });
  const shares = createShareMeter(options, sharing);
  const scheduler = createDispatcher(options, {
    ...common,
    monitor,
    renewer,
    shares,
  });
  const evacuations = createEvacuationMonitor(options, scheduler, monitor);
  return {
    scheduler,
    sharing,
    shares,
    monitor,
    setPolicy: next => {
      sharing.setPolicy(next);
      budget.setPolicy(next);
    },
    setEvacuated: dataCentres => evacuations.setEvacuated(dataCentres),
    close: () => {
      scheduler.close();
      monitor.close();
      renewer.close();
      shares.close();
    },
  };
}

function createEvacuationMonitor(
  {pool, logger}: DispatchOptions,
  scheduler: Dispatcher,
  monitor: UpstreamMonitor,
): EvacuationMonitor {
  return new EvacuationMonitor({
    pool,
    logger,
    onReadmitted: upstream => monitor.readmit(upstream),
    onChange: () => scheduler.recheckQueuedTasks(),
  });
}

interface CommonParts {
  readonly pool: UpstreamPool;
  readonly estimator: RunTimeEstimator;
  readonly sharing: SharingPolicy;
  readonly budget: RetryBudget;
  readonly monitor: UpstreamMonitor;
  readonly renewer: LeaseRenewer;
  readonly shares: ShareMeter;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

function createDispatcher(
  {settings, slots}: DispatchOptions,
  parts: CommonParts,
): Dispatcher {
  const {policies, limits, name, taskLeaseMs} = settings;
  const {estimator, budget} = parts;
  const seed = Date.now() & 0x7fffffff;
  return new Dispatcher({
    ...parts,
    routing: createRouting(policies.routing, estimator, seed),
    hedging: createHedging(policies.hedging, estimator, budget),
    launcher: new AttemptLauncher({
      ...parts,
      instance: name,
      leaseMs: taskLeaseMs,
    }),
    credits: slots,
    admission: new Admission({
      ...parts,
      ...limits,
      onRefused: team => parts.shares.countRefusal(team),
    }),
    outcomes: new OutcomePolicy({
      ...parts,
      rng: prand.xoroshiro128plus(seed),
    }),
  });
}
