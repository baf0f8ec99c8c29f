/** Creates the parts of dispatch from the settings. */
import {RunTimeEstimator, type SharingPolicy} from '@mustardferry/decisions';
import {
  addResources,
  type InstanceSettings,
  NO_RESOURCES,
  type Policy,
  type Resources,
} from '@mustardferry/model';
import type {Logger, Metrics} from '@mustardferry/runtime';

import type {UpstreamPool} from '../upstreams/upstream_pool.js';
import {Admission} from './admission.js';
import type {CreditUse} from './attempt_book.js';
import {AttemptLauncher} from './attempt_launcher.js';
import {Dispatcher} from './dispatcher.js';
import {LeaseRenewer} from './lease_renewer.js';
import {OutcomePolicy} from './outcome_policy.js';
import {createRouting, createSharing} from './policies.js';
import {ShareMeter} from './share_meter.js';

/** Options of the parts. */
export interface DispatchOptions {
  readonly settings: InstanceSettings;
  readonly pool: UpstreamPool;
  readonly policy: () => Policy;
  readonly slots: CreditUse;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Dispatch of one instance. */
export interface DispatchParts {
  readonly scheduler: Dispatcher;
  readonly sharing: SharingPolicy;
  readonly shares: ShareMeter;
  setPolicy(policy: Policy): void;
  close(): void;
}

function capacityOf(pool: UpstreamPool): Resources {
  let total = NO_RESOURCES;
  for (const {capacity} of pool.all()) total = addResources(total, capacity);
  return total;
}

function createShares(
  {settings, policy, pool}: DispatchOptions,
  sharing: SharingPolicy,
): ShareMeter {
  return new ShareMeter({
    dataCentre: settings.dataCentre,
    sharing,
    policy,
    capacity: () => capacityOf(pool),
  });
}

/** Creates the dispatcher with its policies. */
export function createDispatch(options: DispatchOptions): DispatchParts {
  const {settings, pool, slots, logger, metrics} = options;
  const estimator = new RunTimeEstimator();
  const sharing = createSharing(settings.policies.sharing);
  const seed = Date.now() & 0x7fffffff;
  const routing = createRouting(settings.policies.routing, estimator, seed);
  const renewer = new LeaseRenewer(settings.taskLeaseMs, logger);
  const common = {pool, estimator, sharing, logger, metrics};
  const scheduler = new Dispatcher({
    ...common,
    routing,
    launcher: new AttemptLauncher({
      ...common,
      instance: settings.name,
      leaseMs: settings.taskLeaseMs,
      renewer,
    }),
    credits: slots,
    admission: new Admission({
      ...common,
      maxQueuedTasks: settings.limits.maxQueuedTasks,
    }),
    outcomes: new OutcomePolicy(common),
  });
  const shares = createShares(options, sharing);
  return {
    scheduler,
    sharing,
    shares,
    setPolicy: next => sharing.setPolicy(next),
    close: () => {
      scheduler.close();
      renewer.close();
      shares.close();
    },
  };
}
